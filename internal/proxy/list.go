package proxy

import (
	"log/slog"

	"croftlock/brain"
	"croftlock/internal/netio"
)

// Change is news of the cluster: a list of upstream hosts, a change of it, or the failure to get one.
type Change struct {
	Kind    brain.ListKind
	Version int64
	Hosts   []HostEntry
}

// HostEntry is one upstream host with the address at which this proxy reaches it.
type HostEntry struct {
	brain.Entry
	Endpoint string
}

// Listed takes news of the cluster. What is on its way to a host that drains or is gone stops at once, in the queue
// of dials too: nothing new may go there.
func (c *Core) Listed(ch Change) {
	entries := make([]brain.Entry, len(ch.Hosts))
	named := map[string]bool{}
	for i, e := range ch.Hosts {
		entries[i], named[e.ID] = e.Entry, true
		c.update(e)
	}
	if ch.Kind == brain.ListFull || ch.Kind == brain.ListCached {
		for id, h := range c.hosts {
			if !named[id] {
				h.state = brain.Departed
			}
		}
	}
	c.decide(nil, func(now brain.Time) { c.module.Members(now, ch.Kind, ch.Version, entries) })
	// The module knows by now, so what it makes of these outcomes goes elsewhere.
	for id, h := range c.hosts {
		if h.state == brain.Ready {
			continue
		}
		for a := range h.trying {
			if a.connecting() && !a.req.adopted {
				a.finish(brain.Full, netio.Dropped)
			}
		}
		if h.state == brain.Departed && len(h.up) == 0 && len(h.trying) == 0 {
			delete(c.hosts, id)
		}
	}
}

func (c *Core) update(e HostEntry) {
	h := c.hosts[e.ID]
	if h == nil {
		h = &host{id: e.ID, up: map[*Request]struct{}{}, trying: map[*upstreamRequest]struct{}{}}
		c.hosts[e.ID] = h
	}
	if tracing() && (h.state != e.State || h.since != e.Since || h.endpoint == "") {
		slog.Debug("host", "host", e.ID, "zone", e.Zone, "state", int(e.State), "weight", e.Weight, "since_ms", e.Since/1e6)
	}
	h.state, h.zone, h.since = e.State, e.Zone, e.Since
	if e.Endpoint == "" || e.Endpoint == h.endpoint {
		return
	}
	h.endpoint = e.Endpoint
	for a := range h.trying {
		if a.connecting() {
			a.conn.End(netio.Dropped) // it goes on towards the new address
			a.dial()
		}
	}
}

// connecting tells whether nothing of the attempt has reached its host yet.
func (a *upstreamRequest) connecting() bool { return a.conn.Stage() == netio.Connecting }
