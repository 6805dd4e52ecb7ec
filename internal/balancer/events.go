package balancer

// Event is a fact that a Balancer reports for the log: one of the types of this file.
type Event interface{ isEvent() }

// HostEjected says that a host that could not be connected to gets nothing for a while.
type HostEjected struct {
	Host                string
	Ejection            Time // how long, in nanoseconds
	ConsecutiveFailures int
}

// HostReadmitted says that an ejected host has accepted a connection, and gets its turns again.
type HostReadmitted struct{ Host string }

// LedgerPolled says that a balancer keeps the placement ledger and is asked from now on.
type LedgerPolled struct{ Coordinator int }

// LedgerUnreachable says that no coordinator answers: requests are placed by what this balancer sees alone.
type LedgerUnreachable struct{}

func (HostEjected) isEvent()       {}
func (HostReadmitted) isEvent()    {}
func (LedgerPolled) isEvent()      {}
func (LedgerUnreachable) isEvent() {}
