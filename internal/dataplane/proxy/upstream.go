package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

var _ UpstreamEvents = (*upstreamRequest)(nil)

// UpstreamSent records that the last byte of the attempt's first line is written, so that the host
// may act on it.
func (a *upstreamRequest) UpstreamSent() {
	c := a.request.core
	c.counters.metrics.CountDispatch()
	a.request.record.LineWritten(c.loop.Now(), a.startedAt, a.host.invariantHost())
}

// FromUpstream handles a message from the host. Before the host's acceptance, a message is the
// answer; afterwards it is relayed. FromUpstream reports whether it accepted the message. It
// accepts and drops a message for an attempt that has ended.
func (a *upstreamRequest) FromUpstream(m Message) bool {
	r := a.request
	if r.attempt != a {
		return true
	}
	if a.established {
		return a.relay(m)
	}
	a.loadReport = m.Report
	switch m.Kind {
	case Accepted:
		a.becomeEstablished(m)
	case OverCapacity:
		a.finish(balancer.Full, netio.Ended)
	case Failed:
		a.finish(balancer.Error, netio.Ended)
	default:
		slog.Warn("unexpected_answer", "host", a.host.hostID, "request", r.attributes.ID, "text", string(m.Text))
		a.finish(balancer.Error, netio.Ended)
	}
	return true
}

// becomeEstablished handles m, the host's acceptance: it answers the client with m and notifies the
// balancer.
func (a *upstreamRequest) becomeEstablished(m Message) {
	r, c := a.request, a.request.core
	a.established = true
	r.becomeEstablished()
	a.timeoutTimer.Stop()
	a.retryWindowTimer.Stop()
	delete(a.host.pending, a)
	a.host.established[r] = struct{}{}
	if c.hosts.suspensions.Suspended(a.host.hostID) {
		c.migrateOffHost(a.host, r) // the attempt began before the suspension
	}
	c.counters.served++
	r.record.Accepted(c.loop.Now())
	end := metrics.Established
	if r.adopted {
		end = metrics.Adopted
	}
	c.counters.metrics.CountEnd(r.attributes.Class, end)
	r.downstream.Accept(m)
	a.notifyEstablished()
	c.reassignConnection(r) // the host may have changed pools in the meantime
}

// notifyEstablished notifies the balancer that the host has accepted the request. The balancer
// learns of an adopted one, whose connection was open before this proxy's start, only now.
func (a *upstreamRequest) notifyEstablished() {
	r, c := a.request, a.request.core
	elapsed := c.loop.Now() - a.startedAt
	if tracing() {
		slog.Debug("request_established", "request", r.attributes.ID, "number", a.number, "host", a.host.hostID, "adopted", r.adopted,
			"ms", elapsed/1e6)
	}
	c.notify(nil, r.pool, func(now balancer.Time, m Balancer) {
		if r.adopted {
			m.ConnectionAdopted(now, r.attributes, a.host.hostID)
			return
		}
		m.AttemptEstablished(now, r.attributes.ID, a.number, elapsed)
	})
}

// relay relays a host's message on an open connection to the client, and records the message's load
// report, load figure or kind. It reports whether the client's connection accepted the message. A
// message other than Finished, MigrateClient and LoadReported answers the client's oldest
// unanswered line.
func (a *upstreamRequest) relay(m Message) bool {
	r, c := a.request, a.request.core
	if !r.downstream.Relay(m) {
		return false
	}
	switch m.Kind {
	case Finished, MigrateClient:
		a.finalKind, a.loadReport = m.Kind, m.Report
	case LoadReported:
		a.loadFigureReceived(m.Load)
	default:
		if len(a.unansweredSince) > 0 {
			a.host.latency.recordAnswer(c.loop.Now(), a.unansweredSince[0])
			a.unansweredSince = a.unansweredSince[:copy(a.unansweredSince, a.unansweredSince[1:])]
		}
	}
	return true
}

// UpstreamReady is called when the host's connection accepts messages again.
func (a *upstreamRequest) UpstreamReady() {
	if a.request.attempt == a && a.established {
		a.request.downstream.RelayPending()
	}
}

// UpstreamEnded is called when the connection to the host has ended or was not established.
func (a *upstreamRequest) UpstreamEnded(err *netio.Error) {
	if !a.established {
		a.finish(statusBeforeAnswer(err.Stage), netio.Ended)
		return
	}
	if !a.detach() {
		return
	}
	status := a.finalStatus()
	if status == balancer.Reset {
		a.request.core.counters.lost++
	}
	if tracing() {
		slog.Debug("upstream_closed", "request", a.request.attributes.ID, "host", a.host.hostID, "status", status, "stage", err.Stage, "reason", err.Cause,
			"detail", err.Text())
	}
	a.request.record.ConnectionEnded()
	if err.Cause == netio.EndedLocally {
		a.request.downstream.Migrate() // the proxy ends the connection, since the host breaks the protocol or does not read
	} else {
		a.request.downstream.End(err.Cause)
	}
	a.notifyEnded(status)
}

// statusBeforeAnswer returns the status of an attempt whose connection broke at a stage before the
// host's answer. Until the last byte of the first line is written, the host cannot have acted on
// it.
func statusBeforeAnswer(stage netio.Stage) balancer.AttemptStatus {
	if stage < netio.Sent {
		return balancer.ConnectFailed
	}
	return balancer.Reset
}

// finalStatus returns the status with which an open connection ended, by the kind of the host's
// last message.
func (a *upstreamRequest) finalStatus() balancer.AttemptStatus {
	switch a.finalKind {
	case Finished:
		return balancer.OK
	case MigrateClient:
		return balancer.Cancelled
	}
	return balancer.Reset
}
