package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/metrics"
)

// pool is a part of the hosts with an instance of the decision module of its own, which knows of these hosts alone. Without rules that split
// the hosts there is one, main.
type pool struct {
	name     string
	balancer Balancer
	removed  bool // no version names it any more, and nothing is left in it
}

// newPool makes a pool's instance of the module.
func (c *Core) newPool(name string) (*pool, error) {
	p := &pool{name: name}
	var err error
	if p.balancer, err = c.newBalancer(&effects{c, p}); err != nil {
		return nil, err
	}
	c.pools[name] = p
	return p, nil
}

// pool gives the pool of that name; "" is none: a host that changes hands is in none, and gets nothing new.
func (c *Core) pool(name string) *pool {
	if name == "" {
		return nil
	}
	if p := c.pools[name]; p != nil {
		return p
	}
	p, err := c.newPool(name)
	if err != nil {
		slog.Error("pool_failed", "pool", name, "reason", err) // the settings have made one before
		return nil
	}
	slog.Info("pool_created", "pool", name)
	return p
}

// notify has a pool's instance of the module take an event; what belongs to no pool is nobody's.
func (c *Core) notify(about *Request, p *pool, f func(now balancer.Time, m Balancer)) {
	if p == nil || p.removed {
		return
	}
	c.decisions.submit(about, func(now balancer.Time) { f(now, p.balancer) })
}

// poolOf is the pool that a host is in by the rules that hold here now.
func (c *Core) poolOf(h *host) *pool {
	if c.enforcer == nil {
		return c.main
	}
	return c.pool(c.enforcer.Pool(h.id, h.listed.Kind, h.zone))
}

// choosePool gives the first of some pools that has a host that may be used; nil: none has.
func (c *Core) choosePool(names []string) *pool {
	if names == nil {
		return c.main
	}
	for _, n := range names {
		for _, h := range c.hosts {
			if h.state == balancer.Ready && h.pool != nil && h.pool.name == n && c.enforcer.Usable(h.id) {
				return h.pool
			}
		}
	}
	return nil
}

// ReassignPools puts each host into the pool that it is in by the rules that hold now.
func (c *Core) ReassignPools() {
	c.countExistingConnections()
	used := map[string]bool{namespace.Main: true}
	moved := 0
	for _, h := range c.hosts {
		to := c.poolOf(h)
		if to != nil {
			used[to.name] = true
		}
		if h.pool != to {
			c.transferHost(h, to)
			moved++
		}
	}
	for _, r := range c.requests {
		if r.pool != nil {
			used[r.pool.name] = true
		}
	}
	for name, p := range c.pools {
		if !used[name] {
			p.removed = true
			delete(c.pools, name)
			slog.Info("pool_removed", "pool", name)
		}
	}
	if moved > 0 {
		slog.Info("hosts_reassigned", "hosts", moved, "pools", len(c.pools))
	}
}

// transferHost takes a host from one pool to another with its standing connections and what is known of it: quarantine and cold budget go along, since
// the host is as it was. What has not reached it yet goes elsewhere.
func (c *Core) transferHost(h *host, to *pool) {
	from := h.pool
	h.pool = to
	away := h.effectiveEntry()
	away.State = balancer.Removed
	if from != nil {
		m := from.balancer.Snapshot(false)
		h.lastSnapshot = nil
		for _, s := range m.Servers {
			if s.ID == h.id {
				h.lastSnapshot = &s
			}
		}
		c.notify(nil, from, func(now balancer.Time, m Balancer) {
			m.ListReceived(now, balancer.ListMaintenance, 0, []balancer.ListedHost{away})
		})
	}
	if to != nil {
		here := h.effectiveEntry()
		known := h.lastSnapshot
		c.notify(nil, to, func(now balancer.Time, m Balancer) {
			m.ListReceived(now, balancer.ListMaintenance, 0, []balancer.ListedHost{here})
			if known != nil {
				m.Restore(now, balancer.Snapshot{Servers: []balancer.HostSnapshot{*known}})
			}
		})
	}
	for a := range h.pending {
		if a.lineUnsent() && !a.request.adopted && a.request.pool == from {
			a.finish(balancer.Full, netio.Dropped)
		}
	}
	for r := range h.established {
		c.followHost(r)
	}
}

// followHost has an open connection counted where its host is now.
func (c *Core) followHost(r *Request) {
	a, from := r.attempt, r.pool
	if a == nil || !a.established || a.host.pool == from {
		return
	}
	to := a.host.pool
	number, elapsed := a.number, c.loop.Now()-a.startedAt
	r.pool, r.attemptsInEarlierPools, a.number = to, r.attempts-1, 0
	c.notify(nil, from, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, r.attributes.ID, number, balancer.Cancelled, elapsed, true, nil)
	})
	c.notify(nil, to, func(now balancer.Time, m Balancer) {
		m.ConnectionAdopted(now, r.attributes, a.host.id)
		if a.load > 0 {
			m.Observe(now, r.attributes.ID, 0, balancer.ObservedLoad, a.load)
		}
	})
}

// placeInPool has a request placed anew in another pool: the rules have changed since it came. One that may have run already, and must not run twice,
// fails, since the other instance of the module knows nothing of that.
func (c *Core) placeInPool(r *Request, number int, to *pool) {
	from := r.pool
	c.notify(r, from, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, r.attributes.ID, number, balancer.TooLate, 0, true, nil)
	})
	if to == nil {
		r.rejectOrFail(c.RetryAdvice())
		return
	}
	if !r.record.MayPlaceAnew() {
		r.fail(metrics.Failed)
		return
	}
	r.pool, r.attemptsInEarlierPools = to, r.attempts
	c.notify(r, to, func(now balancer.Time, m Balancer) {
		if !r.answered {
			q := r.attributes
			q.Remaining = r.deadline - now
			m.RequestArrived(now, q)
		}
	})
}
