package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// Change is news of the cluster: a list of upstream hosts, a change of it, or the failure to get one.
type Change struct {
	Kind    balancer.ListChange
	Version int64
	Hosts   []HostEntry
}

// HostEntry is one upstream host with the address at which this proxy reaches it.
type HostEntry struct {
	balancer.ListedHost
	Address string `json:"Endpoint"`
}

// ListReceived takes news of the cluster. What is on its way to a host that drains or is gone stops at once, in the queue
// of dials too: nothing new may go there.
func (c *Core) ListReceived(ch Change) {
	var floors []string
	if c.watermarks != nil && ch.Kind != balancer.ListFailed {
		floors = c.watermarks.Listed(ch)
	}
	entries := map[*pool][]balancer.ListedHost{}
	named := map[string]bool{}
	for _, e := range ch.Hosts {
		isNew := c.hosts[e.ID] == nil
		c.updateHost(e)
		h := c.hosts[e.ID]
		if to := c.poolOf(h); isNew {
			h.pool = to
		} else if to != h.pool {
			c.transferHost(h, to) // its kind or zone is another than it was
		}
		entries[h.pool], named[e.ID] = append(entries[h.pool], h.effectiveEntry()), true
	}
	if ch.Kind == balancer.ListFull || ch.Kind == balancer.ListCached {
		for id, h := range c.hosts {
			if !named[id] {
				h.state, h.listed.State = balancer.Removed, balancer.Removed
			}
		}
	}
	whole := ch.Kind == balancer.ListFull || ch.Kind == balancer.ListCached
	for _, p := range c.pools {
		if p == c.main || whole || len(entries[p]) > 0 {
			c.notify(nil, p, func(now balancer.Time, m Balancer) { m.ListReceived(now, ch.Kind, ch.Version, entries[p]) })
		}
	}
	c.stopUnsentAttempts()
	c.WatermarksChanged(floors)
	if c.successor != nil && ch.Kind != balancer.ListFailed {
		c.successor.ListChanged()
	}
}

// stopUnsentAttempts stops what is on its way to hosts that take nothing new. The module knows by now, so what it makes of these
// outcomes goes elsewhere.
func (c *Core) stopUnsentAttempts() {
	for id, h := range c.hosts {
		if h.state == balancer.Ready {
			continue
		}
		if c.healthChecker != nil {
			c.healthChecker.Forget(id)
		}
		for a := range h.pending {
			if a.lineUnsent() && !a.request.adopted {
				a.finish(balancer.Full, netio.Dropped)
			}
		}
		if h.state == balancer.Removed && len(h.established) == 0 && len(h.pending) == 0 {
			delete(c.hosts, id)
		}
	}
}

func (c *Core) newHost(id string) *host {
	h := &host{id: id, pool: c.main, established: map[*Request]struct{}{}, pending: map[*upstreamRequest]struct{}{}}
	c.hosts[id] = h
	return h
}

func (c *Core) updateHost(e HostEntry) {
	h := c.hosts[e.ID]
	if h == nil {
		h = c.newHost(e.ID)
	}
	if tracing() && (h.state != e.State || h.listed.StartedAt != e.StartedAt || h.address == "") {
		slog.Debug("host_updated", "host", e.ID, "zone", e.Zone, "state", int(e.State), "weight", e.Weight, "since_ms", e.StartedAt/1e6)
	}
	c.suspended.HostListed(e.ID)
	if h.address == "" || e.StartedAt != h.listed.StartedAt {
		h.startedAt = c.hostStart(e.StartedAt)
	}
	h.state, h.listed, h.zone = c.effectiveState(e.ListedHost), e.ListedHost, e.Zone
	if e.Address == "" || e.Address == h.address {
		return
	}
	h.address = e.Address
	for a := range h.pending {
		if a.lineUnsent() {
			a.conn.End(netio.Dropped) // it goes on towards the new address
			a.dial()
		}
	}
}

// lineUnsent tells whether the attempt's line is not written whole yet, so that its host can't act on it. It may be on its way in parts, or wait for a
// kernel that takes nothing.
func (a *upstreamRequest) lineUnsent() bool { return a.conn.Stage() < netio.Sent }
