package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
)

// pool is a part of the hosts with a balancer of its own, which knows of these hosts alone. Without rules that split the hosts there is
// one, main.
type pool struct {
	name     string
	balancer Balancer
	removed  bool // no rules version names it any more, and nothing is left in it
}

// poolTable holds the pools.
type poolTable struct {
	newBalancer func(p *pool) (Balancer, error)
	main        *pool // the only one where no rules split the hosts
	byName      map[string]*pool
}

// create makes a pool with its balancer.
func (t *poolTable) create(name string) (*pool, error) {
	p := &pool{name: name}
	var err error
	if p.balancer, err = t.newBalancer(p); err != nil {
		return nil, err
	}
	t.byName[name] = p
	return p, nil
}

// get gives the pool of a name, made where there is none yet. "" names none: a host between two pools is in none, and gets nothing new.
func (t *poolTable) get(name string) *pool {
	if name == "" {
		return nil
	}
	if p := t.byName[name]; p != nil {
		return p
	}
	p, err := t.create(name)
	if err != nil {
		slog.Error("pool_failed", "pool", name, "reason", err) // unexpected: the settings have made one before
		return nil
	}
	slog.Info("pool_created", "pool", name)
	return p
}

// removeUnused removes all pools but the used ones.
func (t *poolTable) removeUnused(used map[string]bool) {
	for name, p := range t.byName {
		if !used[name] {
			p.removed = true
			delete(t.byName, name)
			slog.Info("pool_removed", "pool", name)
		}
	}
}

// usedPools names the pools that have a host or a request, and main.
func (c *Core) usedPools() map[string]bool {
	used := map[string]bool{namespace.Main: true}
	for _, h := range c.hosts.byID {
		if h.pool != nil {
			used[h.pool.name] = true
		}
	}
	for _, r := range c.requests {
		if r.pool != nil {
			used[r.pool.name] = true
		}
	}
	return used
}

// assignedPool is the pool that a host is in by the rules in force; nil: it is between two pools.
func (c *Core) assignedPool(h *host) *pool {
	if c.fleet.enforcer == nil {
		return c.pools.main
	}
	return c.pools.get(c.fleet.enforcer.Pool(h.hostID, h.listed.Kind, h.zone))
}

// choosePool gives the first of the named pools that has a usable host; nil: none has. Without names it is main.
func (c *Core) choosePool(names []string) *pool {
	if names == nil {
		return c.pools.main
	}
	for _, name := range names {
		for _, h := range c.hosts.byID {
			if h.state == balancer.Ready && h.pool != nil && h.pool.name == name && c.fleet.enforcer.Usable(h.hostID) {
				return h.pool
			}
		}
	}
	return nil
}

// notify has a pool's balancer handle an event. about is the request that is answered should the balancer panic; nil: none. What belongs
// to no pool is handled by nobody.
func (c *Core) notify(request *Request, p *pool, handle func(now balancer.Time, m Balancer)) {
	if p == nil || p.removed {
		return
	}
	c.decisions.submit(request, p.balancer, handle)
}
