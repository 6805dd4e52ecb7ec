package invariant

import (
	"math"

	"croftlock/internal/balancer"
)

// CheckAttempt says which rule forbids to begin a further attempt at a host now; None: it may begin.
func (r *Request) CheckAttempt(now int64, h Host) Rule {
	rule := r.checkSend(now, h)
	if rule == None {
		rule = r.checkAttemptLimit()
	}
	if rule == None && r.attemptInFlight {
		rule = SingleAttempt
	}
	return r.Monitor.countBlocked(rule)
}

// CheckWrite says which rule forbids to write the first line of the attempt in flight; None: it may be written.
func (r *Request) CheckWrite(now int64, h Host) Rule {
	return r.Monitor.countBlocked(r.checkSend(now, h))
}

// checkSend applies the rules on sending to a host, for the start of an attempt and again for the write of its line.
func (r *Request) checkSend(now int64, h Host) Rule {
	switch {
	case r.isOver():
		return RequestOver
	case r.Monitor.closed:
		return NothingAfterShutdown
	case now >= r.Deadline:
		return BeforeDeadline
	case h.State != balancer.Ready && !r.Adopted:
		return HostAcceptsNew
	}
	return r.checkRetry(now, h)
}

// checkRetry applies the rules on sending a request to a host after an earlier attempt that may have run.
func (r *Request) checkRetry(now int64, h Host) Rule {
	switch {
	case !r.mayHaveRun || r.Class.Idempotency == balancer.Idempotent:
		return None
	case r.Class.Idempotency == balancer.NotIdempotent:
		return NoUnsafeRetry
	case now >= r.RetryUntil():
		return RetryWithinWindow
	case !r.sharesDedupMemory(h):
		return RetryWithinScope
	}
	return None
}

// sharesDedupMemory reports whether a host discards a retry of what the first host may have run.
func (r *Request) sharesDedupMemory(h Host) bool {
	switch r.Class.DedupScope {
	case balancer.ScopeZone:
		return h.Zone == r.firstRunHost.Zone
	case balancer.ScopeCell:
		return h.Cell == r.firstRunHost.Cell
	}
	return true
}

func (r *Request) checkAttemptLimit() Rule {
	if r.attemptsBegun >= r.MaxAttempts {
		return AttemptLimit
	}
	return None
}

// RetryUntil is the time, in nanoseconds, from which on no first line may be written: hosts discard retries with an idempotency key
// for the dedup window after the first attempt that may have run, and a later one would run twice. math.MaxInt64: no such time.
func (r *Request) RetryUntil() int64 {
	if !r.mayHaveRun || r.Class.Idempotency != balancer.IdempotentWithKey {
		return math.MaxInt64
	}
	return r.firstRunAt + r.Class.DedupWindow
}

// MayHaveRun reports whether an attempt may have run: one that has ended, or the one in flight.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun || r.attemptInFlight && r.lineWritten }

// MayReject reports whether the request may be rejected. A rejection promises that a retry by the client, at any host, is harmless: for a request
// that may have run that is true only where a second run has no effect, or where all hosts discard it.
func (r *Request) MayReject() bool {
	return !r.MayHaveRun() || r.Class.Idempotency == balancer.Idempotent || r.Class.Idempotency == balancer.IdempotentWithKey && r.Class.DedupScope == balancer.ScopeAll
}

// MayPlaceAgain reports whether the request may be placed by an instance of the decision module that knows nothing of its earlier
// attempts.
func (r *Request) MayPlaceAgain() bool {
	return !r.mayHaveRun || r.Class.Idempotency == balancer.Idempotent
}

// isOver reports whether nothing may begin any more.
func (r *Request) isOver() bool { return r.client != awaitingAnswer }
