// Package admin is the admin interface: a listener for the operators' calls, HTTP/1.1 with one call a connection. It owns the
// callers' connections and what HTTP requires of them; what a call means is the proxy core's.
package admin

import (
	"net"
	"time"

	"croftlock/internal/dataplane/netio"
)

const (
	callTimeout   = 2 * time.Second               // from connecting to the end of the request
	maxInputBytes = maxHeadBytes + 2*maxBodyBytes // the longest request, with the framing of chunks
)

// Proxy is what the calls are about.
type Proxy interface {
	// AcceptsClients reports whether this process accepts clients.
	AcceptsClients() bool
	// Metrics is the text of all metrics.
	Metrics() []byte
	// SetSuspended has nothing more go to a host, or ends that. done is called once the change will outlive this process, or
	// with false at once where no list has ever named the host.
	SetSuspended(id string, suspended bool, done func(known bool))
}

// Server takes operators' calls. It belongs to the event loop.
type Server struct {
	loop    *netio.Loop
	proxy   Proxy
	callers *netio.BoundedConns[*caller]
	addr    net.Addr
}

// Listen serves calls on addr, of at most capacity callers at a time.
func Listen(l *netio.Loop, proxy Proxy, addr string, capacity int) (*Server, error) {
	s := &Server{loop: l, proxy: proxy, callers: netio.NewBoundedConns(capacity, (*caller).evict)}
	var err error
	s.addr, err = netio.Listen(l, addr, maxInputBytes, s.accept)
	return s, err
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.addr }

func (s *Server) accept(conn *netio.Conn) netio.Handler {
	c := &caller{server: s, conn: conn}
	conn.OnDescriptorFree(c.removeFromServer)
	c.element = s.callers.Add(c)
	c.timeout = s.loop.After(callTimeout, c.timedOut)
	return c
}
