package balancer

// Event is a fact that a Balancer reports for the log. Its types are those of this file.
type Event interface{ isEvent() }

// HostEjected reports that a host is ejected because an attempt to set up a connection failed. It is
// reported while the host's count of consecutive failures is 1: for the first failure, and for
// further ones that do not raise the count because most hosts of the zone are failing. Later
// failures lengthen the ejection without a report. If no other host is available, an ejected host
// may still be picked.
type HostEjected struct {
	Host                string // its ID
	Duration            Time   // from now to the end of the ejection, in nanoseconds
	ConsecutiveFailures int
}

// HostReadmitted reports that a host has accepted a request after consecutive failures, which ends
// its ejection.
type HostReadmitted struct{ Host string }

// LedgerServerChanged reports that this balancer queries the given ledger server from now on: it
// received that server's first message, or the first one after an outage or a restart. A ledger
// server is a balancer that assigns hosts for all balancers; LedgerServer is its number.
type LedgerServerChanged struct{ LedgerServer int }

// LedgerUnreachable reports that no ledger server replies. Until one sends a message, or the pause
// of queries ends, the balancer places requests by what it observes itself.
type LedgerUnreachable struct{}

// AssignmentOutdated reports that a ledger server assigned a host that this balancer's endpoint list has
// as not ready, or as in slow start where the ledger server does not count its budget. The request is
// placed as without a reply.
type AssignmentOutdated struct {
	Host         string // its ID
	LedgerServer int    // the ledger server's balancer number
}

func (AssignmentOutdated) isEvent()  {}
func (HostEjected) isEvent()         {}
func (HostReadmitted) isEvent()      {}
func (LedgerServerChanged) isEvent() {}
func (LedgerUnreachable) isEvent()   {}
