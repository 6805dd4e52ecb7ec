package proxy

import (
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// MaySend reports whether the attempt's first line, the request line, may be written. It is called
// once the connection to the host is established: since the attempt began, the host may have become
// unusable, or the dedup window of a retry, in which hosts discard a second run, may have ended.
// Whenever MaySend returns false, the attempt has ended: either before the call, or in it because a
// rule forbids the write.
func (a *upstreamRequest) MaySend() bool {
	if a.request.attempt != a {
		return false
	}
	if rule := a.request.record.CheckWrite(a.request.core.loop.Now(), a.host.invariantHost()); rule != invariant.None {
		a.finish(a.request.attemptBlocked(rule, a.host), netio.Ended) // closes the connection in order
		return false
	}
	return true
}

// startRetryWindowTimer starts a timer that ends the attempt if its first line is not completely
// written when the request's dedup window ends (invariant.Request.RetryUntil). It starts none if no
// dedup window applies.
func (a *upstreamRequest) startRetryWindowTimer() {
	deadline := a.request.record.RetryUntil()
	if deadline == math.MaxInt64 {
		return // no dedup window applies
	}
	c := a.request.core
	a.retryWindowTimer = c.loop.After(time.Duration(deadline-c.loop.Now()), func() {
		if a.lineUnsent() {
			a.finish(balancer.TooLate, netio.Ended) // TooLate does not count as a failure of the host
		}
	})
}
