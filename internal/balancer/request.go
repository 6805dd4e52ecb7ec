package balancer

// Request is a client's request, or a connection that is already open.
type Request struct {
	ID           string  `json:"ID"`
	Class        int     `json:"Class"`    // index in Config.Classes
	Tenant       int     `json:"Tenant"`   // index in Config.Tenants; -1 if none
	Key          string  `json:"Key"`      // idempotency key; "" if none
	Group        string  `json:"Group"`    // name of requests whose connections cost less together on one host; "" if none
	ExpectedLoad float64 `json:"Hint"`     // work per second on a standard core, in nanoseconds; 0 if unknown
	Retry        bool    `json:"Repeat"`   // its client marked it as a retry
	MidFlow      bool    `json:"MidFlow"`  // it consists of packets of a connection that a host already holds
	Returned     bool    `json:"Returned"` // its client came back after a broken or migrated connection
	Remaining    Time    `json:"Left"`     // time until the client stops waiting, in nanoseconds
	// EarlierRun is the first attempt that may have run of an earlier request with this ID; nil if there is
	// none. Whether and where the request may be attempted depends on it, as on an attempt of its own.
	EarlierRun *EarlierRun `json:"EarlierRun,omitempty"`
}

// EarlierRun is an attempt that may have run.
type EarlierRun struct {
	HostID string `json:"Host,omitempty"` // "" if it is not known
	At     Time   `json:"At"`             // when it began
}

// AttemptStatus is the outcome of an attempt.
type AttemptStatus int

// Values of AttemptStatus, with the causes for which packages proxy and lineproto report each.
// setupEnded implements the consequences.
const (
	// OK means that the host ended an open connection as finished (upstreamRequest.finalStatus), or
	// answered a health check.
	OK AttemptStatus = iota
	// Error means that the host answered with an error, or with a line that is no valid answer
	// (upstreamRequest.FromUpstream).
	Error
	// Full means that the host accepts nothing new now, which is not a failure. The attempt has not
	// run.
	//   - The host answered that it is over capacity: upstreamRequest.FromUpstream.
	//   - It began to drain, or was removed or suspended, before the attempt: Request.attemptBlocked.
	//   - The same happened, or it changed pools, before the request's line was written:
	//     host.stopUnsentAttempts.
	//   - The published rules have changed and exclude the host for this request: Core.startAttempt.
	Full
	// Timeout means that no answer arrived in the time that Effects.StartAttempt specified
	// (upstreamRequest.beginAttempt), or that the request's deadline had passed before the attempt
	// began (Request.attemptBlocked).
	Timeout
	// ConnectFailed means that the connection broke before the request's line was written
	// completely, so that the attempt has not run (statusBeforeAnswer).
	ConnectFailed
	// Reset means that the connection broke after the request's line was written
	// (statusBeforeAnswer, upstreamRequest.finalStatus), or that the host left lines of the client
	// unanswered for too long (Core.checkUnanswered).
	Reset
	// Cancelled means that the proxy, the client or a migration ended the attempt or the
	// connection.
	Cancelled
	// TooLate means that the request may not, or need not, be attempted any more. The attempt has
	// not run, and the host is not at fault. AttemptEnded gives the request its final answer if it
	// has none yet.
	//   - The request has no attempts left, or the core does not know the host: Core.startAttempt.
	//   - Another invariant forbids the attempt: Request.attemptBlocked.
	//   - The dedup window ended before the request's line was written:
	//     upstreamRequest.startRetryWindowTimer.
	//   - The published rules now reject the request, and it has been answered: Core.startAttempt.
	//   - The published rules now place it in another pool, whose balancer takes over: Core.placeInPool.
	//   - A health check was not made: Core.checkHost, HealthChecks.Check.
	TooLate
)

// String returns the outcome's name in the log. TooLate is "moot" there.
func (s AttemptStatus) String() string {
	if s < OK || s > TooLate {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}

// DidNotRun reports whether the outcome proves that the host did not run the request. It returns
// false if the request may have run.
func (s AttemptStatus) DidNotRun() bool { return s == Full || s == ConnectFailed || s == TooLate }

// Observation is the kind of a value that was observed on an open connection.
type Observation int

// Values of Observation.
const (
	ObservedLoad    Observation = 1 // the connection's current load, in microseconds of work per second
	ObservedLatency Observation = 2 // how long a message currently takes at the host, in milliseconds
)

// request is the state of a request from its arrival to the end of its last attempt or connection.
type request struct {
	Request
	deadline Time
	cost     float64 // expected load, in the unit of Request.ExpectedLoad
	closed   bool    // it has its final answer, or its client has left; kept until its attempt ends

	attempts        int // number of attempts started
	attemptInFlight bool
	host            *host   // of the last attempt
	sentAt          Time    // of the last attempt
	attemptedHosts  []*host // one for each attempt

	established        bool    // whether its connection is open
	connectionIndex    int     // in host.connections
	load               float64 // what its connection adds to host.load
	migrationRequested bool    // Effects.Migrate was called for its connection

	mayHaveRunOn *host // host of the first attempt that may have run; nil if none may have
	mayHaveRunAt Time  // when that attempt was sent

	wait                  queueEntry
	ledger                ledgerQuery
	shedUnlessWarmingHost bool    // load shedding rejects it unless a host in slow start may take it
	similarPerSecond      float64 // rate at all balancers of requests of its kind: retries or fresh ones
}

// isRetry reports whether a request may be part of a wave of clients that come back together.
func (r *request) isRetry() bool { return r.Retry || r.Returned }
