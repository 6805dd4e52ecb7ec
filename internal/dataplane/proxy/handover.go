package proxy

import (
	"log/slog"
	"math"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// Successor receives the state that must outlive this process, which a hot restart replaces by
// another process of the same proxy: suspensions of hosts by operators, the endpoint list and open
// connections.
type Successor interface {
	// HostSuspended stores the suspension of the host with this ID, or its end. It calls done on
	// the loop once the change is stored or storing it has failed.
	HostSuspended(id string, suspended bool, done func())
	// ListChanged is called after each change of the endpoint list or of the fleet's suspensions.
	ListChanged()
	// HandOver hands an open connection to the next process. If that fails, the client gets
	// migrationLine. HandOver calls done on the loop once the connection has left this process; the
	// process must not exit before that.
	HandOver(connection *HandedOverConnection, migrationLine []byte, done func())
	// AskIDInUse asks the other process whether it has a request with an ID. The answer, if there is
	// one, is passed to Core.IDAnswered.
	AskIDInUse(id string)
	// AcceptsHandovers reports whether a next process is running and can take over connections now.
	AcceptsHandovers() bool
}

// handover holds the core's state of the handover to the next process.
type handover struct {
	successor  Successor // nil if no state outlives this process
	handedOver bool      // the other process accepts clients and this one does not
	inFlight   int       // open connections whose handover has started and not ended
	// lost is set if the other process ended while this one was shutting down, so that this one rejects the
	// clients that still come.
	lost bool
}

// SetSuccessor sets the receiver of the state that must outlive this process.
func (c *Core) SetSuccessor(s Successor) { c.handover.successor = s }

// SetHandedOver sets which process of this proxy accepts clients from now on: the other one
// if handedOver is true, this one if it is false.
func (c *Core) SetHandedOver(handedOver bool) { c.handover.handedOver = handedOver }

// SuccessorLost is called if the next process ends while this one is shutting down and accepts clients again,
// which Open rejects. The shutdown then goes on until none has come for a while.
func (c *Core) SuccessorLost() {
	c.handover.handedOver, c.handover.lost = false, true
	c.admission.lastRequestAt = c.loop.Now()
}

// HandedOverConnection describes an open connection that one process of a proxy hands over to the
// next.
type HandedOverConnection struct {
	Request         balancer.Request   `json:"Request"`
	Class           string             `json:"Class"`   // a name, because class numbers depend on the settings of a process
	Tenant          string             `json:"Tenant"`  // a name too; "" if the settings do not name the tenant
	Host            string             `json:"Host"`    // the host's ID
	Load            float64            `json:"Load"`    // the connection's load in µs of work per second; 0 if unknown
	UnansweredSince []int64            `json:"Waiting"` // when each unanswered line of the client was sent, in nanoseconds of the sending process's clock
	LastKind        MessageKind        `json:"Last"`    // Finished or MigrateClient if the host has sent it, PlainMessage otherwise
	Downstream      netio.ReleasedConn `json:"Down"`
	Upstream        netio.ReleasedConn `json:"Up"`
}

// Releaser is a Downstream or Upstream whose side of a connection can be handed over.
type Releaser interface {
	// Release detaches the socket and calls done with its descriptor and the data that is still
	// buffered. FD is negative if the side could not be released.
	Release(done func(netio.ReleasedConn))
}

// handOver starts the handover of an open connection to the next process. If either side has no
// Release, it migrates the client instead, so that the client opens the connection again.
func (c *Core) handOver(r *Request) {
	a := r.attempt
	down, downReleasable := r.downstream.(Releaser)
	up, upReleasable := a.conn.(Releaser)
	if !downReleasable || !upReleasable {
		r.migrate(balancer.Cancelled)
		return
	}
	connection := a.describeForHandover()
	// Nothing is relayed from here on. If a side breaks before it is released, its ReleasedConn has
	// a negative FD.
	a.detach()
	c.handover.inFlight++
	up.Release(func(p netio.ReleasedConn) {
		connection.Upstream = p
		down.Release(func(p netio.ReleasedConn) {
			connection.Downstream = p
			c.handOverReleased(a, connection)
		})
	})
}

// describeForHandover returns the description of the connection without Downstream and Upstream,
// which are known once both sides are released.
func (a *upstreamRequest) describeForHandover() *HandedOverConnection {
	r, c := a.request, a.request.core
	connection := &HandedOverConnection{Request: r.attributes, Class: r.class().Name, Host: a.host.hostID, Load: a.load,
		UnansweredSince: a.unansweredSince, LastKind: a.finalKind}
	if r.attributes.Tenant >= 0 {
		connection.Tenant = c.opt.Settings.Tenants[r.attributes.Tenant].Name
	}
	return connection
}

// handOverReleased hands over a connection whose two sides have been released, or ends it if either
// could not be released. In both cases it notifies the balancer that the connection has ended here.
func (c *Core) handOverReleased(a *upstreamRequest, connection *HandedOverConnection) {
	r := a.request
	r.record.ConnectionEnded()
	if connection.Upstream.FD < 0 || connection.Downstream.FD < 0 {
		c.endReleased(a, connection)
		c.handover.inFlight--
	} else {
		c.counters.handedOver++
		c.handover.successor.HandOver(connection, r.downstream.MigrationLine(), func() { c.handover.inFlight-- })
	}
	a.notifyEnded(balancer.Cancelled)
}

// endReleased ends a connection of which at least one side could not be released. A client that is
// still connected gets the migration line.
func (c *Core) endReleased(a *upstreamRequest, connection *HandedOverConnection) {
	down := a.request.downstream
	a.conn.End(netio.Ended)
	if connection.Downstream.FD < 0 {
		down.Migrate()
	}
	connection.Upstream.Discard(nil)
	connection.Downstream.Discard(down.MigrationLine())
}

// Resume continues an open connection that another process has handed over. It returns the
// receivers of the events of down, the client's side, and of up, the host's side. If the host is
// suspended, Resume also schedules the client's migration.
func (c *Core) Resume(connection *HandedOverConnection, down Downstream, up Upstream) (*Request, UpstreamEvents) {
	h := c.resumedHost(connection.Host)
	r := &Request{core: c, downstream: down, attributes: c.resumedAttributes(connection), pool: h.pool, phase: established, attempts: 1}
	a := &upstreamRequest{request: r, host: h, conn: up, startedAt: c.loop.Now(), established: true, finalKind: connection.LastKind}
	if connection.Load > 0 && !math.IsInf(connection.Load, 0) {
		a.load = connection.Load
	}
	for _, t := range connection.UnansweredSince[:min(len(connection.UnansweredSince), maxUnansweredLines)] {
		a.unansweredSince = append(a.unansweredSince, rebaseUnanswered(t, c.loop.Now()))
	}
	r.record = invariant.Request{Monitor: c.monitor, ID: r.attributes.ID, Class: r.class()}
	r.record.TakenOver(unknownRunTime, h.invariantHost())
	r.attempt = a
	h.established[r] = struct{}{}
	c.replaceRequest(r)
	c.admission.downstreams++ // without a check of the limit: the connection is already open
	c.counters.resumed++
	c.countExistingConnection(r)
	c.notify(nil, r.pool, a.reportAdopted)
	if c.hosts.suspensions.Suspended(h.hostID) {
		c.migrateOffHost(h, r)
	}
	return r, a
}

// replaceRequest adds a resumed request to the table. Another request with its ID, which came here
// because the other process could not be asked, ends: the resumed one was first.
func (c *Core) replaceRequest(r *Request) {
	id := r.attributes.ID
	delete(c.otherIDs.open, id)
	if other := c.requests[id]; other != nil {
		slog.Warn("resumed_id_in_use", "request", id, "answered", other.answered())
		if other.isOpen() {
			other.migrate(balancer.Cancelled)
		} else {
			c.failIDInUse(other)
		}
	}
	c.requests[id] = r
}

// resumedHost returns the host of a connection that was handed over. If the endpoint list no longer
// contains it, resumedHost adds it in state Removed, so that its connections stay open.
func (c *Core) resumedHost(id string) *host {
	h := c.hosts.byID[id]
	if h == nil {
		h = c.hosts.add(id)
		h.pool = c.pools.main
		h.setRemoved()
	}
	return h
}

// resumedAttributes returns the attributes of the request with the numbers of its class and tenant
// in this process's settings. An unknown class counts as class 0, and an unknown tenant as -1.
func (c *Core) resumedAttributes(connection *HandedOverConnection) balancer.Request {
	attributes := connection.Request
	attributes.Tenant = -1
	if i, known := c.names.tenants[connection.Tenant]; known {
		attributes.Tenant = i
	}
	class, known := c.names.classes[connection.Class]
	if !known {
		slog.Warn("resumed_unknown_class", "class", connection.Class)
	}
	attributes.Class = class
	return attributes
}

// rebaseUnanswered converts the time at which a line was sent to this process's clock, which may
// differ from the other process's. If the time is in the future, or more than hostSilenceTimeout
// ago, the system's clock was set in between, and rebaseUnanswered returns now.
func rebaseUnanswered(sent, now int64) int64 {
	if sent > now || sent < now-int64(hostSilenceTimeout) {
		return now
	}
	return sent
}
