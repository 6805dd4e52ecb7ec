package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/metrics"
)

// UpstreamSent says that the last byte of the first line is written.
func (a *upstreamRequest) UpstreamSent() {
	a.req.core.figures.Dispatched()
	a.req.rec.Wrote(a.req.core.loop.Now(), a.sentAt, a.host.place())
}

// FromUpstream takes a message of the host's.
func (a *upstreamRequest) FromUpstream(m Message) bool {
	r := a.req
	if r.out != a {
		return true
	}
	if a.up {
		return a.pass(m)
	}
	a.report = m.Report
	switch m.Kind {
	case Accepted:
		a.stand(m)
	case OverCapacity:
		a.finish(balancer.Full, netio.Ended)
	case Failed:
		a.finish(balancer.Error, netio.Ended)
	default:
		slog.Warn("unexpected_answer", "host", a.host.id, "request", r.ask.ID, "text", string(m.Text))
		a.finish(balancer.Error, netio.Ended)
	}
	return true
}

// stand is the host's acceptance: the client's answer.
func (a *upstreamRequest) stand(m Message) {
	r, c := a.req, a.req.core
	a.up, r.answered = true, true
	a.timer.Stop()
	a.repeatTimer.Stop()
	r.overdue.Stop()
	delete(a.host.trying, a)
	a.host.up[r] = struct{}{}
	if c.suspended.Suspended(a.host.id) {
		c.leaveHost(a.host, r) // it was on its way before the operators' word
	}
	c.counts.Served++
	r.rec.Accepted(c.loop.Now())
	how := metrics.Established
	if r.adopted {
		how = metrics.Adopted
	}
	c.figures.Ended(r.ask.Class, how)
	r.down.Accept(m)
	elapsed := c.loop.Now() - a.sentAt
	if tracing() {
		slog.Debug("request_established", "request", r.ask.ID, "number", a.number, "host", a.host.id, "adopted", r.adopted,
			"ms", elapsed/1e6)
	}
	c.tell(nil, r.pool, func(now balancer.Time, m Balancer) {
		if r.adopted {
			m.ConnectionAdopted(now, r.ask, a.host.id)
			return
		}
		m.AttemptEstablished(now, r.ask.ID, a.number, elapsed)
	})
	c.follow(r) // its host may have changed pools while it was on its way
}

// pass hands a line of an open connection on and takes note of what it tells.
func (a *upstreamRequest) pass(m Message) bool {
	r, c := a.req, a.req.core
	if !r.down.Pass(m) {
		return false
	}
	switch m.Kind {
	case Finished, MigrateClient:
		a.last, a.report = m.Kind, m.Report
	case LoadReported:
		a.loadTold(m.Load)
	default:
		if len(a.waiting) > 0 {
			a.host.delay.answered(c.loop.Now(), a.waiting[0])
			a.waiting = a.waiting[:copy(a.waiting, a.waiting[1:])]
		}
	}
	return true
}

// UpstreamReady says that the host takes bytes again.
func (a *upstreamRequest) UpstreamReady() {
	if a.req.out == a && a.up {
		a.req.down.Pump()
	}
}

// UpstreamEnded says that the connection to the host is over, or never stood.
func (a *upstreamRequest) UpstreamEnded(err *netio.Error) {
	if !a.up {
		// Up to the last byte of the first line the host cannot have acted on it.
		status := balancer.Reset
		if err.Stage < netio.Sent {
			status = balancer.ConnectFailed
		}
		a.finish(status, netio.Ended)
		return
	}
	if !a.detach() {
		return
	}
	status := balancer.Reset
	switch a.last {
	case Finished:
		status = balancer.OK
	case MigrateClient:
		status = balancer.Cancelled
	default:
		a.req.core.counts.Lost++
	}
	if tracing() {
		slog.Debug("upstream_closed", "request", a.req.ask.ID, "host", a.host.id, "status", status.String(), "reason", err)
	}
	a.req.rec.Released()
	a.req.down.End(err.Cause)
	a.outcome(status)
}
