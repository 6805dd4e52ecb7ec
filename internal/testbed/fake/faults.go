package fake

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"time"

	"croftlock/internal/operations/certs"
)

// Fault describes a TLS fault of a server and the reason that a proxy must log for it.
type Fault struct {
	Kind   string // name of the fault in reports
	Reason string // reason that the proxy logs; empty if it logs none
	// If CompletesHandshake is true, the server completes the handshake and then breaks the
	// connection without reading, so the proxy may send its request. Otherwise no byte of a
	// request may reach the server.
	CompletesHandshake bool
	TLS12              bool                                 // the server and the proxy's settings use TLS 1.2 instead of TLS 1.3
	Config             configFunc                           // returns the server's configuration; nil if the fault needs none
	Serve              func(c net.Conn, config *tls.Config) // handles a connection; if nil, the server does a handshake with Config
}

// configFunc returns a server's TLS configuration.
type configFunc func(p *PKI) (*tls.Config, error)

// withCertificate returns a configFunc that presents a certificate of the given spec, issued by the
// given authority. If the spec has no hosts, the certificate is for the server's name.
func withCertificate(spec func(p *PKI) certs.Spec, issuer func(p *PKI) *Authority) configFunc {
	return func(p *PKI) (*tls.Config, error) {
		s := spec(p)
		if s.Hosts == nil {
			s.Hosts = []string{p.ServerName}
		}
		pair, err := issuer(p).Issue(s)
		if err != nil {
			return nil, err
		}
		c := TLSCertificate(pair)
		return ServerTLSConfig(func() *tls.Certificate { return c }, nil), nil
	}
}

// trustedAuthority returns the authority that the proxy trusts.
func trustedAuthority(p *PKI) *Authority { return p.Trusted }

// otherAuthority returns the authority that the proxy does not trust.
func otherAuthority(p *PKI) *Authority { return p.Other }

// defaultSpec returns the spec of a valid server certificate.
func defaultSpec(*PKI) certs.Spec { return certs.Spec{} }

// withModification returns a configFunc that applies change to the configuration that base returns.
func withModification(base configFunc, change func(*tls.Config)) configFunc {
	return func(p *PKI) (*tls.Config, error) {
		c, err := base(p)
		if err == nil {
			change(c)
		}
		return c, err
	}
}

