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
	callTimeout   = 2 * time.Second               // from the connection's start to the end of the request
	maxInputBytes = maxHeadBytes + 2*maxBodyBytes // the longest request with chunk framing
)

// Proxy carries out the calls. Its methods are called on the event loop.
type Proxy interface {
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients() bool
	// Metrics returns all metrics as text.
	Metrics() []byte
	// SetSuspended suspends a host, so that it gets no new requests, or resumes it. It calls done
	// with false at once if no list has ever named the host, and otherwise with true once the
	// change will outlive this process.
	SetSuspended(id string, suspended bool, done func(known bool))
}

// Server accepts operators' calls. It belongs to the event loop.
type Server struct {
	loop    *netio.Loop
	proxy   Proxy
	callers *netio.BoundedConns[*caller]
	addr    net.Addr
}

// Listen returns a server that accepts calls on addr, from at most capacity callers at a time. A
// caller beyond that evicts the one that has sent nothing for the longest time.
func Listen(l *netio.Loop, proxy Proxy, addr string, capacity int) (*Server, error) {
	s := &Server{loop: l, proxy: proxy, callers: netio.NewBoundedConns(capacity, (*caller).evict)}
	var err error
	s.addr, err = netio.Listen(l, addr, maxInputBytes, s.accept)
	return s, err
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.addr }

// accept returns the handler of a new connection. It evicts another caller if the server has no
// place left.
func (s *Server) accept(conn *netio.Conn) netio.Handler {
	c := &caller{server: s, conn: conn}
	conn.OnDescriptorFree(c.removeFromServer)
	c.element = s.callers.Add(c)
	c.timeout = s.loop.After(callTimeout, c.timedOut)
	return c
}
