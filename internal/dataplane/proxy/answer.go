package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// overdueGrace is how long past a request's deadline the balancer's own answer is waited for: within the slack that the platform leaves.
const overdueGrace = 15 * time.Millisecond

// rejectOrFail is the final answer of a request that gets no further attempt: a rejection where a retry by the client is harmless.
func (r *Request) rejectOrFail(after time.Duration, reason localReplyReason) {
	if !r.record.MayReject() {
		r.fail(metrics.Failed, reason)
		return
	}
	r.reject(after, reason)
}

// reject is the final answer that says that a retry is harmless.
func (r *Request) reject(after time.Duration, reason localReplyReason) {
	if r.answered() {
		return
	}
	r.core.counters.rejected++
	r.record.Rejected(r.core.loop.Now())
	r.core.counters.metrics.Ended(r.attributes.Class, metrics.Rejected)
	if tracing() {
		slog.Debug("request_rejected", "request", r.attributes.ID, "attempts", r.attempts, "reason", reason, "after_ms", after.Milliseconds(),
			"left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(func() { r.downstream.Reject(after) })
}

// fail is the final answer that promises nothing. how is the metric that it counts for.
func (r *Request) fail(how metrics.End, reason localReplyReason) {
	if r.answered() {
		return
	}
	r.core.counters.failed++
	r.record.Failed(r.core.loop.Now())
	r.core.counters.metrics.Ended(r.attributes.Class, how)
	if tracing() {
		slog.Debug("request_failed", "request", r.attributes.ID, "attempts", r.attempts, "reason", reason, "state", r.stageName(),
			"left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(r.downstream.Fail)
}

// answer gives the client its one answer, and ends an attempt that is in flight.
func (r *Request) answer(write func()) {
	r.becomeClosed()
	write()
	r.endAttempt()
}

// endAttempt ends the attempt of a closed request; without one the request is done.
func (r *Request) endAttempt() {
	if r.attempt != nil {
		r.attempt.finish(balancer.Cancelled, netio.Ended)
		return
	}
	r.removeIfDone()
}

// failUnresponsive fails a request that the balancer has not answered, in time or at all.
func (r *Request) failUnresponsive() {
	if r.answered() {
		return
	}
	slog.Error("balancer_unresponsive", "request", r.attributes.ID, "attempts", r.attempts)
	r.fail(metrics.Unanswered, balancerUnresponsive)
	r.notifyClientLeft()
}

// answerNow gives a request its answer at once as the process shuts down, also where an attempt is in flight, and has the balancer forget it.
func (r *Request) answerNow(after time.Duration) {
	r.rejectOrFail(after, processShuttingDown)
	r.notifyClientLeft()
}

// notifyClientLeft notifies the balancer that nobody waits for the request any more.
func (r *Request) notifyClientLeft() {
	if r.adopted {
		return
	}
	r.core.notify(nil, r.pool, func(now balancer.Time, m Balancer) { m.ClientLeft(now, r.attributes.ID) })
}

// cancel ends an attempt at the balancer's wish.
func (r *Request) cancel(attempt int) {
	if a := r.attempt; a != nil && a.number == attempt && !a.established {
		a.finish(balancer.Cancelled, netio.Ended)
	}
}

// migrate has the client of an open connection open it again elsewhere. status is what the balancer is notified of.
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
