package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/metrics"
)

// effects is the core as a pool's balancer sees it. Effects are only noted here, and carried out once the balancer has returned; Report
// alone is done at once.
type effects struct {
	core *Core
	pool *pool
}

var _ balancer.Effects = (*effects)(nil)

// StartAttempt begins the request's next attempt.
func (e *effects) StartAttempt(id, host string, timeout balancer.Time) {
	e.core.decisions.addEffect(func() { e.core.startAttempt(e.pool, id, host, timeout) })
}

// Reject gives the request its final answer: not done, and a retry is harmless.
func (e *effects) Reject(id string, after balancer.Time) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.rejectOrFail(time.Duration(after), decidedByBalancer)
		}
	})
}

// Fail gives the request the final answer that promises nothing.
func (e *effects) Fail(id string) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.fail(metrics.Failed, decidedByBalancer)
		}
	})
}

// CancelAttempt ends an attempt that is under way.
func (e *effects) CancelAttempt(id string, attempt int) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.cancel(attempt)
		}
	})
}

// Migrate migrates the client of an open connection.
func (e *effects) Migrate(id string) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.migrate(balancer.Cancelled)
		}
	})
}

// Schedule notifies the balancer of a token after a delay.
func (e *effects) Schedule(delay balancer.Time, token string) {
	c := e.core
	c.decisions.addEffect(func() {
		c.loop.After(time.Duration(delay), func() {
			c.notify(nil, e.pool, func(now balancer.Time, m Balancer) { m.TimerFired(now, token) })
		})
	})
}

// WatchList begins or ends the watch of the endpoint list, which main's balancer does for all pools.
func (e *effects) WatchList(on bool) {
	if e.pool.name == namespace.Main {
		e.core.decisions.addEffect(func() { e.core.discovery.WatchList(on) })
	}
}

// FetchList fetches the complete endpoint list, which main's balancer does for all pools.
func (e *effects) FetchList() {
	if e.pool.name == namespace.Main {
		e.core.decisions.addEffect(func() { e.core.discovery.FetchList() })
	}
}

// Report logs a fact of the decision module's.
func (e *effects) Report(event balancer.Event) {
	switch x := event.(type) {
	case balancer.HostEjected:
		slog.Info("host_ejected", "host", x.Host, "reason", "connect_failed", "ejection_ms", x.Duration/1e6, "consecutive", x.ConsecutiveFailures)
	case balancer.HostReadmitted:
		slog.Info("host_readmitted", "host", x.Host)
	case balancer.LedgerServerChanged:
		slog.Info("ledger_polled", "ledger_server", x.LedgerServer)
	case balancer.LedgerUnreachable:
		slog.Info("ledger_unreachable")
	}
}

// HealthCheck begins a health check of a host.
func (e *effects) HealthCheck(host string) {
	e.core.decisions.addEffect(func() { e.core.checkHost(e.pool, host) })
}

// SendToPeer sends a message where peers can be reached; a message may be lost in any case.
func (e *effects) SendToPeer(peer int, data []byte) {
	c := e.core
	c.decisions.addEffect(func() {
		if c.peers != nil {
			c.counters.peerMessagesSent++
			c.peers.SendToPeer(peer, data)
		}
	})
}
