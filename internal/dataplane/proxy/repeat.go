package proxy

import (
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// class is the settings' entry for the request's class.
func (r *Request) class() *balancer.Class { return &r.core.opt.Settings.Classes[r.ask.Class] }

// endNow gives a request its answer at once, whatever is under way for it, and has the module forget it.
func (r *Request) endNow(after time.Duration) {
	r.decline(after)
	r.gone()
}

// state is how far a request has come, for the log.
func (r *Request) state() string {
	if r.out == nil {
		return "held"
	}
	return r.out.conn.Stage().String()
}

// decline is the final answer of a request that gets no further attempt: a refusal, where that is true.
func (r *Request) decline(after time.Duration) {
	if !r.rec.MayReject() {
		r.fail(metrics.Failed)
		return
	}
	r.refuse(after)
}

// place is what the rules have to know of a host.
func (h *host) place() invariant.Host {
	return invariant.Host{State: h.state, Zone: h.zone, Cell: h.listed.Cell}
}

// heldBack logs that a rule stood against an attempt, and tells as what the attempt ends.
func (r *Request) heldBack(rule invariant.Rule, h *host) balancer.AttemptStatus {
	slog.Warn("attempt_blocked", "rule", rule, "request", r.ask.ID, "host", h.id)
	switch rule {
	case invariant.HostAcceptsNew:
		return balancer.Full
	case invariant.BeforeDeadline:
		return balancer.Timeout
	}
	return balancer.TooLate
}

// MaySend says whether the first line may be written now that the connection stands: while it was being opened its host may have ceased to take
// anything, and the time in which a repeat is discarded may have run out.
func (a *upstreamRequest) MaySend() bool {
	if a.req.out != a {
		return false
	}
	if rule := a.req.rec.Write(a.req.core.loop.Now(), a.host.place()); rule != invariant.None {
		a.finish(a.req.heldBack(rule, a.host), netio.Ended)
		return false
	}
	return true
}

// limitRepeat ends the attempt when the time in which a repeat is discarded runs out before its line is written.
func (a *upstreamRequest) limitRepeat() {
	deadline := a.req.rec.RetryUntil()
	if deadline == math.MaxInt64 {
		return
	}
	c := a.req.core
	a.repeatTimer = c.loop.After(time.Duration(deadline-c.loop.Now()), func() {
		if a.unsent() {
			a.finish(balancer.TooLate, netio.Ended) // no fault of the host's
		}
	})
}
