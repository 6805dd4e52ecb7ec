package fake

import (
	"crypto/tls"
	"fmt"
	"maps"
	"sync/atomic"
	"time"
)

// Server is an upstream host. It answers a request with UP and each further line with a line.
type Server struct {
	tcpServer
	UID  string
	Zone string

	// Scripted faults; set them before or while it runs.
	Busy        atomic.Bool  // rejects every request with BUSY
	Failing     atomic.Bool  // answers every request with ERR
	Silent      atomic.Bool  // answers no line of established connections
	AnswerDelay atomic.Int64 // of the answer to a request, nanoseconds

	secure   bool // behind TLS
	tls      atomic.Pointer[tls.Config]
	draining atomic.Bool // migrates its clients and rejects others

	// Protected by tcpServer's mutex.
	handshakes    []Handshake
	requests      map[string]int // by the request's ID: 2 means that one ran twice
	clientSerials map[string]int // by the serial number of the clients' certificates
}

// Handshake is a completed TLS handshake.
type Handshake struct {
	CompletedAt time.Time
	Resumed     bool
}

// NewServer serves on a loopback address, behind TLS where there is a configuration.
func NewServer(uid, zone string, config *tls.Config) (*Server, error) {
	s := &Server{UID: uid, Zone: zone, secure: config != nil, requests: map[string]int{}, clientSerials: map[string]int{}}
	s.tls.Store(config)
	return s, s.listen(s.serve)
}

// Entry is the host in an endpoint list.
func (s *Server) Entry() Entry {
	return Entry{UID: s.UID, Endpoint: s.Addr(), Zone: s.Zone, Model: "type-a"}
}

// SetTLS changes the configuration of TLS for new connections.
func (s *Server) SetTLS(config *tls.Config) { s.tls.Store(config) }

// Drain migrates all its clients at once, and rejects requests from then on.
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

// Established is the number of connections whose request has been answered with UP.
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

// Handshakes are the TLS handshakes completed so far.
func (s *Server) Handshakes() []Handshake {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Handshake(nil), s.handshakes...)
}

// Requests is the number of requests received, and the number of IDs among them that came more than once.
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

// ClientCertificates counts handshakes by the serial number of the certificate that the client presented.
func (s *Server) ClientCertificates() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.clientSerials)
}
