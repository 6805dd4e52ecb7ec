package balancer

// Event is a fact that a Balancer reports for the log: one of the types of this file.
type Event interface{ isEvent() }

// HostEjected says that a host gets nothing for a while, since its set-ups failed. It is reported for the
// first failure in a row, and for further ones that do not count since most of the zone fails; those that
// count lengthen the ejection without a report. Where no other host is available it may still be picked.
type HostEjected struct {
	Host                string
	Duration            Time // how long, in nanoseconds
	ConsecutiveFailures int
}

// HostReadmitted says that an ejected host has accepted a connection, and gets its turns again.
type HostReadmitted struct{ Host string }

// LedgerServerChanged reports that this balancer now queries LedgerServer: it has received a message from a
// ledger server that it did not query before, or that has restarted.
type LedgerServerChanged struct{ LedgerServer int }

// LedgerUnreachable says that no ledger server answers: requests are placed by what this balancer sees alone.
type LedgerUnreachable struct{}

func (HostEjected) isEvent()         {}
func (HostReadmitted) isEvent()      {}
func (LedgerServerChanged) isEvent() {}
func (LedgerUnreachable) isEvent()   {}
