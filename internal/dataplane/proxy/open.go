package proxy

import (
	"fmt"
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/operations/metrics"
)

// Open takes a client's request, and owes it one answer from here on. It gives nil where that is given already.
func (c *Core) Open(d Downstream, o *Opening, first RequestLine) *Request {
	c.counters.opened++
	q := balancer.Request{ID: o.ID, Tenant: -1, Key: o.Key, Group: o.Group, ExpectedLoad: o.ExpectedLoad, Retry: o.Retry,
		Returned: o.Returned}
	class, known := c.classes[o.Class]
	tenant, shares := c.tenants[o.Tenant]
	if !known || !shares && len(c.tenants) > 0 || c.requests[o.ID] != nil {
		// Without a class there is no deadline and no rule to serve it by; an id that is in use belongs to another's
		// request; and what the settings do not name, no host can read either.
		c.countEnd(o.Class, metrics.InvalidRequest)
		c.InvalidRequest(fmt.Errorf("class %q known=%t tenant %q known=%t", o.Class, known, o.Tenant, shares))
		d.Fail()
		return nil
	}
	if c.shuttingDown {
		c.counters.rejected++
		c.counters.metrics.Ended(class, metrics.ShuttingDown)
		d.Reject(c.RetryAdvice())
		return nil
	}
	verdict := c.judge(o.Tenant, o.Class, &q)
	var in *pool
	if o.PinnedHost == "" {
		if in = c.choosePool(verdict.Pools); in == nil && !verdict.Refused {
			verdict.Refused, verdict.Advice = true, c.RetryAdvice() // no pool that it may use has a host that it may use
		}
		if verdict.Refused {
			c.counters.rejected++
			c.counters.metrics.Ended(class, metrics.Rejected)
			d.Reject(verdict.Advice)
			return nil
		}
	}
	q.Class = class
	if shares {
		q.Tenant = tenant
	}
	wait := o.Wait
	if longest := time.Duration(c.opt.Settings.Classes[class].Deadline); !o.HasWait || wait > longest && o.PinnedHost == "" {
		wait = longest // no client waits longer, whatever it writes, and none may be kept for days
	}
	now := c.loop.Now()
	r := &Request{core: c, downstream: d, requestLine: first, attributes: q, pool: in, tenant: o.Tenant, deadline: now + int64(wait)}
	r.record = invariant.Request{Monitor: c.monitor, ID: o.ID, Class: r.class(), Deadline: r.deadline, MaxAttempts: c.opt.Settings.MaxAttempts}
	c.requests[o.ID] = r
	if o.PinnedHost != "" {
		r.adopt(o.PinnedHost)
		return r
	}
	if tracing() {
		slog.Debug("request_received", "request", o.ID, "group", o.Group, "tenant", o.Tenant, "repeat", o.Retry, "returned", o.Returned,
			"ms", wait.Milliseconds())
	}
	// The module answers by the deadline. Should it not, the client gets its answer all the same.
	r.overdueTimer = c.loop.After(wait+overdueGrace, r.failUnresponsive)
	c.acquireQuota(r, verdict.Account, func() {
		c.notify(r, in, func(now balancer.Time, m Balancer) {
			if r.answered {
				return
			}
			q.Remaining = r.deadline - now
			m.RequestArrived(now, q)
		})
	})
	return r
}
