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
	SoundHandshake bool
	TLS12          bool // it speaks TLS 1.2, and the proxy is configured to
	Config         func(p *Pki) (*tls.Config, error)
	Raw            func(c net.Conn, config *tls.Config)
}

// showing is a configuration with a certificate of some kind by an authority.
func showing(spec func(p *Pki) certs.Spec, by func(p *Pki) *Authority) func(p *Pki) (*tls.Config, error) {
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

func byTrusted(p *Pki) *Authority { return p.Trusted }

func byOther(p *Pki) *Authority { return p.Other }

func unchangedSpec(*Pki) certs.Spec { return certs.Spec{} }

// changed is a configuration with a change.
func changed(f func(p *Pki) (*tls.Config, error), change func(*tls.Config)) func(p *Pki) (*tls.Config, error) {
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
	sound := showing(unchangedSpec, byTrusted)
	at := func(from, to time.Duration) func(*Pki) certs.Spec {
		return func(*Pki) certs.Spec {
			return certs.Spec{NotBefore: time.Now().Add(from), NotAfter: time.Now().Add(to)}
		}
	}
	return []Fault{
		{Kind: "expired", Reason: "expired", Config: showing(at(-2*time.Hour, -time.Hour), byTrusted)},
		{Kind: "not-yet-valid", Reason: "not_yet_valid", Config: showing(at(time.Hour, 2*time.Hour), byTrusted)},
		{Kind: "wrong-name", Reason: "wrong_name", Config: showing(func(*Pki) certs.Spec {
			return certs.Spec{Hosts: []string{"cat3.example.org"}}
		}, byTrusted)},
		{Kind: "unknown-ca", Reason: "unknown_ca", Config: showing(unchangedSpec, byOther)},
		{Kind: "self-signed", Reason: "self_signed", Config: selfSigned},
		{Kind: "wrong-usage", Reason: "wrong_usage", Config: showing(func(*Pki) certs.Spec { return certs.Spec{Client: true} }, byTrusted)},
		{Kind: "revoked", Reason: "revoked", Config: func(p *Pki) (*tls.Config, error) {
			return Config(func() *tls.Certificate { return TLS(p.Revoked) }, nil), nil
		}},
		{Kind: "weak-key", Reason: "weak_key", Config: showing(func(*Pki) certs.Spec { return certs.Spec{Key: "rsa1024"} }, byTrusted)},
		{Kind: "old-version", Reason: "old_version", Config: changed(sound, func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 })},
		{Kind: "no-certificate", Reason: "no_certificate", Config: func(*Pki) (*tls.Config, error) {
			return &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil }}, nil
		}},
		{Kind: "wants-a-certificate", Reason: "rejected_by_host", Config: changed(sound, func(c *tls.Config) { c.ClientAuth = tls.RequireAnyClientCert })},
		{Kind: "chain-of-1mb", Reason: "too_large", Config: longChain},
		{Kind: "plain-text", Reason: "not_tls", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 1))
			io.WriteString(c, "SYNTAX\r\n")
		}},
		{Kind: "plain-and-silent", Reason: "timeout", Raw: func(c net.Conn, _ *tls.Config) { io.Copy(io.Discard, c) }},
		{Kind: "trickles", Reason: "timeout", Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(&tricklingConn{c}, config).Handshake()
		}},
		{Kind: "resets-at-once", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) { Reset(c) }},
		{Kind: "resets-after-hello", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			Reset(c)
		}},
		{Kind: "resets-in-its-flight", Reason: "broken_off", Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(&truncatingConn{Conn: c, bytesLeft: 200}, config).Handshake()
			Reset(c)
		}},
		{Kind: "ends-after-hello", Reason: "broken_off", Raw: func(c net.Conn, _ *tls.Config) { c.Read(make([]byte, 4096)) }},
		{Kind: "garbage", Reason: "not_tls", Raw: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			c.Write(bytes.Repeat([]byte{0xa5}, 4096))
		}},
		{Kind: "resets-after-handshake", Reason: "", SoundHandshake: true, Config: sound, Raw: func(c net.Conn, config *tls.Config) {
			tls.Server(c, config).Handshake()
			Reset(c)
		}},
		{Kind: "floods-key-updates", Reason: "", SoundHandshake: true, Config: sound, Raw: floodKeyUpdates},
		{Kind: "renegotiates", Reason: "", SoundHandshake: true, TLS12: true, Config: sound, Raw: renegotiate},
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

// tricklingConn writes a byte at a time.
type tricklingConn struct{ net.Conn }

// Write writes a byte each 5 ms.
func (t *tricklingConn) Write(p []byte) (int, error) {
	for i := range p {
		if _, err := t.Conn.Write(p[i : i+1]); err != nil {
			return i, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return len(p), nil
}

// truncatingConn stops writing after some bytes.
type truncatingConn struct {
	net.Conn
	bytesLeft int
}

// Write writes as far as the bytes left go.
func (t *truncatingConn) Write(p []byte) (int, error) {
	n := min(t.bytesLeft, len(p))
	t.bytesLeft -= n
	t.Conn.Write(p[:n])
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
