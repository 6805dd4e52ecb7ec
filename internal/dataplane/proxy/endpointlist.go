package proxy

import (
	"croftlock/internal/balancer"
)

// WatchEvent is a watch event: an endpoint list, a change of it, or the failure to get one.
type WatchEvent struct {
	Kind    balancer.ListChange
	Version int64 // discovery's revision
	Hosts   []HostEntry
}

// isFullList reports whether the change names all hosts that there are.
func (event *WatchEvent) isFullList() bool {
	return event.Kind == balancer.ListFull || event.Kind == balancer.ListCached
}

// HostEntry is one upstream host with the address at which this proxy reaches it.
type HostEntry struct {
	balancer.ListedHost
	Address string `json:"Endpoint"`
}

// ListReceived applies a watch event. Attempts whose line is not written to a host that drains or is removed stop at once, also those
// that wait for a dial: nothing new may go there.
func (c *Core) ListReceived(event WatchEvent) {
	var watermarksChanged []string
	if c.hosts.watermarks != nil && event.Kind != balancer.ListFailed {
		watermarksChanged = c.hosts.watermarks.ListUpdated(event)
	}
	entries := c.updateHosts(&event)
	for _, p := range c.pools.byName {
		if p == c.pools.main || event.isFullList() || len(entries[p]) > 0 {
			c.notify(nil, p, func(now balancer.Time, m Balancer) { m.ListReceived(now, event.Kind, entries[p]) })
		}
	}
	c.clearUnusableHosts()
	c.WatermarksChanged(watermarksChanged)
	if c.handover.successor != nil && event.Kind != balancer.ListFailed {
		c.handover.successor.ListChanged()
	}
}

// updateHosts applies the entries to the host table, and gives them as each pool's balancer is to see them.
func (c *Core) updateHosts(event *WatchEvent) map[*pool][]balancer.ListedHost {
	entries := map[*pool][]balancer.ListedHost{}
	listed := map[string]bool{}
	for _, e := range event.Hosts {
		h, isNew := c.hosts.update(e)
		if assigned := c.assignedPool(h); isNew {
			h.pool = assigned
		} else if assigned != h.pool {
			c.transferHost(h, assigned) // its kind or zone has changed
		}
		entries[h.pool], listed[e.ID] = append(entries[h.pool], h.effectiveEntry()), true
	}
	if event.isFullList() {
		c.hosts.removeUnlisted(listed)
	}
	return entries
}

// clearUnusableHosts stops what is on its way to hosts that take nothing new, and drops removed hosts that nothing is left at. It comes
// after the decision module has been notified, so that what it makes of these ends goes to other hosts.
func (c *Core) clearUnusableHosts() {
	for id, h := range c.hosts.byID {
		if h.state == balancer.Ready {
			continue
		}
		if c.healthChecker != nil {
			c.healthChecker.Forget(id)
		}
		h.stopUnsentAttempts(func(*upstreamRequest) bool { return true })
		if h.state == balancer.Removed && len(h.established) == 0 && len(h.pending) == 0 {
			delete(c.hosts.byID, id)
		}
	}
}

// localChange has the balancer of a host's pool see the host as the entries say, one after the other: a change by a suspension, a watermark or
// a transfer between pools.
func (c *Core) notifyLocalChange(p *pool, entries ...balancer.ListedHost) {
	c.notify(nil, p, func(now balancer.Time, m Balancer) {
		m.ListReceived(now, balancer.ListLocal, entries)
	})
}
