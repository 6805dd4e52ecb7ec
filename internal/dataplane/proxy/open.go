package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/metrics"
)

// Open handles a client's opening, which gets exactly one answer. It returns nil if it answered the
// client without creating a Request. A Request that it returns may already have its answer.
func (c *Core) Open(downstream Downstream, opening *Opening, requestLine RequestLine) *Request {
	c.counters.opened++
	if err := c.validate(opening); err != nil {
		c.countEnd(opening.Class, metrics.InvalidRequest)
		c.ReportInvalidRequest(err)
		downstream.Fail()
		return nil
	}
	attributes := c.attributesOf(opening)
	if c.shuttingDown {
		c.rejectOpening(downstream, &attributes, metrics.ShuttingDown, processShuttingDown, c.DefaultRetryAfter())
		return nil
	}
	verdict := c.applyRules(opening.Tenant, opening.Class, &attributes)
	var placedIn *pool
	if opening.StickyHost == "" {
		var reason localReplyReason
		if placedIn, reason = c.choosePlacement(&verdict); verdict.Rejected {
			c.rejectOpening(downstream, &attributes, metrics.Rejected, reason, verdict.RetryAfter)
			return nil
		}
	}
	wait := c.answerTimeout(opening, attributes.Class)
	r := &Request{core: c, downstream: downstream, requestLine: requestLine, attributes: attributes, pool: placedIn, tenant: opening.Tenant,
		deadline: c.loop.Now() + int64(wait)}
	r.record = invariant.Request{Monitor: c.monitor, ID: opening.ID, Class: r.class(), Deadline: r.deadline, MaxAttempts: c.opt.Settings.MaxAttempts}
	c.requests[opening.ID] = r
	if opening.StickyHost != "" {
		r.adopting = true
		c.confirmID(r, func() { r.adopt(opening.StickyHost) })
		return r
	}
	if tracing() {
		slog.Debug("request_received", "request", opening.ID, "group", opening.Group, "tenant", opening.Tenant, "retry", opening.Retry,
			"returned", opening.Returned, "ms", wait.Milliseconds())
	}
	r.overdueTimer = c.loop.After(wait+overdueGrace, r.failUnresponsive)
	c.confirmID(r, func() { c.acquireQuota(r, verdict.Account, r.requestPlacement) })
	return r
}

// validate returns an error if an opening cannot be served. The class must be known, since it
// determines the deadline and the idempotency. The ID must identify one request. The tenant must be
// one that the settings name, since hosts know no other; if the settings name no tenants, any is
// valid.
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
	case c.mustNotRunAgain(o):
		return &InvalidRequestError{IDUsed, o.ID}
	}
	return nil
}

// attributesOf returns a valid opening in the form that the decision module expects. Tenant is -1
// if the settings do not name the tenant.
func (c *Core) attributesOf(o *Opening) balancer.Request {
	attributes := balancer.Request{ID: o.ID, Class: c.names.classes[o.Class], Tenant: -1, Key: o.Key, Group: o.Group, ExpectedLoad: o.ExpectedLoad,
		Retry: o.Retry, Returned: o.Returned}
	if tenant, known := c.names.tenants[o.Tenant]; known {
		attributes.Tenant = tenant
	}
	return attributes
}

// rejectOpening rejects an opening for which no Request exists. after is the Retry-After.
func (c *Core) rejectOpening(d Downstream, attributes *balancer.Request, end metrics.End, reason localReplyReason, after time.Duration) {
	c.counters.rejected++
	c.counters.metrics.CountEnd(attributes.Class, end)
	if tracing() {
		slog.Debug("request_rejected", "request", attributes.ID, "attempts", 0, "reason", reason, "after_ms", after.Milliseconds())
	}
	if !c.mayReject(attributes.ID, &c.opt.Settings.Classes[attributes.Class]) {
		d.Fail()
		return
	}
	d.Reject(after)
}

// choosePlacement returns the first pool, in the verdict's order, that has a usable host. If there
// is none, it returns nil and turns the verdict into a rejection. reason is the reason of a
// rejection, and has no meaning otherwise.
func (c *Core) choosePlacement(v *rules.Verdict) (chosen *pool, reason localReplyReason) {
	chosen, reason = c.choosePool(v.Pools), forbiddenByRules
	if chosen == nil && !v.Rejected {
		v.Rejected, v.RetryAfter, reason = true, c.DefaultRetryAfter(), noUsableHost
	}
	return chosen, reason
}

// answerTimeout returns how long a client waits for its answer: its Wait, or the deadline of its
// class if it gave no Wait or a longer one. A client that returns to the host at which its
// connection is open may wait longer.
func (c *Core) answerTimeout(o *Opening, class int) time.Duration {
	longest := time.Duration(c.opt.Settings.Classes[class].Deadline)
	if !o.HasWait || o.Wait > longest && o.StickyHost == "" {
		return longest
	}
	return o.Wait
}
