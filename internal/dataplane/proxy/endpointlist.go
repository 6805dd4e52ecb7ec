package proxy

import (
	"croftlock/internal/balancer"
)

// WatchEvent is an event of the watch of the endpoint list: the complete list, a change of it, or a
// failed watch or fetch.
type WatchEvent struct {
	Kind    balancer.ListChange // whether Hosts is the complete list or a change, or that there is no list
	Version int64               // the list's revision, which the discovery service assigned; 0 for a failure
	Hosts   []HostEntry
}

// isFullList reports whether the event lists all hosts.
func (event *WatchEvent) isFullList() bool {
	return event.Kind == balancer.ListFull || event.Kind == balancer.ListCached
}

// HostEntry is an entry of the endpoint list: an upstream host and the address at which this proxy
// connects to it.
type HostEntry struct {
	balancer.ListedHost
	Address string `json:"Endpoint"`
}

// ListReceived applies a watch event. Draining and removed hosts get no new requests, so it ends the
// attempts at them whose first line is not written yet, including those that wait for a dial.
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

// updateHosts applies the event's entries to the host table, and returns for each pool the entries of
// its hosts, with the states that result from suspensions and watermarks. The key nil has the hosts
// that are between two pools.
func (c *Core) updateHosts(event *WatchEvent) map[*pool][]balancer.ListedHost {
	entries := map[*pool][]balancer.ListedHost{}
	listed := map[string]bool{}
	for _, e := range event.Hosts {
		h, isNew := c.hosts.update(e)
		if assigned := c.assignedPool(h); isNew {
			h.pool = assigned
		} else if assigned != h.pool {
			c.transferHost(h, assigned) // the host's kind or zone has changed
		}
		entries[h.pool], listed[e.ID] = append(entries[h.pool], h.effectiveEntry()), true
	}
	if event.isFullList() {
		c.hosts.removeUnlisted(listed)
	}
	return entries
}

// clearUnusableHosts ends the attempts whose first line is not written yet at all hosts that are not
// ready, and drops removed hosts that have no requests. It is called after the decision module has
// been notified of the hosts' states, so that retries go to other hosts.
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

// notifyLocalChange notifies the balancer of a pool of changes of a host that do not come from
// the discovery service: a suspension, a watermark or a transfer between pools. The balancer applies the
// entries in order.
func (c *Core) notifyLocalChange(p *pool, entries ...balancer.ListedHost) {
	c.notify(nil, p, func(now balancer.Time, m Balancer) {
		m.ListReceived(now, balancer.ListLocal, entries)
	})
}
