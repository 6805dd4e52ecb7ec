package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
)

// Watermarks is what other proxies' newer lists say of hosts that drain or are gone.
type Watermarks interface {
	// Listed takes the own list's news, before they take effect, and names hosts of which that ends or begins what others' say.
	Listed(ch Change) []string
	// Out tells whether a host that the own list calls usable gets nothing new; since is when it started, as the list has it.
	Out(id string, since balancer.Time) bool
}

// SetWatermarks has hosts get nothing new of which another proxy's newer list says that they drain or are gone. rev is that of the own list; under 0:
// there is none yet.
func (c *Core) SetWatermarks(f Watermarks, rev int64) {
	if c.watermarks = f; f == nil || rev < 0 {
		return
	}
	now := Change{Kind: balancer.ListCached, Version: rev}
	for _, h := range c.hosts {
		now.Hosts = append(now.Hosts, HostEntry{ListedHost: h.listed, Address: h.address})
	}
	c.WatermarksChanged(f.Listed(now))
}

// drainedByWatermark tells whether a listed host is out by another proxy's newer list.
func (c *Core) drainedByWatermark(e balancer.ListedHost) bool {
	return c.watermarks != nil && c.watermarks.Out(e.ID, e.StartedAt)
}

// WatermarksChanged has it take effect that floors have changed for some hosts.
func (c *Core) WatermarksChanged(ids []string) {
	for _, id := range ids {
		h := c.hosts[id]
		if h == nil || h.listed.State != balancer.Ready || h.state == c.effectiveState(h.listed) {
			continue
		}
		h.state = c.effectiveState(h.listed)
		slog.Info("watermark_applied", "host", id, "out", h.state != balancer.Ready)
		e := h.effectiveEntry()
		c.notify(nil, h.pool, func(now balancer.Time, m Balancer) {
			m.ListReceived(now, balancer.ListMaintenance, 0, []balancer.ListedHost{e})
		})
	}
	c.stopUnsentAttempts()
}
