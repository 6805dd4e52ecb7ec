package balancer

// Request is what a client asks for, or a connection that is already open.
type Request struct {
	ID           string  `json:"ID"`
	Class        int     `json:"Class"`    // index in Config.Classes
	Tenant       int     `json:"Tenant"`   // index in Config.Tenants; -1: none
	Key          string  `json:"Key"`      // idempotency key; "": none
	Group        string  `json:"Group"`    // connections that are cheaper on one host; "": none
	ExpectedLoad float64 `json:"Hint"`     // work a second on a standard core, in nanoseconds; 0: unknown
	Retry        bool    `json:"Repeat"`   // marked by its client as a retry
	MidFlow      bool    `json:"MidFlow"`  // packets of a connection that some host already holds
	Returned     bool    `json:"Returned"` // the client came back after a break or a migration
	Remaining    Time    `json:"Left"`     // how long the client still waits
}

// AttemptStatus is how an attempt ended.
type AttemptStatus int

// The outcomes of an attempt.
const (
	OK AttemptStatus = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	TooLate
)

// String names an outcome as the log writes it.
func (s AttemptStatus) String() string {
	if s < OK || s > TooLate {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}

// ProvesNotRun reports whether an attempt that ended so surely had no effect.
func (s AttemptStatus) ProvesNotRun() bool { return s == Full || s == ConnectFailed || s == TooLate }

// Observation says what was observed of an open connection.
type Observation int

// The kinds of observation.
const (
	ObservedLoad    Observation = 1 // the connection's load now, microseconds of work a second
	ObservedLatency Observation = 2 // milliseconds that a message takes at the host now
)

// request is a request from its arrival to the end of its last attempt, or of its connection.
type request struct {
	Request
	deadline Time
	cost     float64 // expected load, in the unit of Request.ExpectedLoad
	closed   bool    // answered; only the end of an attempt is awaited

	attempts        int
	attemptInFlight bool
	host            *host // of the last attempt
	sentAt          Time  // of the last attempt
	tried           []*host

	established        bool    // its connection is open
	connectionIndex    int     // in host.connections
	load               float64 // what it adds to host.load
	migrationRequested bool

	mayHaveRunOn *host // host of the first attempt that may have run; nil: none has
	mayHaveRunAt Time

	wait                  queueEntry
	ledger                ledgerQuery
	shedUnlessWarmingHost bool    // load shedding rejects it, unless a warming host's budget bears it
	similarPerSecond      float64 // requests like it, all balancers together
}

// isRetry reports whether a request may be one of a wave of clients that come back together.
func (r *request) isRetry() bool { return r.Retry || r.Returned }
