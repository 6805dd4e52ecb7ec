package standin

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/certs"
)

// Fault is a server with something wrong in its TLS, and what a proxy should make of it.
type Fault struct {
	Kind   string
	Reason string // as the proxy logs it
	// Stood: the handshake is sound, so the request may be under way; the server breaks the connection afterwards and
	// reads nothing. Else nothing of a request may ever come.
	Stood  bool
	Old    bool // it speaks TLS 1.2 and the proxy is told to
	Config func(p *Pki) (*tls.Config, error)
	Raw    func(c net.Conn, config *tls.Config)
}

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

func shows(spec func(p *Pki) certs.Spec, by func(p *Pki) *Authority) func(p *Pki) (*tls.Config, error) {
	return func(p *Pki) (*tls.Config, error) {
		s := spec(p)
		if s.Hosts == nil {
			s.Hosts = []string{p.Name}
		}
		pair, err := by(p).Issue(s)
		if err != nil {
			return nil, err
		}
		c := TLS(pair)
		return Config(func() *tls.Certificate { return c }, nil), nil
	}
}

func trusted(p *Pki) *Authority { return p.Trusted }
func other(p *Pki) *Authority   { return p.Other }
func plain(*Pki) certs.Spec     { return certs.Spec{} }

func with(f func(p *Pki) (*tls.Config, error), change func(*tls.Config)) func(p *Pki) (*tls.Config, error) {
	return func(p *Pki) (*tls.Config, error) {
		c, err := f(p)
		if err == nil {
			change(c)
		}
		return c, err
	}
}

// Faults is the whole table.
func Faults() []Fault {
	sound := shows(plain, trusted)
	at := func(from, to time.Duration) func(*Pki) certs.Spec {
		return func(*Pki) certs.Spec {
			return certs.Spec{NotBefore: time.Now().Add(from), NotAfter: time.Now().Add(to)}
		}
	}
	return []Fault{
		{Kind: "expired", Reason: "expired", Config: shows(at(-2*time.Hour, -time.Hour), trusted)},
		{Kind: "not-yet-valid", Reason: "not_yet_valid", Config: shows(at(time.Hour, 2*time.Hour), trusted)},
		{Kind: "wrong-name", Reason: "wrong_name", Config: shows(func(*Pki) certs.Spec {
			return certs.Spec{Hosts: []string{"cat3.example.org"}}
		}, trusted)},
		{Kind: "unknown-ca", Reason: "unknown_ca", Config: shows(plain, other)},
		{Kind: "self-signed", Reason: "self_signed", Config: selfSigned},
		{Kind: "wrong-usage", Reason: "wrong_usage", Config: shows(func(*Pki) certs.Spec { return certs.Spec{Client: true} }, trusted)},
		{Kind: "revoked", Reason: "revoked", Config: func(p *Pki) (*tls.Config, error) {
			return Config(func() *tls.Certificate { return TLS(p.Revoked) }, nil), nil
		}},
		{Kind: "weak-key", Reason: "weak_key", Config: shows(func(*Pki) certs.Spec { return certs.Spec{Key: "rsa1024"} }, trusted)},
		{Kind: "old-version", Reason: "old_version", Config: with(sound, func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 })},
		{Kind: "no-certificate", Reason: "no_certificate", Config: func(*Pki) (*tls.Config, error) {
			return &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil }}, nil
		}},
		{Kind: "wants-a-certificate", Reason: "turned_down", Config: with(sound, func(c *tls.Config) { c.ClientAuth = tls.RequireAnyClientCert })},
		{Kind: "chain-of-1mb", Reason: "too_large", Config: longChain},
		{Kind: "plain-text", Reason: "not_tls", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 1))
			io.WriteString(c, "SYNTAX\r\n")
		}},
		{Kind: "plain-and-silent", Reason: "timeout", Raw: func(c net.Conn, _ *tls.Config) { io.Copy(io.Discard, c) }},
		{Kind: "trickles", Reason: "timeout", Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(&trickle{c}, config).Handshake()
		}},
		{Kind: "resets-at-once", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) { reset(c) }},
		{Kind: "resets-after-hello", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			reset(c)
		}},
		{Kind: "resets-in-its-flight", Reason: "broken_off", Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(&cutOff{Conn: c, left: 200}, config).Handshake()
			reset(c)
		}},
		{Kind: "ends-after-hello", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) { c.Read(make([]byte, 4096)) }},
		{Kind: "garbage", Reason: "not_tls", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			c.Write(bytes.Repeat([]byte{0xa5}, 4096))
		}},
		{Kind: "resets-after-handshake", Reason: "", Stood: true, Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(c, config).Handshake()
			reset(c)
		}},
		{Kind: "floods-key-updates", Reason: "", Stood: true, Config: sound, Raw: floodKeyUpdates},
		{Kind: "renegotiates", Reason: "", Stood: true, Old: true, Config: sound, Raw: renegotiate},
	}
}

func selfSigned(p *Pki) (*tls.Config, error) {
	now := time.Now()
	pair, err := certs.Issue(nil, certs.Spec{Name: "me", Hosts: []string{p.Name}, Server: true, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour)})
	if err != nil {
		return nil, err
	}
	return Config(func() *tls.Certificate { return TLS(pair) }, nil), nil
}

// longChain shows a certificate and a megabyte of others.
func longChain(p *Pki) (*tls.Config, error) {
	pair, err := p.Trusted.Issue(certs.Spec{Hosts: []string{p.Name}})
	if err != nil {
		return nil, err
	}
	c := TLS(pair)
	for size := 0; size < 1<<20; size += len(p.Other.Root.Cert.Raw) {
		c.Certificate = append(c.Certificate, p.Other.Root.Cert.Raw)
	}
	return Config(func() *tls.Certificate { return c }, nil), nil
}

func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// trickle writes a byte at a time.
type trickle struct{ net.Conn }

func (t *trickle) Write(p []byte) (int, error) {
	for i := range p {
		if _, err := t.Conn.Write(p[i : i+1]); err != nil {
			return i, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return len(p), nil
}

// cutOff stops writing after some bytes.
type cutOff struct {
	net.Conn
	left int
}

func (t *cutOff) Write(p []byte) (int, error) {
	n := min(t.left, len(p))
	t.left -= n
	t.Conn.Write(p[:n])
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
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
