package fake

import (
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Server is an upstream host. It answers a client's first line with UP and each further line with a line.
type Server struct {
	UID  string
	Zone string

	// Scripted faults; set them before or while it runs.
	Busy   atomic.Bool  // rejects every request with BUSY
	Fault  atomic.Bool  // answers every request with ERR
	Silent atomic.Bool  // answers no line of standing connections
	Slow   atomic.Int64 // nanoseconds that an answer to a first line takes

	listener net.Listener
	secure   bool // behind TLS
	tls      atomic.Pointer[tls.Config]
	draining atomic.Bool // migrates its clients and rejects others

	mu            sync.Mutex        // protects what follows
	conns         map[net.Conn]bool // true: its client has its UP
	handshakes    []Handshake
	requests      map[string]int // requests by id: 2 means that one ran twice
	clientSerials map[string]int // clients' certificates, by serial
}

// Handshake is a handshake that was completed.
type Handshake struct {
	CompletedAt time.Time
	Resumed     bool
}

// NewServer serves on a loopback address, behind TLS where there is a configuration.
func NewServer(uid, zone string, config *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{UID: uid, Zone: zone, listener: l, secure: config != nil, conns: map[net.Conn]bool{}, requests: map[string]int{},
		clientSerials: map[string]int{}}
	s.tls.Store(config)
	go s.accept()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Entry is how an endpoint list has it.
func (s *Server) Entry() Entry {
	return Entry{UID: s.UID, Endpoint: s.Addr(), Zone: s.Zone, Model: "type-a"}
}

// Secure changes the configuration of TLS for new connections.
func (s *Server) Secure(config *tls.Config) { s.tls.Store(config) }

// Close ends it and its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Drain has all its clients migrate at once and rejects those who come.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, up := range s.conns {
		if up {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "MOVE\r\n")
			c.Close()
		}
	}
}

// Standing is how many connections have their UP.
func (s *Server) Standing() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, up := range s.conns {
		if up {
			n++
		}
	}
	return n
}

// Handshakes are those completed so far.
func (s *Server) Handshakes() []Handshake {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Handshake(nil), s.handshakes...)
}

// Opened is how many requests came, and how many ids came more than once.
func (s *Server) Opened() (all, twice int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.requests {
		all += n
		if n > 1 {
			twice++
		}
	}
	return all, twice
}

// Clients are the serial numbers of the certificates that clients have shown, with how often.
func (s *Server) Clients() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.clientSerials {
		out[k] = n
	}
	return out
}
