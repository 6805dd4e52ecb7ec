package proxy

import (
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// MaySend reports whether the first line may be written now that the connection is established. Meanwhile its host may have become unusable, and
// the dedup window of a retry may have ended. False: the attempt has been ended.
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

// startRetryWindowTimer ends the attempt when the dedup window ends before its line is written.
func (a *upstreamRequest) startRetryWindowTimer() {
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
