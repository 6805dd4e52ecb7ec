package fake

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a catalogue server. It answers a client's first line with UP and each further line with a line.
type Server struct {
	UID, Zone string

	// Scripted faults; set them before or while it runs.
	Busy   atomic.Bool  // turns every request away
	Fault  atomic.Bool  // answers every request with ERR
	Silent atomic.Bool  // answers no line of standing connections
	Slow   atomic.Int64 // nanoseconds that an answer to a first line takes

	listener net.Listener
	tls      atomic.Pointer[tls.Config]
	secure   bool
	drains   atomic.Bool

	mu         sync.Mutex
	conns      map[net.Conn]bool // true: its client has its UP
	handshakes []Shake
	opened     map[string]int // requests by id: 2 means that one ran twice
	seen       map[string]int // clients' certificates, by serial
}

// Shake is a handshake that was completed.
type Shake struct {
	At      time.Time
	Resumed bool
}

// NewServer serves on a loopback address, behind TLS where there is a configuration.
func NewServer(uid, zone string, config *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{UID: uid, Zone: zone, listener: l, secure: config != nil, conns: map[net.Conn]bool{}, opened: map[string]int{},
		seen: map[string]int{}}
	s.tls.Store(config)
	go s.accept()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Entry is how discovery tells of it.
func (s *Server) Entry() Entry {
	return Entry{UID: s.UID, Endpoint: s.Addr(), Zone: s.Zone, Model: "type-a"}
}

// Secure changes what new connections are secured by.
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

// Drain sends all its clients away at once and turns away those who come.
func (s *Server) Drain() {
	s.drains.Store(true)
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
func (s *Server) Handshakes() []Shake {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Shake(nil), s.handshakes...)
}

// Opened is how many requests came, and Twice how many of them more than once.
func (s *Server) Opened() (all, twice int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.opened {
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
	for k, n := range s.seen {
		out[k] = n
	}
	return out
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	if s.secure {
		t := tls.Server(c, s.tls.Load())
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if t.Handshake() != nil {
			c.Close()
			return
		}
		c.SetDeadline(time.Time{})
		state := t.ConnectionState()
		s.mu.Lock()
		s.handshakes = append(s.handshakes, Shake{time.Now(), state.DidResume})
		for _, p := range state.PeerCertificates[:min(1, len(state.PeerCertificates))] {
			s.seen[p.SerialNumber.String()]++
		}
		s.mu.Unlock()
		c = t
	}
	s.mu.Lock()
	s.conns[c] = false
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReaderSize(c, 512)
	first, err := in.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(first)
	if len(words) < 3 || words[0] != "OPEN" || !strings.HasSuffix(first, "\r\n") {
		fmt.Fprint(c, "SYNTAX\r\n")
		return
	}
	time.Sleep(time.Duration(s.Slow.Load()))
	s.mu.Lock()
	s.opened[words[1]]++
	s.mu.Unlock()
	switch {
	case s.Busy.Load() || s.drains.Load():
		fmt.Fprint(c, "BUSY\r\n")
		return
	case s.Fault.Load():
		fmt.Fprint(c, "ERR\r\n")
		return
	}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	fmt.Fprintf(c, "UP %s-%s\r\n", s.UID, words[1])
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if s.Silent.Load() {
			continue
		}
		if strings.HasPrefix(line, "BYE") {
			fmt.Fprint(c, "BYE\r\n")
			return
		}
		if _, err := fmt.Fprint(c, "GOT "+line); err != nil {
			return
		}
	}
}

// Config is a server's side of TLS that shows what get gives, and asks clients for a certificate where there is a pool.
func Config(get func() *tls.Certificate, clients func() *x509.CertPool) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return get(), nil }}
	if clients != nil {
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyPeerCertificate = func(raw [][]byte, _ [][]*x509.Certificate) error {
			leaf, err := x509.ParseCertificate(raw[0])
			if err == nil {
				_, err = leaf.Verify(x509.VerifyOptions{Roots: clients(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
			}
			return err
		}
	}
	return c
}
