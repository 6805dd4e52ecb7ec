package proxy

import (
	"log/slog"
	"slices"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// fleetRules holds the rules and limits on which the fleet, all proxies together, agrees. The rules
// assign requests to accounts and to pools, the subsets of the hosts.
type fleetRules struct {
	enforcer *rules.Enforcer // nil if there are no rules
	quota    Quota           // nil if there are no limits over the fleet
	// otherProcess holds, by account, how many connections of the other process of this proxy count here.
	otherProcess map[string]int
}

// SetRules sets the rules on which the fleet agrees. It is called after Run and before the core
// accepts clients.
func (c *Core) SetRules(e *rules.Enforcer) {
	c.fleet.enforcer = e
	c.ReassignPools()
}

// RestoreRules makes this process act by a version of the rules that the other process of this proxy
// held, for the rest of its lease. requestedAt is when this process asked for it, on the clock of the
// enforcer. held may be nil, and is ignored if this process has no rules. An invalid version is logged
// and ignored: without a version, requests are treated as without a lease.
func (c *Core) RestoreRules(held *rules.HeldLease, requestedAt int64) {
	if c.fleet.enforcer == nil || held == nil {
		return
	}
	if err := c.fleet.enforcer.Restore(held, requestedAt); err != nil {
		slog.Warn("rules_not_restored", "reason", err)
		return
	}
	version, remaining := c.fleet.enforcer.ActiveVersion()
	slog.Info("rules_restored", "version", version, "lease_ms", remaining/int64(time.Millisecond))
	c.ReassignPools()
}

// applyRules returns the verdict of the fleet's rules on a request, and logs it with the rules
// version. Without rules it returns the zero Verdict, which rejects nothing.
func (c *Core) applyRules(tenant, class string, attributes *balancer.Request) (v rules.Verdict) {
	if c.fleet.enforcer == nil {
		return v
	}
	v = c.fleet.enforcer.Evaluate(namespace.Request{Tenant: tenant, Class: class, Key: attributes.Key, Group: attributes.Group, Zone: c.opt.Settings.Zone})
	if tracing() {
		pool := ""
		if len(v.Pools) > 0 {
			pool = v.Pools[0]
		}
		slog.Debug("rules_applied", "request", attributes.ID, "tenant", tenant, "class", class, "account", v.Account, "route", v.Route, "pool", pool, "rejected", v.Rejected,
			"version", v.Version, "lapsed", v.Lapsed)
	}
	v.RetryAfter = c.boundedRetryAfter(v.RetryAfter)
	return v
}

// recheckResult is the outcome of applying the rules again right before an attempt begins.
type recheckResult int

const (
	rulesAgree     recheckResult = iota // the attempt may begin
	rulesReject                         // the rules reject the request
	rulesOtherPool                      // the request may not use its pool any more
	rulesOtherHost                      // the host accepts no new requests, or belongs to another pool
)

// String returns the result's name.
func (result recheckResult) String() string {
	return [...]string{"agree", "reject", "other_pool", "other_host"}[result]
}

// recheckRules applies the rules again right before an attempt, since the process may have been
// paused, and the rules may have changed, after the request came. The verdict is zero if the
// rules are not applied: there are none, or the request is adopted (its connection was open before).
func (c *Core) recheckRules(r *Request, h *host) (v rules.Verdict, result recheckResult) {
	if c.fleet.enforcer == nil || r.adopted {
		return v, rulesAgree
	}
	v = c.applyRules(r.tenant, r.class().Name, &r.attributes)
	switch {
	case v.Rejected:
		return v, rulesReject
	case v.Pools != nil && !slices.Contains(v.Pools, r.pool.name), v.Pools == nil && r.pool != c.pools.main:
		return v, rulesOtherPool
	case !c.fleet.enforcer.Usable(h.hostID), c.fleet.enforcer.Pool(h.hostID, h.listed.Kind, h.zone) != r.pool.name:
		return v, rulesOtherHost
	}
	return v, rulesAgree
}
