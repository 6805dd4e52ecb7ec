package proxy

import (
	"log/slog"
	"slices"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// SetRules gives the core the rules on which the fleet agrees. It is called before clients come.
func (c *Core) SetRules(g *rules.Enforcer) {
	c.enforcer = g
	c.ReassignPools()
}

// judge says what the fleet's rules make of a request, and logs by which version it was decided.
func (c *Core) judge(tenant, class string, q *balancer.Request) (v rules.Verdict) {
	if c.enforcer == nil {
		return v
	}
	v = c.enforcer.Judge(namespace.Ask{Tenant: tenant, Class: class, Key: q.Key, Group: q.Group, Zone: c.opt.Settings.Zone})
	if tracing() {
		pool := ""
		if len(v.Pools) > 0 {
			pool = v.Pools[0]
		}
		slog.Debug("rules_applied", "request", q.ID, "tenant", tenant, "class", class, "account", v.Account, "route", v.Route, "pool", pool, "refused", v.Refused,
			"version", v.Version, "lapsed", v.Lapsed)
	}
	v.Advice = c.boundedRetryAfter(v.Advice)
	return v
}

// What the second look at the rules finds.
const (
	rulesUnchanged = iota
	rulesReject    // the request gets no placement any more
	rulesOtherPool // it is another pool's
	rulesOtherHost // this host gets nothing new, or is another pool's
)

// recheckRules is the second look, right before an attempt: the process may have slept since the first one, and rules may have changed.
func (c *Core) recheckRules(r *Request, h *host) (v rules.Verdict, how int) {
	if c.enforcer == nil || r.adopted {
		return v, rulesUnchanged
	}
	v = c.judge(r.tenant, c.opt.Settings.Classes[r.attributes.Class].Name, &r.attributes)
	switch {
	case v.Refused:
		return v, rulesReject
	case v.Pools != nil && !slices.Contains(v.Pools, r.pool.name), v.Pools == nil && r.pool != c.main:
		return v, rulesOtherPool
	case !c.enforcer.Usable(h.id), c.enforcer.Pool(h.id, h.listed.Kind, h.zone) != r.pool.name:
		return v, rulesOtherHost
	}
	return v, rulesUnchanged
}
