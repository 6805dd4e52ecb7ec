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

func (e *effects) StartAttempt(id, server string, timeout balancer.Time) {
	e.decisions.addEffect(func() { e.startAttempt(e.pool, id, server, timeout) })
}

func (e *effects) Reject(id string, after balancer.Time) {
	e.decisions.addEffect(func() {
		if r := e.requests[id]; r != nil {
			r.rejectOrFail(time.Duration(after))
		}
	})
}

func (e *effects) Fail(id string) {
	e.decisions.addEffect(func() {
		if r := e.requests[id]; r != nil {
			r.fail(metrics.Failed)
		}
	})
}

func (e *effects) CancelAttempt(id string, attempt int) {
	e.decisions.addEffect(func() {
		if r := e.requests[id]; r != nil {
			r.cancel(attempt)
		}
	})
}

func (e *effects) Migrate(id string) {
	e.decisions.addEffect(func() {
		if r := e.requests[id]; r != nil {
			r.migrate(balancer.Cancelled)
		}
	})
}

func (e *effects) Schedule(delay balancer.Time, token string) {
	c := e.Core
	e.decisions.addEffect(func() {
		c.loop.After(time.Duration(delay), func() {
			c.notify(nil, e.pool, func(now balancer.Time, m Balancer) { m.TimerFired(now, token) })
		})
	})
}

// WatchList and Fetch are for the whole list, which the instance of the pool main asks for.
func (e *effects) WatchList(on bool) {
	if e.pool.name == namespace.Main {
		e.decisions.addEffect(func() { e.discovery.WatchList(on) })
	}
}

func (e *effects) FetchList() {
	if e.pool.name == namespace.Main {
		e.decisions.addEffect(func() { e.discovery.FetchList() })
	}
}

// Report logs a fact of the decision module's.
func (e *effects) Report(event balancer.Event) {
	switch x := event.(type) {
	case balancer.HostEjected:
		slog.Info("host_ejected", "host", x.Host, "reason", "connect_failed", "ejection_ms", x.Ejection/1e6, "consecutive", x.ConsecutiveFailures)
	case balancer.HostReadmitted:
		slog.Info("host_readmitted", "host", x.Host)
	case balancer.LedgerPolled:
		slog.Info("ledger_polled", "coordinator", x.Coordinator)
	case balancer.LedgerUnreachable:
		slog.Info("ledger_unreachable")
	}
}

// HealthCheck asks a host how loaded it is. One that takes nothing new, and one that is not known any more, is left alone.
func (e *effects) HealthCheck(server string) {
	e.decisions.addEffect(func() {
		c := e.Core
		began := c.loop.Now()
		done := func(status balancer.AttemptStatus, load []float64) {
			if h, i := c.hosts[server], c.opt.Settings.LoadField; h != nil && i >= 0 && i < len(load) && load[i] >= 0 {
				h.checkedLoad, h.checkedAt = load[i], c.loop.Now()
			}
			if tracing() {
				slog.Debug("health_checked", "host", server, "status", status.String(), "load", load, "ms", (c.loop.Now()-began)/1e6)
			}
			c.notify(nil, e.pool, func(now balancer.Time, m Balancer) { m.HealthCheckEnded(now, server, status, now-began, load) })
		}
		h := c.hosts[server]
		if c.healthChecker == nil || h == nil || h.state != balancer.Ready {
			done(balancer.TooLate, nil)
			return
		}
		c.counters.healthChecks++
		c.healthChecker.Check(Target{h.id, h.zone, h.address}, done)
	})
}

// SendToPeer is carried out where peers can be reached; a message may be lost in any case.
func (e *effects) SendToPeer(peer int, data []byte) {
	e.decisions.addEffect(func() {
		if e.peers != nil {
			e.counters.peerMessagesSent++
			e.peers.SendToPeer(peer, data)
		}
	})
}

// SetHealthChecker gives the core its way to ask hosts how loaded they are.
func (c *Core) SetHealthChecker(p HealthChecker) { c.healthChecker = p }

// SetPeers gives the core its way to the other proxies.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// PeerMessageReceived takes a message from another proxy.
func (c *Core) PeerMessageReceived(from int, data []byte) {
	c.counters.peerMessagesReceived++
	for _, p := range c.pools {
		c.notify(nil, p, func(now balancer.Time, m Balancer) { m.PeerMessageReceived(now, from, data) })
	}
}
