package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
)

// Watermarks reports which hosts drain or are removed according to newer endpoint lists of other
// proxies. A watermark is the mark that such a list sets on a host.
type Watermarks interface {
	// ListUpdated is called with each change of this proxy's own list before it takes effect. It
	// returns the IDs of the hosts for which a watermark begins or ceases to count.
	ListUpdated(event WatchEvent) []string
	// Blocks reports whether a watermark keeps new requests from a host that is ready in the own
	// list. startedAt is the host's start in that list.
	Blocks(id string, startedAt balancer.Time) bool
}

// SetWatermarks sets the watermarks that keep new requests from hosts that drain or are removed in
// another proxy's newer list. A nil w removes them. revision is the revision of the own list,
// negative if there is none yet. If w is not nil and there is a list, it passes the list to w and
// applies the watermarks.
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

// WatermarksChanged updates the effective state of the given hosts after a change of their
// watermarks.
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
