package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/metrics"
)

// effects implements balancer.Effects, the actions that a balancer can request, for the balancer of
// one pool (a subset of the hosts). The actions are queued and carried out after the balancer has
// returned, except for Report, which logs at once. Requests are given by ID.
type effects struct {
	core *Core
	pool *pool
}

var _ balancer.Effects = (*effects)(nil)

// StartAttempt starts the next attempt of the request. timeout limits, in nanoseconds, the wait for
// the host's answer; zero means until the request's deadline.
func (e *effects) StartAttempt(id, host string, timeout balancer.Time) {
	e.core.decisions.addEffect(func() { e.core.startAttempt(e.pool, id, host, timeout) })
}

// Reject answers that a retry of the request is harmless, with after as Retry-After, in
// nanoseconds. If the request may have run and a retry is not harmless, Reject fails it.
func (e *effects) Reject(id string, after balancer.Time) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.rejectOrFail(time.Duration(after), decidedByBalancer)
		}
	})
}

// Fail answers that the request has failed, without stating whether it has run.
func (e *effects) Fail(id string) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.fail(metrics.Failed, decidedByBalancer)
		}
	})
}

// CancelAttempt ends the request's attempt with this number, which counts the attempts in the
// request's present pool from 0. It does nothing if that attempt is established or has ended.
func (e *effects) CancelAttempt(id string, attempt int) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.cancel(attempt)
		}
	})
}

// Migrate asks the client of an open connection to open it again, and ends the connection.
func (e *effects) Migrate(id string) {
	e.core.decisions.addEffect(func() {
		if r := e.core.requests[id]; r != nil {
			r.migrate(balancer.Cancelled)
		}
	})
}

// Schedule calls the balancer's TimerFired with the token after the delay, in nanoseconds.
func (e *effects) Schedule(delay balancer.Time, token string) {
	c := e.core
	c.decisions.addEffect(func() {
		c.loop.After(time.Duration(delay), func() {
			c.notify(nil, e.pool, func(now balancer.Time, m Balancer) { m.TimerFired(now, token) })
		})
	})
}

// WatchList starts or stops watching the endpoint list. Only the balancer of pool main controls the
// watch, for all pools.
func (e *effects) WatchList(on bool) {
	if e.pool.name == namespace.MainPool {
		e.core.decisions.addEffect(func() { e.core.discovery.WatchList(on) })
	}
}

// FetchList fetches the complete endpoint list. Only the balancer of pool main fetches it, for all
// pools.
func (e *effects) FetchList() {
	if e.pool.name == namespace.MainPool {
		e.core.decisions.addEffect(func() { e.core.discovery.FetchList() })
	}
}

// Report logs an event that the decision module reports.
func (e *effects) Report(event balancer.Event) {
	switch x := event.(type) {
	case balancer.HostEjected:
		slog.Info("host_ejected", "host", x.Host, "reason", "connect_failed", "ejection_ms", x.Duration/1e6, "consecutive", x.ConsecutiveFailures)
	case balancer.HostReadmitted:
		slog.Info("host_readmitted", "host", x.Host)
	case balancer.LedgerServerChanged:
		slog.Info("ledger_polled", "ledger_server", x.LedgerServer)
	case balancer.AssignmentOutdated:
		slog.Info("ledger_assignment_outdated", "host", x.Host, "ledger_server", x.LedgerServer)
	case balancer.LedgerUnreachable:
		slog.Info("ledger_unreachable")
	}
}

// HealthCheck starts a health check of a host.
func (e *effects) HealthCheck(host string) {
	e.core.decisions.addEffect(func() { e.core.checkHost(e.pool, host) })
}

// SendToPeer sends a message to the proxy with the number peer, if peers are configured. The message
// may be lost.
func (e *effects) SendToPeer(peer int, data []byte) {
	c := e.core
	c.decisions.addEffect(func() {
		if c.peers != nil {
			c.counters.peerMessagesSent++
			c.peers.SendToPeer(peer, data)
		}
	})
}
