package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
)

// pool is a subset of the hosts with a balancer of its own, which knows only these hosts. Unless
// rules split the hosts, main is the only pool.
type pool struct {
	name     string
	balancer Balancer
	removed  bool // the pool has no hosts or requests any more, and its balancer gets no events
}

// poolTable holds the pools by name, and creates them.
type poolTable struct {
	newBalancer func(p *pool) (Balancer, error) // set by Core.Run
	main        *pool                           // the pool of requests for which no rule names another; nil before Core.Run
	byName      map[string]*pool
}

// create creates a pool with its balancer.
func (t *poolTable) create(name string) (*pool, error) {
	p := &pool{name: name}
	var err error
	if p.balancer, err = t.newBalancer(p); err != nil {
		return nil, err
	}
	t.byName[name] = p
	return p, nil
}

// get returns the pool of the given name, and creates it if necessary. It returns nil for the empty
// name, which stands for a host that moves between two pools and gets no new requests, and if the
// pool cannot be created.
func (t *poolTable) get(name string) *pool {
	if name == "" {
		return nil
	}
	if p := t.byName[name]; p != nil {
		return p
	}
	p, err := t.create(name)
	if err != nil {
		slog.Error("pool_failed", "pool", name, "reason", err) // unexpected, because main was created from the same settings
		return nil
	}
	slog.Info("pool_created", "pool", name)
	return p
}

// removeUnused removes all pools that are not in used.
func (t *poolTable) removeUnused(used map[string]bool) {
	for name, p := range t.byName {
		if !used[name] {
			p.removed = true
			delete(t.byName, name)
			slog.Info("pool_removed", "pool", name)
		}
	}
}

// usedPools returns the names of the pools that have a host or a request, and of main.
func (c *Core) usedPools() map[string]bool {
	used := map[string]bool{namespace.MainPool: true}
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

// assignedPool returns the pool of a host by the rules in force, or nil if the host moves between
// two pools.
func (c *Core) assignedPool(h *host) *pool {
	if c.fleet.enforcer == nil {
		return c.pools.main
	}
	return c.pools.get(c.fleet.enforcer.Pool(h.hostID, h.listed.Kind, h.zone))
}

// choosePool returns the first of the named pools that has a usable host: one that accepts new
// requests and that the rules permit. It returns nil if none has one, and main if names is nil,
// which means that the rules name no pools.
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

// notify submits an event to the balancer of a pool. If the balancer panics, request fails; request
// is nil if the event does not concern a single request. notify does nothing if the pool
// is nil or removed.
func (c *Core) notify(request *Request, p *pool, handle func(now balancer.Time, m Balancer)) {
	if p == nil || p.removed {
		return
	}
	c.decisions.submit(request, p.balancer, handle)
}
