package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/maintenance"
	"croftlock/internal/operations/metrics"
)

// effectiveState is the state that counts for a listed host: one that operators have taken out takes nothing, whatever
// discovery says, and one that drains or is gone by another proxy's newer list takes nothing new.
func (c *Core) effectiveState(e balancer.ListedHost) balancer.HostState {
	switch {
	case e.State != balancer.Ready:
		return e.State
	case c.suspended.Suspended(e.ID):
		return balancer.Suspended
	case c.drainedByWatermark(e):
		return balancer.Draining
	}
	return e.State
}

// Suspend has nothing more go to a host from now on, or ends that; twice is as once. done hears whether any list has ever
// named the host.
func (c *Core) Suspend(id string, out bool, done func(known bool)) {
	if !c.suspended.Known(id) {
		done(false)
		return
	}
	c.applySuspension(id, out)
	if c.successor == nil {
		done(true)
		return
	}
	// It holds here from now on; the yes waits until it would survive this process. The other process hears of it also
	// where nothing changed here: a call may have gone to the one that knew less.
	c.successor.HostSuspended(id, out, func() { done(true) })
}

// applySuspension has a host's ban, or the end of it, take effect.
func (c *Core) applySuspension(id string, out bool) {
	ban, now, was := c.suspended.Suspension(id), c.loop.Now(), c.suspended.Suspended(id)
	if !c.suspended.Set(id, out, now) {
		return
	}
	slog.Info("host_suspended", "host", id, "out", out)
	if c.suspended.Suspended(id) != was {
		c.suspensionChanged(id, out, ban)
	}
}

// SuspendForFleet takes the list of hosts that are out for the whole fleet, whole: a host that is no longer on it comes back.
func (c *Core) SuspendForFleet(ids []string) {
	bans := map[string]maintenance.Suspension{}
	for _, id := range c.suspended.IDs() {
		bans[id] = c.suspended.Suspension(id)
	}
	for _, id := range c.suspended.SetFleet(ids, c.loop.Now()) {
		out := c.suspended.Suspended(id)
		slog.Info("host_suspended", "host", id, "out", out, "fleet", true)
		c.suspensionChanged(id, out, bans[id])
	}
}

// suspensionChanged has a host that is out, or no longer, treated so. ban is the one that ends.
func (c *Core) suspensionChanged(id string, out bool, ban maintenance.Suspension) {
	now := c.loop.Now()
	h := c.hosts[id]
	if h == nil || h.listed.State == balancer.Removed {
		return // it holds from the next list on that names the host
	}
	h.state = c.effectiveState(h.listed)
	e := h.effectiveEntry()
	if !out {
		var guess bool
		if e.StartedAt, guess = ban.StartAfter(e.StartedAt, now); guess {
			c.loop.After(time.Duration(maintenance.StartUncertainty), func() { c.confirmStart(h, e.StartedAt) })
		}
	}
	c.notify(nil, h.pool, func(now balancer.Time, m Balancer) {
		m.ListReceived(now, balancer.ListMaintenance, 0, []balancer.ListedHost{e})
	})
	c.stopUnsentAttempts()
	if out {
		for r := range h.established {
			c.migrateOffHost(h, r)
		}
	}
}

// migrateOffHost moves a client off a host that is out, in its turn. The host is restarted next, which would cut it off.
func (c *Core) migrateOffHost(h *host, r *Request) {
	c.loop.After(maintenance.MigrationDelay(r.attributes.ID), func() {
		c.migratePaced(func() bool {
			_, there := h.established[r]
			if there = there && c.suspended.Suspended(h.id); there {
				r.migrate(balancer.Cancelled)
			}
			return there
		})
	})
}

// confirmStart ends the doubt about a host that came back: its start is as discovery says, which has had its time. guess is the
// start that the module was told.
func (c *Core) confirmStart(h *host, guess int64) {
	if c.hosts[h.id] != h || h.state != balancer.Ready || h.startedAt >= guess {
		return // it is out again, or gone; or its start has been told since, and the module knows
	}
	away := h.effectiveEntry()
	away.State = balancer.Suspended
	back := []balancer.ListedHost{away, h.effectiveEntry()}
	c.notify(nil, h.pool, func(now balancer.Time, m Balancer) { m.ListReceived(now, balancer.ListMaintenance, 0, back) })
}

// Metrics is the text of all figures.
func (c *Core) Metrics() []byte {
	open, pending := c.countRequests()
	n := metrics.Gauges{Concurrent: open + pending}
	now := c.loop.Now()
	for id, h := range c.hosts {
		if h.state == balancer.Removed {
			continue
		}
		n.Hosts++
		if c.suspended.Suspended(id) || h.pool != nil && h.pool.balancer.Ejected(now, id) {
			n.Ejected++
		}
	}
	return c.counters.metrics.Text(n)
}
