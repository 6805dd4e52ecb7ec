package proxy

import (
	"log/slog"
	"slices"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// fleetRules is what all proxies of the fleet agree on.
type fleetRules struct {
	enforcer *rules.Enforcer // nil: no rules
	quota    Quota           // nil: no limits over the fleet
}

// SetRules gives the core the rules on which the fleet agrees. It is called before clients come.
func (c *Core) SetRules(e *rules.Enforcer) {
	c.fleet.enforcer = e
	c.ReassignPools()
}

// applyRules says what the fleet's rules make of a request, and logs by which version it was decided.
func (c *Core) applyRules(tenant, class string, q *balancer.Request) (v rules.Verdict) {
	if c.fleet.enforcer == nil {
		return v
	}
	v = c.fleet.enforcer.Judge(namespace.Request{Tenant: tenant, Class: class, Key: q.Key, Group: q.Group, Zone: c.opt.Settings.Zone})
	if tracing() {
		pool := ""
		if len(v.Pools) > 0 {
			pool = v.Pools[0]
		}
		slog.Debug("rules_applied", "request", q.ID, "tenant", tenant, "class", class, "account", v.Account, "route", v.Route, "pool", pool, "rejected", v.Rejected,
			"version", v.Version, "lapsed", v.Lapsed)
	}
	v.Advice = c.boundedRetryAfter(v.Advice)
	return v
}

// recheckResult is what the rules make of an attempt right before it begins.
type recheckResult int

const (
	rulesAgree     recheckResult = iota
	rulesReject                  // the request is not placed any more
	rulesOtherPool               // the request belongs to another pool
	rulesOtherHost               // the host gets nothing new, or belongs to another pool
)

// String is the finding's name.
func (k recheckResult) String() string {
	return [...]string{"agree", "reject", "other_pool", "other_host"}[k]
}

// recheckRules applies the rules again right before an attempt: since the request was judged the process may have been paused, and
// the rules may have changed.
func (c *Core) recheckRules(r *Request, h *host) (v rules.Verdict, found recheckResult) {
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
