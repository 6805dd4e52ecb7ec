package proxy

import (
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/operations/metrics"
)

// adoptionRetryDelay is the pause between two attempts to restore a connection that was open before
// the process's start.
const adoptionRetryDelay = 200 * time.Millisecond

// adopt restores a connection that was open at the host with this ID before this proxy's start. Only
// that host can continue the connection, so the balancer chooses no host. It is notified once the
// connection is established. The request fails if the host is unknown or a rule forbids the attempt.
func (r *Request) adopt(hostID string) {
	h := r.core.hosts.byID[hostID]
	if h == nil {
		slog.Warn("adoption_failed", "host", hostID, "reason", hostNotListed)
		r.fail(metrics.Failed, hostNotListed)
		return
	}
	r.adopted, r.pool = true, h.pool
	r.record.Adopted, r.record.MaxAttempts = true, math.MaxInt // no limit of attempts
	if rule := r.record.CheckAttempt(r.core.loop.Now(), h.invariantHost()); rule != invariant.None {
		r.attemptBlocked(rule, h)
		r.fail(metrics.Failed, blockedByInvariant)
		return
	}
	r.beginAttempt(h, 0, r.deadline)
}

// adoptionEnded handles the end of an adopted request's attempt that was not established. It retries
// the adoption after adoptionRetryDelay if the host cannot have acted on the attempt, and if the
// client still waits then. Otherwise the request fails. A request that has its answer is removed.
func (a *upstreamRequest) adoptionEnded(status balancer.AttemptStatus) {
	r, c := a.request, a.request.core
	if r.answered() {
		r.removeIfDone()
		return
	}
	if status.DidNotRun() && c.loop.Now()+int64(adoptionRetryDelay) < r.deadline {
		c.loop.After(adoptionRetryDelay, func() {
			if !r.answered() {
				r.adopt(a.host.hostID)
			}
		})
		return
	}
	slog.Warn("adoption_failed", "host", a.host.hostID, "reason", adoptionAttemptEnded, "status", status)
	r.fail(metrics.Failed, adoptionAttemptEnded)
}
