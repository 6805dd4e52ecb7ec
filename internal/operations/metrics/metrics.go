// Package metrics counts for the operators how each request ended and how many attempts, which are
// requests to an upstream host, were written completely. It has no clock and no I/O. The proxy core
// calls it at the one place where a request ends or an attempt is written, and the admin interface
// requests the text.
package metrics

import "strconv"

// End is how a request ended.
type End int

// The kinds of end.
const (
	Established    End = iota // a host's acceptance was forwarded
	Adopted                   // like Established, for a connection that was open at its host before
	Rejected                  // rejected by the decision module, the rules or a quota, or because no host is usable
	OverCapacity              // rejected because no descriptors are left
	ShuttingDown              // rejected because the proxy shuts down
	Failed                    // failed by the decision module, or an earlier connection was not restored
	Unanswered                // the decision module timed out or panicked; the client got ERR
	InvalidRequest            // unknown tenant, or a request ID that is in use; the client got ERR
	ClientLeft                // the client closed the connection before its answer
	endKinds                  // number of kinds
)

// counter identifies the counter of a class that an end adds to.
type counter int

const (
	success counter = iota
	overload
	failure
	counterKinds              // number of counters
	uncounted    counter = -1 // for ends that no counter counts
)

// counterOf maps each end to its counter. Clients that left before their answer are not counted.
var counterOf = [endKinds]counter{Established: success, Adopted: success, Rejected: overload, OverCapacity: overload, ShuttingDown: overload,
	Failed: failure, Unanswered: failure, InvalidRequest: failure, ClientLeft: uncounted}

var counterNames = [counterKinds]string{"success", "overload", "error"}

// Table holds the counts since the process started.
type Table struct {
	classes    []string
	endCounts  [][counterKinds]int64 // by class, as an index into classes, and by counter
	dispatched int64                 // attempts written completely
}

// New returns a table for the classes of the settings, in their order.
func New(classes []string) *Table {
	return &Table{classes: classes, endCounts: make([][counterKinds]int64, len(classes))}
}

// CountEnd counts the end of a request. class is an index into the classes passed to New. An end with
// any other class is not counted; that is the case for a request that names no class of the settings.
func (t *Table) CountEnd(class int, e End) {
	if c := counterOf[e]; c != uncounted && class >= 0 && class < len(t.endCounts) {
		t.endCounts[class][c]++
	}
}

// CountDispatch counts an attempt whose last byte has been written.
func (t *Table) CountDispatch() { t.dispatched++ }

// Gauges holds the metrics whose values are read when the text is requested.
type Gauges struct {
	Concurrent int // connections accepted and not yet ended
	Hosts      int // hosts in the list
	Disabled   int // of these, suspended by the operators or ejected by the decision module
}

// Text returns all metrics, one name=value per line, in a fixed order.
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
