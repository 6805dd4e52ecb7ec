package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// reject is the final answer that says trying again is harmless.
func (r *Request) reject(after time.Duration) {
	if r.answered {
		return
	}
	r.core.counters.rejected++
	r.record.Rejected(r.core.loop.Now())
	r.core.counters.metrics.Ended(r.attributes.Class, metrics.Rejected)
	if tracing() {
		slog.Debug("request_rejected", "request", r.attributes.ID, "attempts", r.attempts, "after_ms", after.Milliseconds(),
			"left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(func() { r.downstream.Reject(after) })
}

// fail is the final answer that promises nothing.
func (r *Request) fail(how metrics.End) {
	if r.answered {
		return
	}
	r.core.counters.failed++
	r.record.Failed(r.core.loop.Now())
	r.core.counters.metrics.Ended(r.attributes.Class, how)
	if tracing() {
		slog.Debug("request_failed", "request", r.attributes.ID, "attempts", r.attempts, "state", r.stageName(), "left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(r.downstream.Fail)
}

// answer gives the client its one answer. Should an attempt be out all the same, it ends.
func (r *Request) answer(say func()) {
	r.answered = true
	r.overdueTimer.Stop()
	say()
	if r.attempt != nil {
		r.attempt.finish(balancer.Cancelled, netio.Ended)
		return
	}
	r.removeIfDone()
}

// failUnresponsive answers for a module that has not, in time or at all.
func (r *Request) failUnresponsive() {
	if r.answered {
		return
	}
	slog.Error("balancer_unresponsive", "request", r.attributes.ID, "attempts", r.attempts)
	r.fail(metrics.Unanswered)
	r.notifyClientLeft()
}

// notifyClientLeft tells the module that the client is.
func (r *Request) notifyClientLeft() {
	if r.adopted {
		return
	}
	c := r.core
	c.notify(nil, r.pool, func(now balancer.Time, m Balancer) { m.ClientLeft(now, r.attributes.ID) })
}

// cancel ends an attempt at the module's wish.
func (r *Request) cancel(attempt int) {
	if a := r.attempt; a != nil && a.number == attempt && !a.established {
		a.finish(balancer.Cancelled, netio.Ended)
	}
}

// migrate sends the client of an open connection away politely. status is what the module learns of its end.
func (r *Request) migrate(status balancer.AttemptStatus) {
	a := r.attempt
	if a == nil || !a.established || !a.detach() {
		return
	}
	r.core.counters.migrated++
	if tracing() {
		slog.Debug("client_migrated", "request", r.attributes.ID, "host", a.host.id, "status", status.String(), "leaving", r.core.shuttingDown)
	}
	r.record.Released()
	r.downstream.Migrate()
	a.conn.End(netio.Ended)
	a.notifyEnded(status)
}

// ---- events of the downstream ----

// FromDownstream passes a client's message to its host; false: not now.
func (r *Request) FromDownstream(m Message) bool {
	a := r.attempt
	if a == nil || !a.established {
		return false
	}
	if !a.conn.Pass(m) {
		return false
	}
	if len(a.unansweredSince) < maxUnansweredLines {
		a.unansweredSince = append(a.unansweredSince, r.core.loop.Now())
	}
	return true
}

// DownstreamReady says that the client takes bytes again.
func (r *Request) DownstreamReady() {
	if a := r.attempt; a != nil {
		a.conn.Pump()
	}
}

// EndedHere says that this side ends the client's connection for a fault, and has told the client so. DownstreamEnded follows.
func (r *Request) EndedHere() {
	switch {
	case r.attempt != nil && r.attempt.established:
		r.record.Released()
	case !r.answered:
		r.record.Failed(r.core.loop.Now())
	}
}

// DownstreamEnded says that the client has gone, or was cut off.
func (r *Request) DownstreamEnded(err *netio.Error) {
	if tracing() {
		slog.Debug("downstream_closed", "request", r.attributes.ID, "answered", r.answered, "state", r.stageName(), "reason", err)
	}
	if err.Cause == netio.Dropped {
		r.record.Dropped() // it was this side that ended it
	}
	r.record.ClientLeft()
	a := r.attempt
	if a != nil && a.established {
		if a.detach() {
			a.conn.End(err.Cause)
			a.notifyEnded(balancer.Cancelled)
		}
		return
	}
	if r.answered {
		return
	}
	// It left before its answer: nothing is owed, but the attempt must not go on for nobody.
	r.core.counters.metrics.Ended(r.attributes.Class, metrics.ClientLeft)
	r.answered = true
	r.overdueTimer.Stop()
	r.notifyClientLeft()
	if a := r.attempt; a != nil {
		a.finish(balancer.Cancelled, netio.Ended)
		return
	}
	r.removeIfDone()
}

// ---- events of the upstream ----
