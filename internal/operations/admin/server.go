// Package admin implements the admin interface: a listener for the operators' calls in HTTP/1.1,
// with one call per connection. It owns the callers' connections and the HTTP protocol; the proxy
// core carries out the calls.
package admin

import (
	"net"
	"time"

	"croftlock/internal/dataplane/netio"
)

const (
	callTimeout   = 2 * time.Second               // from the connection's start to the last byte of the request
	maxInputBytes = maxHeadBytes + 2*maxBodyBytes // of a connection; the chunks' lengths may use as much as their content
)

// Proxy carries out the calls. Its methods are called on the event loop.
type Proxy interface {
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients() bool
	// Metrics returns all metrics as text.
	Metrics() []byte
	// SetSuspended suspends the host id, so that it gets no new requests, or resumes it if suspended
	// is false. It calls done on the event loop: with false at once if no endpoint list has named
	// the host, and otherwise with true once the change is stored for the next process.
	SetSuspended(id string, suspended bool, done func(known bool))
}

// Server accepts operators' calls. Its connections are served on the event loop.
type Server struct {
	loop    *netio.Loop
	proxy   Proxy
	callers *netio.BoundedConns[*caller]
	addr    net.Addr
}

// Listen returns a server that accepts calls on the address addr, from at most capacity callers at a
// time. A caller beyond that evicts the one that has sent nothing for the longest time.
func Listen(l *netio.Loop, proxy Proxy, addr string, capacity int) (*Server, error) {
	s := &Server{loop: l, proxy: proxy, callers: netio.NewBoundedConns(capacity, (*caller).evict)}
	var err error
	s.addr, err = netio.Listen(l, addr, maxInputBytes, s.accept)
	return s, err
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.addr }

// accept returns the handler of a new connection and starts its timeout. It evicts another caller if
// the server already has as many as its capacity.
func (s *Server) accept(conn *netio.Conn) netio.Handler {
	c := &caller{server: s, conn: conn}
	conn.OnDescriptorFree(c.removeFromServer)
	c.element = s.callers.Add(c)
	c.timeout = s.loop.After(callTimeout, c.timedOut)
	return c
}
