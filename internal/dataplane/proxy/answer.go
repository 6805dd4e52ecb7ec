package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// refuse is the final answer that says trying again is harmless.
func (r *Request) refuse(after time.Duration) {
	if r.answered {
		return
	}
	r.core.counts.Rejected++
	r.rec.Rejected(r.core.loop.Now())
	r.core.figures.Ended(r.ask.Class, metrics.Rejected)
	if tracing() {
		slog.Debug("request_rejected", "request", r.ask.ID, "attempts", r.attempts, "after_ms", after.Milliseconds(),
			"left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(func() { r.down.Reject(after) })
}

// fail is the final answer that promises nothing.
func (r *Request) fail(how metrics.End) {
	if r.answered {
		return
	}
	r.core.counts.Failed++
	r.rec.Failed(r.core.loop.Now())
	r.core.figures.Ended(r.ask.Class, how)
	if tracing() {
		slog.Debug("request_failed", "request", r.ask.ID, "attempts", r.attempts, "state", r.state(), "left_ms", (r.deadline-r.core.loop.Now())/1e6)
	}
	r.answer(r.down.Fail)
}

// answer gives the client its one answer. Should an attempt be out all the same, it ends.
func (r *Request) answer(say func()) {
	r.answered = true
	r.overdue.Stop()
	say()
	if r.out != nil {
		r.out.finish(balancer.Cancelled, netio.Ended)
		return
	}
	r.forget()
}

// abandon answers for a module that has not, in time or at all.
func (r *Request) abandon() {
	if r.answered {
		return
	}
	slog.Error("balancer_unresponsive", "request", r.ask.ID, "attempts", r.attempts)
	r.fail(metrics.Unanswered)
	r.gone()
}

// gone tells the module that the client is.
func (r *Request) gone() {
	if r.adopted {
		return
	}
	c := r.core
	c.tell(nil, r.pool, func(now balancer.Time, m Balancer) { m.ClientLeft(now, r.ask.ID) })
}

// cancel ends an attempt at the module's wish.
func (r *Request) cancel(attempt int) {
	if a := r.out; a != nil && a.number == attempt && !a.up {
		a.finish(balancer.Cancelled, netio.Ended)
	}
}

// move sends the client of an open connection away politely. status is what the module learns of its end.
func (r *Request) move(status balancer.AttemptStatus) {
	a := r.out
	if a == nil || !a.up || !a.detach() {
		return
	}
	r.core.counts.Migrated++
	if tracing() {
		slog.Debug("client_migrated", "request", r.ask.ID, "host", a.host.id, "status", status.String(), "leaving", r.core.leaving)
	}
	r.rec.Released()
	r.down.Migrate()
	a.conn.End(netio.Ended)
	a.outcome(status)
}

// ---- events of the downstream ----

// FromDownstream passes a client's message to its host; false: not now.
func (r *Request) FromDownstream(m Message) bool {
	a := r.out
	if a == nil || !a.up {
		return false
	}
	if !a.conn.Pass(m) {
		return false
	}
	if len(a.waiting) < maxWaiting {
		a.waiting = append(a.waiting, r.core.loop.Now())
	}
	return true
}

// DownstreamReady says that the client takes bytes again.
func (r *Request) DownstreamReady() {
	if a := r.out; a != nil {
		a.conn.Pump()
	}
}

// EndedHere says that this side ends the client's connection for a fault, and has told the client so. DownstreamEnded follows.
func (r *Request) EndedHere() {
	switch {
	case r.out != nil && r.out.up:
		r.rec.Released()
	case !r.answered:
		r.rec.Failed(r.core.loop.Now())
	}
}

// DownstreamEnded says that the client has gone, or was cut off.
func (r *Request) DownstreamEnded(err *netio.Error) {
	if tracing() {
		slog.Debug("downstream_closed", "request", r.ask.ID, "answered", r.answered, "state", r.state(), "reason", err)
	}
	if err.Cause == netio.Dropped {
		r.rec.Dropped() // it was this side that ended it
	}
	r.rec.ClientLeft()
	a := r.out
	if a != nil && a.up {
		if a.detach() {
			a.conn.End(err.Cause)
			a.outcome(balancer.Cancelled)
		}
		return
	}
	if r.answered {
		return
	}
	// It left before its answer: nothing is owed, but the attempt must not go on for nobody.
	r.core.figures.Ended(r.ask.Class, metrics.ClientLeft)
	r.answered = true
	r.overdue.Stop()
	r.gone()
	if a := r.out; a != nil {
		a.finish(balancer.Cancelled, netio.Ended)
		return
	}
	r.forget()
}

// ---- events of the upstream ----