// Faults returns every TLS fault that a BadServer can inject.
func Faults() []Fault {
	validConfig := withCertificate(defaultSpec, trustedAuthority)
	validBetween := func(from, to time.Duration) func(*PKI) certs.Spec {
		return func(*PKI) certs.Spec {
			return certs.Spec{NotBefore: time.Now().Add(from), NotAfter: time.Now().Add(to)}
		}
	}
	return []Fault{
		{Kind: "expired", Reason: "expired", Config: withCertificate(validBetween(-2*time.Hour, -time.Hour), trustedAuthority)},
		{Kind: "not-yet-valid", Reason: "not_yet_valid", Config: withCertificate(validBetween(time.Hour, 2*time.Hour), trustedAuthority)},
		{Kind: "wrong-name", Reason: "wrong_name", Config: withCertificate(func(*PKI) certs.Spec {
			return certs.Spec{Hosts: []string{"cat3.example.org"}}
		}, trustedAuthority)},
		{Kind: "unknown-ca", Reason: "unknown_ca", Config: withCertificate(defaultSpec, otherAuthority)},
		{Kind: "self-signed", Reason: "self_signed", Config: selfSigned},
		{Kind: "wrong-usage", Reason: "wrong_usage", Config: withCertificate(func(*PKI) certs.Spec { return certs.Spec{Client: true} }, trustedAuthority)},
		{Kind: "revoked", Reason: "revoked", Config: func(p *PKI) (*tls.Config, error) {
			return ServerTLSConfig(func() *tls.Certificate { return TLSCertificate(p.Revoked) }, nil), nil
		}},
		{Kind: "weak-key", Reason: "weak_key", Config: withCertificate(func(*PKI) certs.Spec { return certs.Spec{Key: "rsa1024"} }, trustedAuthority)},
		{Kind: "old-version", Reason: "old_version", Config: withModification(validConfig, func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 })},
		{Kind: "no-certificate", Reason: "no_certificate", Config: func(*PKI) (*tls.Config, error) {
			return &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, nil }}, nil
		}},
		{Kind: "wants-a-certificate", Reason: "rejected_by_host", Config: withModification(validConfig, func(c *tls.Config) { c.ClientAuth = tls.RequireAnyClientCert })},
		{Kind: "chain-of-1mb", Reason: "too_large", Config: longChain},
		{Kind: "plain-text", Reason: "not_tls", Serve: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 1))
			io.WriteString(c, "SYNTAX\r\n")
		}},
		{Kind: "plain-and-silent", Reason: "timeout", Serve: func(c net.Conn, _ *tls.Config) { io.Copy(io.Discard, c) }},
		{Kind: "trickles", Reason: "timeout", Config: validConfig, Serve: func(c net.Conn, config *tls.Config) {
			tls.Server(&tricklingConn{c}, config).Handshake()
		}},
		{Kind: "resets-at-once", Reason: "broken_off", Serve: func(c net.Conn, _ *tls.Config) { Reset(c) }},
		{Kind: "resets-after-hello", Reason: "broken_off", Serve: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			Reset(c)
		}},
		{Kind: "resets-in-its-flight", Reason: "broken_off", Config: validConfig, Serve: func(c net.Conn, config *tls.Config) {
			tls.Server(&truncatingConn{Conn: c, bytesLeft: 200}, config).Handshake()
			Reset(c)
		}},
		{Kind: "ends-after-hello", Reason: "broken_off", Serve: func(c net.Conn, _ *tls.Config) { c.Read(make([]byte, 4096)) }},
		{Kind: "garbage", Reason: "not_tls", Serve: func(c net.Conn, _ *tls.Config) {
			c.Read(make([]byte, 4096))
			c.Write(bytes.Repeat([]byte{0xa5}, 4096))
		}},
		{Kind: "resets-after-handshake", Reason: "", CompletesHandshake: true, Config: validConfig, Serve: func(c net.Conn, config *tls.Config) {
			tls.Server(c, config).Handshake()
			Reset(c)
		}},
		{Kind: "floods-key-updates", Reason: "", CompletesHandshake: true, Config: validConfig, Serve: floodKeyUpdates},
		{Kind: "renegotiates", Reason: "", CompletesHandshake: true, TLS12: true, Config: validConfig, Serve: renegotiate},
	}
}

// selfSigned returns a configuration with a valid certificate that is signed by its own key.
func selfSigned(p *PKI) (*tls.Config, error) {
	now := time.Now()
	pair, err := certs.Issue(nil, certs.Spec{Name: "me", Hosts: []string{p.ServerName}, Server: true, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour)})
	if err != nil {
		return nil, err
	}
	return ServerTLSConfig(func() *tls.Certificate { return TLSCertificate(pair) }, nil), nil
}

// longChain returns a configuration whose chain is a valid certificate followed by 1 MiB of
// unrelated ones.
func longChain(p *PKI) (*tls.Config, error) {
	pair, err := p.Trusted.Issue(certs.Spec{Hosts: []string{p.ServerName}})
	if err != nil {
		return nil, err
	}
	c := TLSCertificate(pair)
	for size := 0; size < 1<<20; size += len(p.Other.Root.Cert.Raw) {
		c.Certificate = append(c.Certificate, p.Other.Root.Cert.Raw)
	}
	return ServerTLSConfig(func() *tls.Certificate { return c }, nil), nil
}

// Reset closes c with a TCP reset if c has a SetLinger method, as TCP connections do. Otherwise it
// only closes c.
func Reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// tricklingConn writes one byte every 5 ms.
type tricklingConn struct{ net.Conn }

// Write writes p byte by byte with a pause of 5 ms after each.
func (t *tricklingConn) Write(p []byte) (int, error) {
	for i := range p {
		if _, err := t.Conn.Write(p[i : i+1]); err != nil {
			return i, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return len(p), nil
}

// truncatingConn fails writes once it has written bytesLeft bytes.
type truncatingConn struct {
	net.Conn
	bytesLeft int // number of bytes that Write still accepts
}

// Write writes p, or the bytes left of it, in which case it returns io.ErrClosedPipe.
func (t *truncatingConn) Write(p []byte) (int, error) {
	n := min(t.bytesLeft, len(p))
	t.bytesLeft -= n
	t.Conn.Write(p[:n])
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
