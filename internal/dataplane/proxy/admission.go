package proxy

import (
	"time"

	"croftlock/internal/operations/metrics"
)

// defaultRetryAfter is the Retry-After of a rejection if the time at which capacity returns is
// unknown. It is so long that the clients of a proxy that is shutting down are routed to other
// proxies by then.
const defaultRetryAfter = 500 * time.Millisecond

// admission limits the downstreams, the clients' connections, of this proxy. During a hot restart a
// proxy consists of two processes, and the limit is for both together. Each downstream may need two
// file descriptors, and running out of them would break connections that are already open.
type admission struct {
	limit                   int   // downstreams of this process and the other one together
	downstreams             int   // downstreams of this process
	otherProcessDownstreams int   // downstreams of the other process of this proxy
	lastRequestAt           int64 // ns of the loop's time, when Admit was last called
}

// acquire reserves capacity for one downstream, and reports whether there was any.
func (a *admission) acquire() bool {
	if a.downstreams+a.otherProcessDownstreams >= a.limit {
		return false
	}
	a.downstreams++
	return true
}

// release frees the capacity of one downstream.
func (a *admission) release() { a.downstreams-- }

// Admit reserves capacity for one more downstream, and reports whether there was any.
// DownstreamEnded releases the capacity. class is the class of the downstream's request, for the
// metrics.
func (c *Core) Admit(class string) bool {
	c.admission.lastRequestAt = c.loop.Now()
	if c.admission.acquire() {
		return true
	}
	c.counters.overCapacity++
	c.countEnd(class, metrics.OverCapacity)
	return false
}

// RejectOverCapacity answers an opening for which Admit found no capacity.
func (c *Core) RejectOverCapacity(d Downstream, o *Opening) {
	if class, known := c.names.classes[o.Class]; known && !c.mayReject(o.ID, &c.opt.Settings.Classes[class]) {
		d.Fail()
		return
	}
	d.Reject(c.DefaultRetryAfter())
}

// DownstreamEnded releases the capacity of an admitted downstream.
func (c *Core) DownstreamEnded() { c.admission.release() }

// Downstreams returns how many downstreams this process has.
func (c *Core) Downstreams() int { return c.admission.downstreams }

// SetOtherProcessDownstreams sets how many downstreams the other process of this proxy has. The two
// processes share the file descriptors.
func (c *Core) SetOtherProcessDownstreams(n int) { c.admission.otherProcessDownstreams = n }

// DefaultRetryAfter returns the Retry-After for a client that is rejected for lack of capacity or
// time. It returns 0, which means that none is sent, if clients read no Retry-After.
func (c *Core) DefaultRetryAfter() time.Duration { return c.boundedRetryAfter(defaultRetryAfter) }

// boundedRetryAfter returns after, limited to the settings' maximum. It returns 0, which
// means that none is sent, if clients read no Retry-After.
func (c *Core) boundedRetryAfter(after time.Duration) time.Duration {
	if !c.opt.Settings.SendsRetryAfter {
		return 0
	}
	return min(after, max(0, time.Duration(c.opt.Settings.MaxRetryAfter)))
}
