package invariant

import (
	"math"

	"croftlock/internal/balancer"
)

// CheckAttempt returns the rule that forbids the request to begin another attempt at h at time now,
// or None if the attempt may begin. It counts a blocked attempt. now and all times of this package
// are in nanoseconds of the caller's clock.
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

// CheckWrite returns the rule that forbids the attempt in flight to write its first line to h at
// time now, or None if the line may be written. It counts a blocked write.
func (r *Request) CheckWrite(now int64, h Host) Rule {
	return r.Monitor.countBlocked(r.checkSend(now, h))
}

// checkSend returns the rule that forbids sending the request to h at time now, or None. These rules
// apply when an attempt begins and again when its first line, the request line, is written.
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

// checkRetry returns the rule that forbids retrying the request at h because an earlier attempt may
// have run, or None.
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

// sharesDedupMemory reports whether h shares its dedup memory, the record of idempotency keys that
// have run, with the host of the first attempt that may have run. If so, h discards a retry.
func (r *Request) sharesDedupMemory(h Host) bool {
	switch r.Class.DedupScope {
	case balancer.ScopeZone:
		return h.Zone == r.firstRunHost.Zone
	case balancer.ScopeCell:
		return h.Cell == r.firstRunHost.Cell
	}
	return true
}

// checkAttemptLimit returns AttemptLimit if the request has begun MaxAttempts attempts, and None
// otherwise.
func (r *Request) checkAttemptLimit() Rule {
	if r.attemptsBegun >= r.MaxAttempts {
		return AttemptLimit
	}
	return None
}

// RetryUntil returns the time, in nanoseconds of the caller's clock, from which no first line may
// be written. Hosts discard retries with an idempotency key during the dedup window, which begins
// with the first attempt that may have run; a request retried later would run twice. RetryUntil
// returns math.MaxInt64 if there is no limit.
func (r *Request) RetryUntil() int64 {
	if !r.mayHaveRun || r.Class.Idempotency != balancer.IdempotentWithKey {
		return math.MaxInt64
	}
	return r.firstRunAt + r.Class.DedupWindow
}

// MayHaveRun reports whether an attempt that has ended, or the attempt in flight, may have run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun || r.attemptInFlight && r.lineWritten }

// FirstRun returns the start and the host of the first attempt that may have run, and reports whether there
// is one.
func (r *Request) FirstRun() (at int64, h Host, mayHaveRun bool) {
	return r.firstRunAt, r.firstRunHost, r.MayHaveRun()
}

// MayReject reports whether the request may be rejected. A rejection promises that a retry by the
// client, at any host, is harmless. If the request may have run, that is true only if a second run
// has no effect or all hosts discard a second run.
func (r *Request) MayReject() bool {
	return !r.MayHaveRun() || r.Class.Idempotency == balancer.Idempotent || r.Class.Idempotency == balancer.IdempotentWithKey && r.Class.DedupScope == balancer.ScopeAll
}

// MayPlaceAgain reports whether the request may be placed by a balancer, an instance of the
// decision module, that does not know the request's earlier attempts. It does not consider an
// attempt in flight.
func (r *Request) MayPlaceAgain() bool {
	return !r.mayHaveRun || r.Class.Idempotency == balancer.Idempotent
}

// isOver reports whether the request has its answer or its client has left, so that no attempt may
// begin or write its first line any more.
func (r *Request) isOver() bool { return r.client != awaitingAnswer }
