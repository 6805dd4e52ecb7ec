package invariant

import (
	"math"
	"time"

	"croftlock/internal/balancer"
)

// answerSlack is how late an answer may be: later than this a request counts as lost, and not just as late.
const answerSlack = int64(500 * time.Millisecond)

// MaxSuspension is how long a process may be held up between a decision and its effect. Deadlines and windows allow for that, so an action counts as
// against them only where it comes later.
const MaxSuspension = 150 * time.Millisecond

// Host is what the rules have to know of an upstream host.
type Host struct {
	State balancer.HostState
	Zone  string
	Cell  int
}

// Request is one request's record. Its zero value with Monitor, ID, Class, Deadline and Attempts set is a request that was just read.
type Request struct {
	Monitor  *Monitor
	ID       string
	Class    *balancer.Class
	Deadline int64 // in the time that is passed in
	Attempts int   // how many it may have
	Resumed  bool  // its connection was open at its host before: it goes nowhere else, and draining hosts take it

	begun    int
	out      bool // an attempt is under way
	written  bool // and its line is
	mayRun   bool // an attempt that has ended may have run
	ranAt    int64
	ranIn    Host
	answered bool
	served   bool // it has its host's acceptance, and is open
	left     bool // its client has
}

// Begin says which rule stands against a further attempt now.
func (r *Request) Begin(now int64, h Host) Rule {
	rule := r.begin(now, h)
	if rule == None && r.begun >= r.Attempts {
		rule = AttemptLimit
	}
	if rule == None && r.out {
		rule = SingleAttempt
	}
	return r.Monitor.hold(rule)
}

// Write says which rule stands against writing the line of the attempt that is under way.
func (r *Request) Write(now int64, h Host) Rule { return r.Monitor.hold(r.begin(now, h)) }

func (r *Request) begin(now int64, h Host) Rule {
	switch {
	case r.answered || r.left:
		return RequestOver
	case r.Monitor.closed:
		return NothingAfterShutdown
	case now >= r.Deadline:
		return BeforeDeadline
	case h.State != balancer.Ready && !r.Resumed:
		return HostAcceptsNew
	}
	return r.repeat(now, h)
}

// repeat says which rule stands against sending it where an earlier attempt may have run.
func (r *Request) repeat(now int64, h Host) Rule {
	switch {
	case !r.mayRun || r.Class.Idempotency == balancer.Idempotent:
		return None
	case r.Class.Idempotency == balancer.NotIdempotent:
		return NoUnsafeRetry
	case now >= r.RetryUntil():
		return RetryWithinWindow
	case r.Class.DedupScope == balancer.ScopeZone && h.Zone != r.ranIn.Zone, r.Class.DedupScope == balancer.ScopeCell && h.Cell != r.ranIn.Cell:
		return RetryWithinScope
	}
	return None
}

// RetryUntil is the time from which on no further attempt may be written: hosts discard repeats of a keyed request for a limited time after
// the first attempt that may have run, and a repeat that arrives later runs twice.
func (r *Request) RetryUntil() int64 {
	if !r.mayRun || r.Class.Idempotency != balancer.IdempotentWithKey {
		return math.MaxInt64
	}
	return r.ranAt + r.Class.DedupWindow
}

// MayHaveRun tells whether an attempt may have run: one that has ended, or the one under way.
func (r *Request) MayHaveRun() bool { return r.mayRun || r.out && r.written }

// MayReject tells whether a refusal would be true: it promises that trying again is harmless, which holds for a request that may have run
// only where hosts discard its repeats or where these have no effect.
func (r *Request) MayReject() bool {
	return !r.MayHaveRun() || r.Class.Idempotency == balancer.Idempotent || r.Class.Idempotency == balancer.IdempotentWithKey && r.Class.DedupScope == balancer.ScopeAll
}

// MayPlaceAnew tells whether it may be placed anew by somebody who knows nothing of its earlier attempts.
func (r *Request) MayPlaceAnew() bool { return !r.mayRun || r.Class.Idempotency == balancer.Idempotent }
