package lineproto

import (
	"net"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

const (
	// firstLineTimeout is how long after connecting a client's first line may take to be complete, in however many pieces. The protocol
	// wants a client without one ended within 3 s.
	firstLineTimeout = 2500 * time.Millisecond
	// pingIdleTimeout is how long a connection that has sent PING may stay idle: the front may keep one.
	pingIdleTimeout = 30 * time.Second
)

// inputLimit is how much unread input a connection may hold before it is read no further: some lines of the longest kind.
const inputLimit = 4 * MaxLineBytes

// Front accepts clients. It turns their lines into the core's terms.
type Front struct {
	loop *netio.Loop
	core *proxy.Core
	// idleClients are the connections that hold a descriptor and no request: those without a first line yet, and those that have been
	// rejected and have not hung up.
	idleClients *netio.BoundedConns[*downstream]
	listener    *netio.Listener
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// NewFront is for clients of the line protocol who come to a listener, with capacity for maxIdle that have no request.
func NewFront(l *netio.Loop, core *proxy.Core, listener *netio.Listener, maxIdle int) *Front {
	return &Front{loop: l, core: core, idleClients: netio.NewBoundedConns(maxIdle, (*downstream).evict), listener: listener}
}

// Stop accepts no more clients; they wait for another process that holds the listener.
func (f *Front) Stop() { f.listener.Stop() }

// Serve accepts clients, also after Stop.
func (f *Front) Serve() error { return netio.Serve(f.loop, f.listener, inputLimit, f.accept) }

func (f *Front) accept(c *netio.Conn) netio.Handler {
	d := &downstream{front: f, conn: c}
	c.OnDescriptorFree(d.descriptorFreed)
	d.idleEntry = f.idleClients.Add(d)
	d.idleTimer = f.loop.After(firstLineTimeout, d.firstLineTimedOut)
	return d
}

// EndIdle ends the connections that have not sent anything, with partial also those on which part of a first line has come, and gives how
// many without a request are left.
func (f *Front) EndIdle(partial bool) int {
	for d := range f.idleClients.All() {
		if !d.conn.Ended() && (partial || len(d.conn.Input()) == 0) {
			d.endIdle()
		}
	}
	return f.idleClients.Len()
}

// Resume goes on with an open connection that another process has handed over.
func (f *Front) Resume(connection *proxy.HandedOverConnection) {
	d := &downstream{front: f, admitted: true, accepted: true}
	u := &upstream{loop: f.loop, stage: netio.Up}
	d.request, u.events = f.core.Resume(connection, d, u)
	if err := netio.Resume(f.loop, connection.Downstream, inputLimit, d, func(c *netio.Conn) {
		d.conn = c
		c.OnDescriptorFree(d.descriptorFreed)
	}); err != nil {
		connection.Upstream.Discard(nil)
		d.descriptorFreed()
		d.request.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Broken, Detail: err})
		return
	}
	if err := netio.Resume(f.loop, connection.Upstream, inputLimit, u, func(c *netio.Conn) { u.conn = c }); err != nil {
		u.notifyEnd(&netio.Error{Stage: netio.Up, Cause: netio.Broken, Detail: err})
		return
	}
	// What was read and not relayed waits in both buffers.
	f.loop.Post(d.RelayPending)
	f.loop.Post(u.RelayPending)
}
