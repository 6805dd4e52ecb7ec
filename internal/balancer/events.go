package balancer

// Event is a fact that a Balancer reports for the log. Its types are those of this file.
type Event interface{ isEvent() }

// HostEjected reports that a host is ejected because its set-ups failed. It is reported for the
// first of consecutive failures, and for the ones after it until one counts: further failures do
// not count while the host's zone fails (zoneFailing). Later failures lengthen the ejection without
// a report. If no other host is available, an ejected host may still be picked.
type HostEjected struct {
	Host                string
	Duration            Time // in nanoseconds
	ConsecutiveFailures int
}

// HostReadmitted reports that an ejected host has accepted a connection and is back in the
// rotation.
type HostReadmitted struct{ Host string }

// LedgerServerChanged reports that this balancer queries the given ledger server from now on: it
// received that server's first message, or the first one after an outage or a restart.
type LedgerServerChanged struct{ LedgerServer int }

// LedgerUnreachable reports that no ledger server replies. The balancer places requests by what it
// observes itself.
type LedgerUnreachable struct{}

func (HostEjected) isEvent()         {}
func (HostReadmitted) isEvent()      {}
func (LedgerServerChanged) isEvent() {}
func (LedgerUnreachable) isEvent()   {}
