package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/metrics"
)

// effects is the core as a pool's instance of the module sees it. Each effect is only noted here, to be carried out once the module has
// returned: the module must never be entered from inside itself.
type effects struct {
	*Core
	pool *pool
}

func (e *effects) later(f func()) { e.effects = append(e.effects, f) }

func (e *effects) Send(id, server string, timeout balancer.Time) {
	e.later(func() { e.send(e.pool, id, server, timeout) })
}

func (e *effects) Refuse(id string, after balancer.Time) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.decline(time.Duration(after))
		}
	})
}

func (e *effects) Fail(id string) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.fail(metrics.Failed)
		}
	})
}

func (e *effects) Cancel(id string, attempt int) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.cancel(attempt)
		}
	})
}

func (e *effects) Move(id string) {
	e.later(func() {
		if r := e.requests[id]; r != nil {
			r.move(balancer.Cancelled)
		}
	})
}

func (e *effects) After(delay balancer.Time, token string) {
	c := e.Core
	e.later(func() {
		c.loop.After(time.Duration(delay), func() {
			c.tell(nil, e.pool, func(now balancer.Time, m Decider) { m.Timer(now, token) })
		})
	})
}

// Watch and Fetch are for the whole list, which the instance of the pool main asks for.
func (e *effects) Watch(on bool) {
	if e.pool.name == namespace.Main {
		e.later(func() { e.discovery.Watch(on) })
	}
}

func (e *effects) Fetch() {
	if e.pool.name == namespace.Main {
		e.later(func() { e.discovery.Fetch() })
	}
}

func (e *effects) Log(s string) { slog.Info("module", "text", s) }

// Probe asks a host how loaded it is. One that takes nothing new, and one that is not known any more, is left alone.
func (e *effects) Probe(server string) {
	e.later(func() {
		c := e.Core
		began := c.loop.Now()
		done := func(status balancer.Status, load []float64) {
			if h, i := c.hosts[server], c.opt.Settings.ReportLoad; h != nil && i >= 0 && i < len(load) && load[i] >= 0 {
				h.loaded, h.loadedAt = load[i], c.loop.Now()
			}
			if tracing() {
				slog.Debug("probed", "host", server, "status", status.String(), "load", load, "ms", (c.loop.Now()-began)/1e6)
			}
			c.tell(nil, e.pool, func(now balancer.Time, m Decider) { m.Probed(now, server, status, now-began, load) })
		}
		h := c.hosts[server]
		if c.prober == nil || h == nil || h.state != balancer.Ready {
			done(balancer.Moot, nil)
			return
		}
		c.counts.Probed++
		c.prober.Probe(Target{h.id, h.zone, h.endpoint}, done)
	})
}

// Tell is carried out where peers can be reached; a message may be lost in any case.
func (e *effects) Tell(peer int, data []byte) {
	e.later(func() {
		if e.peers != nil {
			e.counts.Told++
			e.peers.Tell(peer, data)
		}
	})
}

// SetProber gives the core its way to ask hosts how loaded they are.
func (c *Core) SetProber(p Prober) { c.prober = p }

// SetPeers gives the core its way to the other proxies.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// PeerTold takes a message from another proxy.
func (c *Core) PeerTold(from int, data []byte) {
	c.counts.Heard++
	for _, p := range c.pools {
		c.tell(nil, p, func(now balancer.Time, m Decider) { m.Peer(now, from, data) })
	}
}
