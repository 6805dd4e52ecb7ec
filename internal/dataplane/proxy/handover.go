package proxy

import (
	"log/slog"
	"math"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// Successor is notified of what must outlive this process.
type Successor interface {
	// HostSuspended brings a suspension or its end; done is called on the loop once it is stored, or cannot be.
	HostSuspended(id string, suspended bool, done func())
	// ListChanged says that the endpoint list has changed.
	ListChanged()
	// HandOver hands an open connection to the next process; migrationLine is for its client should that fail. done is called on the
	// loop once the connection has left this process: until then the process must not end.
	HandOver(s *HandedOverConnection, migrationLine []byte, done func())
	// AcceptsHandovers reports whether there is a next process that takes connections now.
	AcceptsHandovers() bool
}

// handover is what the core knows of the process that takes over from this one.
type handover struct {
	successor  Successor // nil: nothing outlives this process
	handedOver bool      // the other process accepts clients, this one does not
	inFlight   int       // open connections on their way to the other process
}

// SetSuccessor names who is notified of what must outlive this process.
func (c *Core) SetSuccessor(s Successor) { c.handover.successor = s }

// SetHandedOver says that the other process of this proxy accepts clients from now on, or, with false, that this one does.
func (c *Core) SetHandedOver(over bool) { c.handover.handedOver = over }

// HandedOverConnection is an open connection as one process of a proxy hands it over to the next.
type HandedOverConnection struct {
	Request         balancer.Request `json:"Request"`
	Class           string           `json:"Class"` // names, since numbers are of one process's settings
	Tenant          string           `json:"Tenant"`
	Host            string           `json:"Host"`
	Load            float64          `json:"Load"`    // µs of work a second; 0: not known
	UnansweredSince []int64          `json:"Waiting"` // ns, when the client's lines were sent that no answer has come for
	LastKind        MessageKind      `json:"Last"`    // Finished or MigrateClient once the host has said so
	Downstream      netio.Parts      `json:"Down"`
	Upstream        netio.Parts      `json:"Up"`
}

// Releaser is an end of a connection that can be handed over.
type Releaser interface {
	Release(done func(netio.Parts))
}

// handOver begins to hand an open connection over; one that cannot be is migrated.
func (c *Core) handOver(r *Request) {
	a := r.attempt
	down, downReleasable := r.downstream.(Releaser)
	up, upReleasable := a.conn.(Releaser)
	if !downReleasable || !upReleasable {
		r.migrate(balancer.Cancelled)
		return
	}
	s := a.describeForHandover()
	// From here on nothing more is relayed; an end that breaks meanwhile gives no parts.
	a.detach()
	c.handover.inFlight++
	up.Release(func(p netio.Parts) {
		s.Upstream = p
		down.Release(func(p netio.Parts) {
			s.Downstream = p
			c.handOverReleased(a, s)
		})
	})
}

// describe is the connection without its two ends.
func (a *upstreamRequest) describeForHandover() *HandedOverConnection {
	r, c := a.request, a.request.core
	s := &HandedOverConnection{Request: r.attributes, Class: r.class().Name, Host: a.host.hostID, Load: a.load,
		UnansweredSince: a.unansweredSince, LastKind: a.finalKind}
	if r.attributes.Tenant >= 0 {
		s.Tenant = c.opt.Settings.Tenants[r.attributes.Tenant].Name
	}
	return s
}

// released hands a connection over whose two ends are released, or ends what is left of it.
func (c *Core) handOverReleased(a *upstreamRequest, s *HandedOverConnection) {
	r := a.request
	r.record.ConnectionEnded()
	if s.Upstream.FD < 0 || s.Downstream.FD < 0 {
		c.endReleased(a, s)
		c.handover.inFlight--
	} else {
		c.counters.handedOver++
		c.handover.successor.HandOver(s, r.downstream.MigrationLine(), func() { c.handover.inFlight-- })
	}
	a.notifyEnded(balancer.Cancelled)
}

// endReleased ends a connection one end of which has broken; a client that is still there is migrated.
func (c *Core) endReleased(a *upstreamRequest, s *HandedOverConnection) {
	down := a.request.downstream
	a.conn.End(netio.Ended)
	if s.Downstream.FD < 0 {
		down.Migrate()
	}
	s.Upstream.Discard(nil)
	s.Downstream.Discard(down.MigrationLine())
}

// Resume goes on with an open connection that another process has handed over. down is the client's end, up the host's; it gives what
// these notify.
func (c *Core) Resume(s *HandedOverConnection, down Downstream, up Upstream) (*Request, UpstreamEvents) {
	h := c.resumedHost(s.Host)
	r := &Request{core: c, downstream: down, attributes: c.resumedAttributes(s), pool: h.pool, phase: established, attempts: 1}
	a := &upstreamRequest{request: r, host: h, conn: up, startedAt: c.loop.Now(), established: true, finalKind: s.LastKind}
	if s.Load > 0 && !math.IsInf(s.Load, 0) {
		a.load = s.Load
	}
	for _, t := range s.UnansweredSince[:min(len(s.UnansweredSince), maxUnansweredLines)] {
		a.unansweredSince = append(a.unansweredSince, rebaseUnanswered(t, c.loop.Now()))
	}
	r.record = invariant.Request{Monitor: c.monitor, ID: r.attributes.ID, Class: r.class()}
	r.record.TakenOver()
	r.attempt = a
	h.established[r] = struct{}{}
	c.requests[r.attributes.ID] = r
	c.admission.downstreams++ // whatever the limit: the connection is open
	c.counters.resumed++
	c.notify(nil, r.pool, a.reportAdopted)
	if c.hosts.suspensions.Suspended(h.hostID) {
		c.migrateOffHost(h, r)
	}
	return r, a
}

// resumedHost is the host of a connection that was handed over. Where the endpoint list does not name it any more, its connections live on
// at a host that is removed.
func (c *Core) resumedHost(id string) *host {
	h := c.hosts.byID[id]
	if h == nil {
		h = c.hosts.add(id)
		h.pool = c.pools.main
		h.setRemoved()
	}
	return h
}

// resumedAttributes is the request with class and tenant as this process's settings number them.
func (c *Core) resumedAttributes(s *HandedOverConnection) balancer.Request {
	attributes := s.Request
	attributes.Tenant = -1
	if i, known := c.names.tenants[s.Tenant]; known {
		attributes.Tenant = i
	}
	class, known := c.names.classes[s.Class]
	if !known {
		slog.Warn("resumed_unknown_class", "class", s.Class)
	}
	attributes.Class = class
	return attributes
}

// rebaseUnanswered is when a line was sent, by this process's time: the other one's clock may be another. What lies further back than a
// silent host is tolerated for comes from a clock that was set in between.
func rebaseUnanswered(sent, now int64) int64 {
	if sent > now || sent < now-int64(hostSilenceTimeout) {
		return now
	}
	return sent
}
