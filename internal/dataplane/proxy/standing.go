package proxy

import (
	"log/slog"
	"math"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// HandedOverConnection is an open connection as one process of a proxy hands it to the next.
type HandedOverConnection struct {
	Request         balancer.Request `json:"Request"`
	Class           string           `json:"Class"` // names, since numbers are of one process's settings
	Tenant          string           `json:"Tenant"`
	Host            string           `json:"Host"`
	Load            float64          `json:"Load"`
	UnansweredSince []int64          `json:"Waiting"` // when the client's lines went up that no line has come back for
	LastKind        MessageKind      `json:"Last"`
	Down            netio.Parts      `json:"Down"`
	Up              netio.Parts      `json:"Up"`
}

// Releaser is an end of a connection that can be handed over.
type Releaser interface {
	Release(done func(netio.Parts))
}

// handOver begins to hand an open connection over; one that can't be is moved.
func (c *Core) handOver(r *Request) {
	a := r.attempt
	down, ok := r.downstream.(Releaser)
	up, ok2 := a.conn.(Releaser)
	if !ok || !ok2 {
		r.migrate(balancer.Cancelled)
		return
	}
	s := &HandedOverConnection{Request: r.attributes, Class: c.opt.Settings.Classes[r.attributes.Class].Name, Host: a.host.id, Load: a.load, UnansweredSince: a.unansweredSince,
		LastKind: a.finalKind}
	if r.attributes.Tenant >= 0 {
		s.Tenant = c.opt.Settings.Tenants[r.attributes.Tenant].Name
	}
	// From here on nothing more is passed; a connection that ends meanwhile gives no parts.
	a.detach()
	c.handoversInFlight++
	up.Release(func(p netio.Parts) {
		s.Up = p
		down.Release(func(p netio.Parts) {
			s.Down = p
			r.record.Released()
			gone := func() { c.handoversInFlight-- }
			if s.Up.FD < 0 || s.Down.FD < 0 {
				// One of the two has ended, which ends the other; a client that is left is moved.
				a.conn.End(netio.Ended)
				if s.Down.FD < 0 {
					r.downstream.Migrate()
				}
				s.Up.Discard(nil)
				s.Down.Discard(r.downstream.MigrationLine())
				gone()
			} else {
				c.counters.handedOver++
				c.successor.HandOver(s, r.downstream.MigrationLine(), gone)
			}
			a.notifyEnded(balancer.Cancelled)
		})
	})
}

// rebaseUnanswered is when a line went up, by this process's time: the other one's clock may be another. What lies further back than a silent host is
// suffered for comes from a clock that was set in between.
func rebaseUnanswered(t, now int64) int64 {
	if t > now || t < now-int64(hostSilenceTimeout) {
		return now
	}
	return t
}

// Resume goes on with an open connection that another process has handed over. down is the client's end, up the host's; it
// gives what these tell of.
func (c *Core) Resume(s *HandedOverConnection, down Downstream, up Upstream) (*Request, UpstreamEvents) {
	h := c.hosts[s.Host]
	if h == nil {
		// The list has dropped it since, and its connections live on.
		h = c.newHost(s.Host)
		h.state, h.listed.State = balancer.Removed, balancer.Removed
	}
	q := s.Request
	q.Tenant = -1
	if i, known := c.tenants[s.Tenant]; known {
		q.Tenant = i
	}
	class, known := c.classes[s.Class]
	if !known {
		slog.Warn("resumed_unknown_class", "class", s.Class)
	}
	q.Class = class
	r := &Request{core: c, downstream: down, attributes: q, pool: h.pool, answered: true, attempts: 1}
	a := &upstreamRequest{request: r, host: h, conn: up, startedAt: c.loop.Now(), established: true, finalKind: s.LastKind}
	if s.Load > 0 && !math.IsInf(s.Load, 0) {
		a.load = s.Load
	}
	for _, t := range s.UnansweredSince[:min(len(s.UnansweredSince), maxUnansweredLines)] {
		a.unansweredSince = append(a.unansweredSince, rebaseUnanswered(t, c.loop.Now()))
	}
	r.record = invariant.Request{Monitor: c.monitor, ID: q.ID, Class: r.class()}
	r.record.TakenOver()
	r.attempt = a
	h.established[r] = struct{}{}
	c.requests[q.ID] = r
	c.admission.sessions++
	c.counters.resumed++
	c.notify(nil, r.pool, func(now balancer.Time, m Balancer) {
		m.ConnectionAdopted(now, q, s.Host)
		if a.load > 0 {
			m.Observe(now, q.ID, 0, balancer.ObservedLoad, a.load)
		}
	})
	if c.suspended.Suspended(h.id) {
		c.migrateOffHost(h, r)
	}
	return r, a
}
