// Package metrics owns what the proxy counts for its operators: how each request ended, and the attempts that were written
// whole. It has no clock and no I/O; the core calls it at the one place where each thing ends or is written, and the
// operators' front asks for the text.
package metrics

import (
	"strconv"
)

// End is how a request ended.
type End int

// The kinds of end.
const (
	Established    End = iota // a host's acceptance was passed on
	Adopted                   // the same, for a connection that was open at its host before
	Rejected                  // the module refused it
	OverCapacity              // refused for want of descriptors
	ShuttingDown              // refused because the proxy is on its way out
	Failed                    // the module failed it, or a connection from before could not be restored
	Unanswered                // the module did not answer in time or panicked; the client got ERR
	InvalidRequest            // a tenant that the settings lack, or an id in use; the client got ERR
	ClientLeft                // the client hung up before its answer
	ends
)

// count is where an end shows.
type count int

const (
	success count = iota
	overload
	failure
	counts
	nowhere count = -1
)

// of says for each kind of end which count it has. First lines that name no class of the settings are of no class and so in
// no count; clients that have left are owed no answer and may be counted anywhere, so they are counted nowhere.
var of = [ends]count{Established: success, Adopted: success, Rejected: overload, OverCapacity: overload, ShuttingDown: overload,
	Failed: failure, Unanswered: failure, InvalidRequest: failure, ClientLeft: nowhere}

var names = [counts]string{"success", "overload", "error"}

// Table holds the counts since the start.
type Table struct {
	classes    []string
	ended      [][counts]int64 // by class
	dispatched int64
}

// New makes a table for the classes of the settings, in their order.
func New(classes []string) *Table {
	return &Table{classes: classes, ended: make([][counts]int64, len(classes))}
}

// Ended counts a request's end.
func (t *Table) Ended(class int, e End) {
	if c := of[e]; c != nowhere && class >= 0 && class < len(t.ended) {
		t.ended[class][c]++
	}
}

// Dispatched counts an attempt whose last byte has been written.
func (t *Table) Dispatched() { t.dispatched++ }

// Gauges are the figures that are read from what holds them.
type Gauges struct {
	Concurrent int // connections taken and not yet ended
	Hosts      int // in the list
	Ejected    int // of these, by hand or by the module's choice
}

// Text is all figures, a line each, in an order that never changes.
func (t *Table) Text(n Gauges) []byte {
	var out []byte
	line := func(v int64, name ...string) {
		for _, s := range name {
			out = append(out, s...)
		}
		out = append(strconv.AppendInt(append(out, '='), v, 10), '\n')
	}
	for i, c := range t.classes {
		for k, name := range names {
			line(t.ended[i][k], "replies.", c, ".", name)
		}
	}
	line(t.dispatched, "dispatches")
	line(int64(n.Concurrent), "concurrent")
	line(int64(n.Hosts), "targets")
	line(int64(n.Ejected), "targets_disabled")
	return out
}
