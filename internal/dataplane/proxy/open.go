package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/metrics"
)

// Open accepts a client's request, which gets one answer from here on. It gives nil where the answer was given
// without a Request being made; a Request that it gives may have its answer already.
func (c *Core) Open(d Downstream, o *Opening, first RequestLine) *Request {
	c.counters.opened++
	if err := c.validate(o); err != nil {
		c.countEnd(o.Class, metrics.InvalidRequest)
		c.ReportInvalidRequest(err)
		d.Fail()
		return nil
	}
	q := c.attributesOf(o)
	if c.shuttingDown {
		c.rejectOpening(d, &q, metrics.ShuttingDown, processShuttingDown, c.RetryAdvice())
		return nil
	}
	verdict := c.applyRules(o.Tenant, o.Class, &q)
	var in *pool
	if o.StickyHost == "" {
		var reason localReplyReason
		if in, reason = c.choosePlacement(&verdict); verdict.Rejected {
			c.rejectOpening(d, &q, metrics.Rejected, reason, verdict.Advice)
			return nil
		}
	}
	wait := c.answerTimeout(o, q.Class)
	r := &Request{core: c, downstream: d, requestLine: first, attributes: q, pool: in, tenant: o.Tenant, deadline: c.loop.Now() + int64(wait)}
	r.record = invariant.Request{Monitor: c.monitor, ID: o.ID, Class: r.class(), Deadline: r.deadline, MaxAttempts: c.opt.Settings.MaxAttempts}
	c.requests[o.ID] = r
	if o.StickyHost != "" {
		r.adopt(o.StickyHost)
		return r
	}
	if tracing() {
		slog.Debug("request_received", "request", o.ID, "group", o.Group, "tenant", o.Tenant, "retry", o.Retry, "returned", o.Returned,
			"ms", wait.Milliseconds())
	}
	r.overdueTimer = c.loop.After(wait+overdueGrace, r.failUnresponsive)
	c.acquireQuota(r, verdict.Account, r.requestPlacement)
	return r
}

// validate gives an error for an opening that cannot be served: without a class there is no deadline and no idempotency, an ID that is in use is
// another request's, and a tenant that the settings do not name is unknown to the hosts.
func (c *Core) validate(o *Opening) error {
	_, classKnown := c.names.classes[o.Class]
	_, tenantKnown := c.names.tenants[o.Tenant]
	switch {
	case !classKnown:
		return &InvalidRequestError{UnknownClass, o.Class}
	case !tenantKnown && len(c.names.tenants) > 0:
		return &InvalidRequestError{UnknownTenant, o.Tenant}
	case c.requests[o.ID] != nil:
		return &InvalidRequestError{IDInUse, o.ID}
	}
	return nil
}

// attributesOf is what the decision module is to know of a valid opening.
func (c *Core) attributesOf(o *Opening) balancer.Request {
	q := balancer.Request{ID: o.ID, Class: c.names.classes[o.Class], Tenant: -1, Key: o.Key, Group: o.Group, ExpectedLoad: o.ExpectedLoad,
		Retry: o.Retry, Returned: o.Returned}
	if tenant, known := c.names.tenants[o.Tenant]; known {
		q.Tenant = tenant
	}
	return q
}

// rejectOpening rejects a client that no request is made for.
func (c *Core) rejectOpening(d Downstream, q *balancer.Request, how metrics.End, reason localReplyReason, after time.Duration) {
	c.counters.rejected++
	c.counters.metrics.Ended(q.Class, how)
	if tracing() {
		slog.Debug("request_rejected", "request", q.ID, "attempts", 0, "reason", reason, "after_ms", after.Milliseconds())
	}
	d.Reject(after)
}

// choosePlacement is the first pool that a request may use and that has a usable host; where there is none the verdict becomes a rejection.
// reason is that of a rejection.
func (c *Core) choosePlacement(v *rules.Verdict) (in *pool, reason localReplyReason) {
	in, reason = c.choosePool(v.Pools), forbiddenByRules
	if in == nil && !v.Rejected {
		v.Rejected, v.Advice, reason = true, c.RetryAdvice(), noUsableHost
	}
	return in, reason
}

// answerTimeout is how long a client waits for its answer: as it says, at most its class's deadline. A client that comes back to the host at
// which it is open may wait for longer.
func (c *Core) answerTimeout(o *Opening, class int) time.Duration {
	longest := time.Duration(c.opt.Settings.Classes[class].Deadline)
	if !o.HasWait || o.Wait > longest && o.StickyHost == "" {
		return longest
	}
	return o.Wait
}
