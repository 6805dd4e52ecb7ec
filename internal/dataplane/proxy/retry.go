package proxy

import (
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// MaySend reports whether the first line may be written, now that the connection is established. In
// the meantime the host may have become unusable, or the dedup window of a retry may have ended. If
// MaySend returns false, it has ended the attempt.
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

// startRetryWindowTimer starts a timer that ends the attempt if its line is not written before the
// dedup window ends.
func (a *upstreamRequest) startRetryWindowTimer() {
	deadline := a.request.record.RetryUntil()
	if deadline == math.MaxInt64 {
		return
	}
	c := a.request.core
	a.retryWindowTimer = c.loop.After(time.Duration(deadline-c.loop.Now()), func() {
		if a.lineUnsent() {
			a.finish(balancer.TooLate, netio.Ended) // the host is not at fault
		}
	})
}
