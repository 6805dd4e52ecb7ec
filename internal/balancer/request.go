package balancer

// Request is a client's request, or a connection that is already open.
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

// The outcomes of an attempt, and for each the causes for which packages proxy and lineproto give it.
// setupEnded has what follows from each.
const (
	// OK: the host ended an open connection as finished (upstreamRequest.finalStatus), or answered a health
	// check.
	OK AttemptStatus = iota
	// Error: the host answered with an error, or with a line that is no answer: upstreamRequest.FromUpstream.
	Error
	// Full: the host takes nothing new now, which is no failure of it. The attempt has not run.
	//   - It answered that it is over capacity: upstreamRequest.FromUpstream.
	//   - It began to drain, or was removed or suspended, before the attempt: Request.attemptBlocked.
	//   - It did so, or changed pools, before the request's line was written: host.stopUnsentAttempts.
	//   - The fleet's rules have changed and exclude the host for this request: Core.startAttempt.
	Full
	// Timeout: no answer came in the time that Effects.StartAttempt gave (upstreamRequest.beginAttempt), or
	// the request's deadline had passed before the attempt began (Request.attemptBlocked).
	Timeout
	// ConnectFailed: the connection broke before the request's line was written completely, so that the attempt
	// has not run (statusBeforeAnswer).
	ConnectFailed
	// Reset: the connection broke after that (statusBeforeAnswer, upstreamRequest.finalStatus), or the host
	// left lines of its client unanswered for too long (Core.checkUnanswered).
	Reset
	// Cancelled: the proxy, the client or a migration ended the attempt or the connection.
	Cancelled
	// TooLate: the request may not, or need not, be attempted any more. The attempt has not run, nothing
	// speaks against its host, and AttemptEnded gives the final answer where one is owed.
	//   - All attempts are used up, or the core does not know the host: Core.startAttempt.
	//   - Another invariant forbids the attempt: Request.attemptBlocked.
	//   - The dedup window ended before the request's line was written: upstreamRequest.limitRetry.
	//   - The fleet's rules now reject the request: Core.startAttempt. It has its answer.
	//   - The fleet's rules now place it in another pool, whose balancer takes it over: Core.placeInPool.
	//   - Of a health check, which was not made: Core.checkHost, HealthChecks.Check.
	TooLate
)

// String names an outcome as the log writes it; TooLate is "moot" there.
func (s AttemptStatus) String() string {
	if s < OK || s > TooLate {
		return "unknown"
	}
	return [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}[s]
}

// DidNotRun reports whether an attempt that ended so surely had no effect.
func (s AttemptStatus) DidNotRun() bool { return s == Full || s == ConnectFailed || s == TooLate }

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
	attemptedHosts  []*host

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
