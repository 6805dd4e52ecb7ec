package proxy

import (
	"time"

	"croftlock/internal/operations/metrics"
)

// defaultRetryAfter is the Retry-After where nothing says when there is capacity again. It is long enough for the front to send the clients
// of a proxy that shuts down elsewhere.
const defaultRetryAfter = 500 * time.Millisecond

// admission bounds the downstreams of all processes of this proxy. Each may come to need two descriptors, and running out of them would
// break connections that are open already.
type admission struct {
	limit                   int // downstreams, of this process and the other one together
	downstreams             int // downstreams of this process
	otherProcessDownstreams int // downstreams of the other process of this proxy
}

// acquire takes capacity for one downstream; false: there is none.
func (a *admission) acquire() bool {
	if a.downstreams+a.otherProcessDownstreams >= a.limit {
		return false
	}
	a.downstreams++
	return true
}

// release gives the capacity of one downstream back.
func (a *admission) release() { a.downstreams-- }

// Admit reserves capacity for one more downstream's request of a class. DownstreamEnded releases it.
func (c *Core) Admit(class string) bool {
	if c.admission.acquire() {
		return true
	}
	c.counters.overCapacity++
	c.countEnd(class, metrics.OverCapacity)
	return false
}

// DownstreamEnded gives the capacity of an admitted downstream back.
func (c *Core) DownstreamEnded() { c.admission.release() }

// Downstreams is how many downstreams this process has.
func (c *Core) Downstreams() int { return c.admission.downstreams }

// SetOtherProcessDownstreams says how many downstreams the other process of this proxy has: they share the descriptors.
func (c *Core) SetOtherProcessDownstreams(n int) { c.admission.otherProcessDownstreams = n }

// RetryAdvice is the Retry-After for a client that is rejected for want of capacity or time; 0 where clients read none.
func (c *Core) RetryAdvice() time.Duration { return c.boundedRetryAfter(defaultRetryAfter) }

// boundedRetryAfter bounds a Retry-After by the settings; 0 where clients read none.
func (c *Core) boundedRetryAfter(after time.Duration) time.Duration {
	if !c.opt.Settings.SendsRetryAfter {
		return 0
	}
	return min(after, max(0, time.Duration(c.opt.Settings.MaxRetryAfter)))
}
