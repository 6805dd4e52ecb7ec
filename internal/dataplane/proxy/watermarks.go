package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
)

// Watermarks is what other proxies' newer endpoint lists say of hosts that drain or are removed.
type Watermarks interface {
	// ListUpdated receives the own list's change before it takes effect, and names the hosts for which what others say begins or ends to count.
	ListUpdated(ch WatchEvent) []string
	// Blocks reports whether a host that is ready in the own list gets nothing new; since is its start in that list.
	Blocks(id string, since balancer.Time) bool
}

// SetWatermarks has hosts get nothing new of which another proxy's newer list says that they drain or are removed; nil: no more.
// revision is that of the own list; under 0: there is none yet.
func (c *Core) SetWatermarks(w Watermarks, revision int64) {
	if c.hosts.watermarks = w; w == nil || revision < 0 {
		return
	}
	list := WatchEvent{Kind: balancer.ListCached, Version: revision}
	for _, h := range c.hosts.byID {
		list.Hosts = append(list.Hosts, HostEntry{ListedHost: h.listed, Address: h.address})
	}
	c.WatermarksChanged(w.ListUpdated(list))
}

// WatermarksChanged applies the watermarks of some hosts after a change.
func (c *Core) WatermarksChanged(ids []string) {
	for _, id := range ids {
		h := c.hosts.byID[id]
		if h == nil || h.listed.State != balancer.Ready || h.state == c.hosts.effectiveState(h.listed) {
			continue
		}
		h.state = c.hosts.effectiveState(h.listed)
		slog.Info("watermark_applied", "host", id, "state", hostStateName(h.state))
		c.notifyLocalChange(h.pool, h.effectiveEntry())
	}
	c.clearUnusableHosts()
}
