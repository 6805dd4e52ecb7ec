package fake

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"time"

	"croftlock/internal/operations/certs"
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

func other(p *Pki) *Authority { return p.Other }

func plain(*Pki) certs.Spec { return certs.Spec{} }

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
		{Kind: "resets-at-once", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) { Reset(c) }},
		{Kind: "resets-after-hello", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			Reset(c)
		}},
		{Kind: "resets-in-its-flight", Reason: "broken_off", Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(&cutOff{Conn: c, left: 200}, config).Handshake()
			Reset(c)
		}},
		{Kind: "ends-after-hello", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) { c.Read(make([]byte, 4096)) }},
		{Kind: "garbage", Reason: "not_tls", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			c.Write(bytes.Repeat([]byte{0xa5}, 4096))
		}},
		{Kind: "resets-after-handshake", Reason: "", Stood: true, Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(c, config).Handshake()
			Reset(c)
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

// Reset ends a connection with a reset.
func Reset(c net.Conn) {
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
