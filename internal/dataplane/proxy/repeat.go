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
func (r *Request) class() *balancer.Class { return &r.core.opt.Settings.Classes[r.attributes.Class] }

// answerNow gives a request its answer at once, whatever is under way for it, and has the module forget it.
func (r *Request) answerNow(after time.Duration) {
	r.rejectOrFail(after)
	r.notifyClientLeft()
}

// stageName is how far a request has come, for the log.
func (r *Request) stageName() string {
	if r.attempt == nil {
		return "held"
	}
	return r.attempt.conn.Stage().String()
}

// rejectOrFail is the final answer of a request that gets no further attempt: a refusal, where that is true.
func (r *Request) rejectOrFail(after time.Duration) {
	if !r.record.MayReject() {
		r.fail(metrics.Failed)
		return
	}
	r.reject(after)
}

// invariantHost is what the rules have to know of a host.
func (h *host) invariantHost() invariant.Host {
	return invariant.Host{State: h.state, Zone: h.zone, Cell: h.listed.Cell}
}

// attemptBlocked logs that a rule stood against an attempt, and tells as what the attempt ends.
func (r *Request) attemptBlocked(rule invariant.Rule, h *host) balancer.AttemptStatus {
	slog.Warn("attempt_blocked", "rule", rule, "request", r.attributes.ID, "host", h.id)
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
	if a.request.attempt != a {
		return false
	}
	if rule := a.request.record.CheckWrite(a.request.core.loop.Now(), a.host.invariantHost()); rule != invariant.None {
		a.finish(a.request.attemptBlocked(rule, a.host), netio.Ended)
		return false
	}
	return true
}

// limitRetry ends the attempt when the time in which a repeat is discarded runs out before its line is written.
func (a *upstreamRequest) limitRetry() {
	deadline := a.request.record.RetryUntil()
	if deadline == math.MaxInt64 {
		return
	}
	c := a.request.core
	a.retryWindowTimer = c.loop.After(time.Duration(deadline-c.loop.Now()), func() {
		if a.lineUnsent() {
			a.finish(balancer.TooLate, netio.Ended) // no fault of the host's
		}
	})
}
