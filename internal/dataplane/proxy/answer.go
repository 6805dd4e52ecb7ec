package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// overdueGrace is how long after a request's deadline the core still waits for the balancer's
// answer. An answer that comes so soon after the deadline still counts, since the invariants allow
// 500 ms (AnswerInTime).
const overdueGrace = 15 * time.Millisecond

// rejectOrFail answers a request that gets no further attempt. It rejects the request if a retry by
// the client is harmless, and fails it otherwise. after is the Retry-After of a rejection, 0 for
// none.
func (r *Request) rejectOrFail(after time.Duration, reason localReplyReason) {
	if !r.record.MayReject() {
		r.fail(metrics.Failed, reason)
		return
	}
	r.reject(after, reason)
}

// reject answers the client that a retry is harmless, with after as Retry-After, 0 for none. It
// does nothing if the request has its answer.
func (r *Request) reject(after time.Duration, reason localReplyReason) {
	if r.answered() {
		return
	}
	r.core.counters.rejected++
	r.record.Rejected(r.core.loop.Now())
	r.core.counters.metrics.CountEnd(r.attributes.Class, metrics.Rejected)
	if tracing() {
		slog.Debug("request_rejected", "request", r.attributes.ID, "attempts", r.attempts, "reason", reason, "after_ms", after.Milliseconds(),
			"left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(func() { r.downstream.Reject(after) })
}

// fail answers the client that the request has failed, without the promise that a retry is
// harmless. The failure counts as end in the metrics. It does nothing if the request has its
// answer.
func (r *Request) fail(end metrics.End, reason localReplyReason) {
	if r.answered() {
		return
	}
	r.core.counters.failed++
	r.record.Failed(r.core.loop.Now())
	r.core.counters.metrics.CountEnd(r.attributes.Class, end)
	if tracing() {
		slog.Debug("request_failed", "request", r.attributes.ID, "attempts", r.attempts, "reason", reason, "state", r.stageName(),
			"left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(r.downstream.Fail)
}

// answer closes the request, calls write, which writes its only answer, and ends the attempt in
// flight, if any.
func (r *Request) answer(write func()) {
	r.becomeClosed()
	write()
	r.endAttempt()
}

// endAttempt cancels the attempt of a closed request. A request without an attempt is removed.
func (r *Request) endAttempt() {
	if r.attempt != nil {
		r.attempt.finish(balancer.Cancelled, netio.Ended)
		return
	}
	r.removeIfDone()
}

// failUnresponsive fails a request that the balancer did not answer in time, or whose handling
// panicked, and notifies the balancer that nobody waits for it. It does nothing if the request has
// its answer.
func (r *Request) failUnresponsive() {
	if r.answered() {
		return
	}
	slog.Error("balancer_unresponsive", "request", r.attributes.ID, "attempts", r.attempts)
	r.fail(metrics.Unanswered, balancerUnresponsive)
	r.notifyClientLeft()
}

// answerNow answers a request at once because the process is shutting down, even if an attempt is
// in flight, and notifies the balancer that nobody waits for it.
func (r *Request) answerNow(after time.Duration) {
	r.rejectOrFail(after, processShuttingDown)
	r.notifyClientLeft()
}

// notifyClientLeft notifies the balancer that nobody waits for the request any more. An adopted
// request, whose connection was open before this proxy's start, is unknown to the balancer until it
// is established.
func (r *Request) notifyClientLeft() {
	if r.adopted {
		return
	}
	r.core.notify(nil, r.pool, func(now balancer.Time, m Balancer) { m.ClientLeft(now, r.attributes.ID) })
}

// cancel ends the attempt with this number, which counts the attempts in the request's present pool
// from 0. It does nothing if that attempt is established or has ended.
func (r *Request) cancel(attempt int) {
	if a := r.attempt; a != nil && a.number == attempt && !a.established {
		a.finish(balancer.Cancelled, netio.Ended)
	}
}

// migrate ends an open connection. It sends the client the migration line, after which the client
// opens the connection again, and notifies the balancer that the connection ended with status. It
// does nothing if the connection is not open.
func (r *Request) migrate(status balancer.AttemptStatus) {
	a := r.attempt
	if a == nil || !a.established || !a.detach() {
		return
	}
	r.core.counters.migrated++
	if tracing() {
		slog.Debug("client_migrated", "request", r.attributes.ID, "host", a.host.hostID, "status", status.String(), "leaving", r.core.shuttingDown)
	}
	r.record.ConnectionEnded()
	r.downstream.Migrate()
	a.conn.End(netio.Ended)
	a.notifyEnded(status)
}
