package fake

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/operations/certs"
)

// Pki is what faults are made from: an authority that is trusted and one that is not.
type Pki struct {
	Trusted, Other *Authority
	Name           string // that the proxy expects
	Revoked        *certs.Pair
}

// NewPki makes one, with a certificate that is about to be taken back.
func NewPki(name string) (*Pki, error) {
	p := &Pki{Name: name}
	var err, err2, err3 error
	p.Trusted, err = NewAuthority("trusted")
	p.Other, err2 = NewAuthority("other")
	if err != nil || err2 != nil {
		return nil, fmt.Errorf("%v %v", err, err2)
	}
	p.Revoked, err3 = p.Trusted.Issue(certs.Spec{Hosts: []string{name}})
	return p, err3
}

// CRL is the list that takes the revoked one back, valid until the time given.
func (p *Pki) CRL(until time.Time) ([]byte, error) {
	return certs.Revoke(p.Trusted.Root, 1, time.Now().Add(-time.Hour), until, p.Revoked.Cert)
}

// Bad is a server with a fault.
type Bad struct {
	Fault    Fault
	listener net.Listener
	config   *tls.Config
	mu       sync.Mutex
	conns    map[net.Conn]bool
	Came     atomic.Int64 // connections
	Requests atomic.Int64 // bytes of requests that it could read, sealed or not
}

// NewBad serves on a loopback address.
func NewBad(f Fault, p *Pki) (*Bad, error) {
	b := &Bad{Fault: f, conns: map[net.Conn]bool{}}
	var err error
	if f.Config != nil {
		if b.config, err = f.Config(p); err != nil {
			return nil, err
		}
	}
	if b.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			b.Came.Add(1)
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b, nil
}

// Addr is where it listens.
func (b *Bad) Addr() string { return b.listener.Addr().String() }

// Close ends it.
func (b *Bad) Close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *Bad) serve(c net.Conn) {
	spy := &listening{Conn: c, bad: b}
	defer c.Close()
	if b.Fault.Raw != nil {
		if b.Fault.Stood {
			b.Fault.Raw(c, b.config)
			time.Sleep(200 * time.Millisecond)
			return
		}
		b.Fault.Raw(spy, b.config)
		return
	}
	t := tls.Server(spy, b.config)
	t.SetDeadline(time.Now().Add(2 * time.Second))
	// A handshake that comes to an end is followed by whatever the proxy says to a server it takes for sound.
	buf := make([]byte, 4096)
	for {
		n, err := t.Read(buf)
		b.Requests.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// listening looks for a request in plain text.
type listening struct {
	net.Conn
	bad *Bad
}

func (l *listening) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("OPEN ")) {
		l.bad.Requests.Add(int64(n))
	}
	return n, err
}

// SetLinger lets reset work through it.
func (l *listening) SetLinger(s int) error { return l.Conn.(*net.TCPConn).SetLinger(s) }

// ForeignCRL is a revocation list that nobody trusted has signed.
func ForeignCRL(p *Pki) ([]byte, error) {
	return certs.Revoke(p.Other.Root, 1, time.Now().Add(-time.Hour), time.Now().Add(time.Hour), &x509.Certificate{SerialNumber: big.NewInt(1)})
}

// HalfPEM is a bundle as one sees it while it is being written.
func HalfPEM(c *x509.Certificate) []byte {
	whole := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
	return whole[:len(whole)/2]
}
