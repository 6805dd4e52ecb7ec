// Package metrics owns what the proxy counts for its operators: how each request ended, and the attempts that were written
// completely. It has no clock and no I/O; the proxy core calls it at the one place where each thing ends or is written, and the
// admin interface requests the text.
package metrics

import "strconv"

// End is how a request ended.
type End int

// The kinds of end.
const (
	Established    End = iota // a host's acceptance was forwarded
	Adopted                   // the same, for a connection that was open at its host before
	Rejected                  // rejected by the decision module, the fleet's rules or a quota, or for want of a usable host
	OverCapacity              // rejected for want of descriptors
	ShuttingDown              // rejected because the proxy shuts down
	Failed                    // the decision module failed it, or a connection from before could not be restored
	Unanswered                // the decision module did not answer in time or panicked; the client got ERR
	InvalidRequest            // a tenant that the settings lack, or an id in use; the client got ERR
	ClientLeft                // the client hung up before its answer
	endKinds
)

// counter is under which name an end is counted.
type counter int

const (
	success counter = iota
	overload
	failure
	counterKinds
	uncounted counter = -1
)

// counterOf is each end's counter. First lines that name no class of the settings are of no class and so not counted; nor are clients that
// have left before their answer.
var counterOf = [endKinds]counter{Established: success, Adopted: success, Rejected: overload, OverCapacity: overload, ShuttingDown: overload,
	Failed: failure, Unanswered: failure, InvalidRequest: failure, ClientLeft: uncounted}

var counterNames = [counterKinds]string{"success", "overload", "error"}

// Table holds the counts since the start.
type Table struct {
	classes    []string
	endCounts  [][counterKinds]int64 // by class
	dispatched int64
}

// New makes a table for the classes of the settings, in their order.
func New(classes []string) *Table {
	return &Table{classes: classes, endCounts: make([][counterKinds]int64, len(classes))}
}

// CountEnd counts a request's end.
func (t *Table) CountEnd(class int, e End) {
	if c := counterOf[e]; c != uncounted && class >= 0 && class < len(t.endCounts) {
		t.endCounts[class][c]++
	}
}

// CountDispatch counts an attempt whose last byte has been written.
func (t *Table) CountDispatch() { t.dispatched++ }

// Gauges are the metrics that are read at the moment of a call.
type Gauges struct {
	Concurrent int // connections accepted and not yet ended
	Hosts      int // in the list
	Disabled   int // of these, suspended by the operators or ejected by the decision module
}

// Text is all metrics, a line each, in an order that never changes.
func (t *Table) Text(g Gauges) []byte {
	var out []byte
	line := func(v int64, name ...string) {
		for _, s := range name {
			out = append(out, s...)
		}
		out = append(strconv.AppendInt(append(out, '='), v, 10), '\n')
	}
	for i, c := range t.classes {
		for k, name := range counterNames {
			line(t.endCounts[i][k], "replies.", c, ".", name)
		}
	}
	line(t.dispatched, "dispatches")
	line(int64(g.Concurrent), "concurrent")
	line(int64(g.Hosts), "targets")
	line(int64(g.Disabled), "targets_disabled")
	return out
}
