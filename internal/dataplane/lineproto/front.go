package lineproto

import (
	"net"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

const (
	// firstLineTimeout bounds the time from connecting to a complete first line, in however many pieces
	// it arrives. The protocol requires that a connection without a complete first line ends within 3 s.
	firstLineTimeout = 2500 * time.Millisecond
	// pingIdleTimeout bounds the idle time of a connection after a PING. The platform's own front, which
	// routes clients to the proxies and probes them by PING, may keep such a connection.
	pingIdleTimeout = 30 * time.Second
)

// inputLimit is the number of bytes of unread input at which reading from a connection pauses.
const inputLimit = 4 * MaxLineBytes

// Front accepts clients of the line protocol and passes their requests to the core. EndIdle and Resume
// must be called on the loop.
type Front struct {
	loop *netio.Loop
	core *proxy.Core
	// idleClients are the connections that hold a descriptor and no request: those without a complete
	// first line, and those whose first line was rejected or invalid and that have not hung up.
	idleClients *netio.BoundedConns[*downstream]
	listener    *netio.Listener
}

// Addr returns the address of the listener.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// NewFront returns a Front for the clients of a listener, with capacity for maxIdle connections without a
// request. It accepts no clients until Serve is called.
func NewFront(l *netio.Loop, core *proxy.Core, listener *netio.Listener, maxIdle int) *Front {
	return &Front{loop: l, core: core, idleClients: netio.NewBoundedConns(maxIdle, (*downstream).evict), listener: listener}
}

// Stop stops accepting clients. New ones wait in the listener's queue for another process or for Serve.
func (f *Front) Stop() { f.listener.Stop() }

// Serve starts accepting clients. It may be called again after Stop.
func (f *Front) Serve() error { return netio.Serve(f.loop, f.listener, inputLimit, f.accept) }

// accept registers a new connection and returns its handler.
func (f *Front) accept(c *netio.Conn) netio.Handler {
	d := &downstream{front: f, conn: c}
	c.OnDescriptorFree(d.descriptorFreed)
	d.idleEntry = f.idleClients.Add(d)
	d.idleTimer = f.loop.After(firstLineTimeout, d.firstLineTimedOut)
	return d
}

// EndIdle ends the connections that have sent nothing or nothing but PING, and if partial is true also those
// that have sent part of a line. It returns the number of connections without a request that are left.
func (f *Front) EndIdle(partial bool) int {
	for d := range f.idleClients.All() {
		if !d.conn.Ended() && (partial || len(d.conn.Input()) == 0) {
			d.endIdle()
		}
	}
	return f.idleClients.Len()
}

// Resume resumes an open connection, with its request, that another process of this proxy has handed over.
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
	// Both inputs may hold lines that were read and not relayed.
	f.loop.Post(d.RelayPending)
	f.loop.Post(u.RelayPending)
}
