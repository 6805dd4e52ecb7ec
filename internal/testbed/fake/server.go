package fake

import (
	"crypto/tls"
	"fmt"
	"maps"
	"sync/atomic"
	"time"
)

// Server is an upstream host. It answers a request with UP, each further line with GOT and the
// line, and BYE with BYE.
type Server struct {
	tcpServer
	UID  string
	Zone string

	// Injected faults. They may be set before or while the server runs.
	Busy        atomic.Bool  // rejects every request with BUSY
	Failing     atomic.Bool  // answers every request with ERR
	Silent      atomic.Bool  // answers no line of established connections
	AnswerDelay atomic.Int64 // delay of the answer to a request, in nanoseconds

	secure   bool                       // whether the server uses TLS
	tls      atomic.Pointer[tls.Config] // for new connections; nil without TLS
	draining atomic.Bool                // rejects every request with BUSY; see Drain

	// tcpServer.mu protects the fields below.
	handshakes    []Handshake
	requests      map[string]int // number received, by request ID; 2 means that the host received the request twice
	clientSerials map[string]int // number of handshakes, by serial number of the client certificate
}

// Handshake is a completed TLS handshake.
type Handshake struct {
	CompletedAt time.Time
	Resumed     bool
}

// NewServer returns a server that listens on a loopback address. It uses TLS if config is not nil.
func NewServer(uid, zone string, config *tls.Config) (*Server, error) {
	s := &Server{UID: uid, Zone: zone, secure: config != nil, requests: map[string]int{}, clientSerials: map[string]int{}}
	s.tls.Store(config)
	return s, s.listen(s.serve)
}

// Entry returns the host's entry in an endpoint list.
func (s *Server) Entry() Entry {
	return Entry{UID: s.UID, Endpoint: s.Addr(), Zone: s.Zone, Model: "type-a"}
}

// SetTLS sets the TLS configuration of new connections. It has no effect on a server without TLS.
func (s *Server) SetTLS(config *tls.Config) { s.tls.Store(config) }

// Drain migrates all clients of the server at once and makes it reject requests from then on.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, established := range s.conns {
		if established {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "MOVE\r\n")
			c.Close()
		}
	}
}

// Established returns the number of open connections whose request was answered with UP.
func (s *Server) Established() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, established := range s.conns {
		if established {
			n++
		}
	}
	return n
}

// Handshakes returns the TLS handshakes completed so far, in order of their completion.
func (s *Server) Handshakes() []Handshake {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Handshake(nil), s.handshakes...)
}

// Requests returns the number of requests received and the number of request IDs received more than
// once.
func (s *Server) Requests() (total, repeated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.requests {
		total += n
		if n > 1 {
			repeated++
		}
	}
	return total, repeated
}

// RequestCount returns how often the host received the request with an ID.
func (s *Server) RequestCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// ClientCertificates returns the number of handshakes by the serial number of the certificate that
// the client presented. Handshakes without a client certificate do not count.
func (s *Server) ClientCertificates() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.clientSerials)
}
