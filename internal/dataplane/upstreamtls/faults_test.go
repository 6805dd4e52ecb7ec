package upstreamtls

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// TestFaults checks that each fault of a server ends as a connection that was never established, with
// the right reason, and that no byte of a request reaches the server. If the handshake itself is sound,
// the connection breaks afterwards.
func TestFaults(t *testing.T) {
	for _, f := range fake.Faults() {
		t.Run(f.Kind, func(t *testing.T) {
			e := newEnv(t, func(e *env) {
				crl, err := e.pki.CRL(time.Now().Add(time.Hour))
				if err != nil {
					t.Fatal(err)
				}
				e.options.CRLs = []string{e.writeFile("crl.pem", crl)}
				if f.TLS12 {
					e.options.MinVersion = "1.2"
				}
			})
			bad, err := fake.NewBadServer(f, e.pki)
			if err != nil {
				t.Fatal(err)
			}
			defer bad.Close()
			// Enough time for all faults except those that must time out.
			timeout := 5 * time.Second
			if f.Reason == string(TimedOut) {
				timeout = 100 * time.Millisecond
			}
			c := e.dial(bad.Addr(), timeout)
			late := f.Reason == string(RejectedByHost) // in TLS 1.3 known only after this side has finished the handshake
			if f.CompletesHandshake || late {
				if c.err != nil {
					t.Fatal(c.err)
				}
				c.write(openLine)
				err := c.ended()
				if late && (err.Stage != netio.Connecting || !strings.Contains(err.Error(), f.Reason)) || !late && err.Stage != netio.Up {
					t.Errorf("connection ended by %v; want stage %v and reason %s if rejected late (%t), otherwise stage %v", err, netio.Connecting, f.Reason, late, netio.Up)
				}
			} else if string(c.reason()) != f.Reason || c.err.Stage != netio.Connecting {
				t.Errorf("dial failed with %v, want %s at stage %v", c.err, f.Reason, netio.Connecting)
			}
			if n := bad.RequestBytes.Load(); n > 0 || bad.Connections.Load() == 0 {
				t.Errorf("the server saw %d bytes of requests on %d connections, want 0 bytes on at least 1", n, bad.Connections.Load())
			}
		})
	}
}

// TestOldVersionAndURI checks that a TLS 1.2 server is accepted if the operators allow it, and that a URI
// name must match exactly.
func TestOldVersionAndURI(t *testing.T) {
	e := newEnv(t, func(e *env) {
		e.options.MinVersion, e.options.Pattern, e.options.URI = "1.2", "", "spiffe://valley/{zone}/{uid}"
	})
	for uri, want := range map[string]Reason{"spiffe://valley/a/s1": "", "spiffe://valley/a/s10": WrongName} {
		config, err := e.pki.Trusted.NewServerTLSConfig(uri)
		if err != nil {
			t.Fatal(err)
		}
		config.MaxVersion = tls.VersionTLS12
		c := e.dial(e.newServer(config).Addr(), 5*time.Second)
		if c.reason() != want || want == "" && c.err != nil {
			t.Errorf("dial to a server named %s: error %v, want reason %q", uri, c.err, want)
		}
	}
}

// TestClockSteps checks that certificates and sessions are verified by the wall clock, and that a step of
// the clock that is undone has no lasting effect.
func TestClockSteps(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	for i, x := range []struct {
		skew time.Duration
		want Reason
	}{{0, ""}, {2 * time.Hour, Expired}, {0, ""}, {-2 * time.Hour, NotYetValid}, {0, ""}} {
		e.clockSkew.Store(int64(x.skew))
		if c := e.dial(s.Addr(), 5*time.Second); c.reason() != x.want || x.want == "" && c.err != nil {
			t.Errorf("step %d, clock ahead by %v: error %v, want reason %q", i, x.skew, c.err, x.want)
		}
	}
}

// TestOwnFaults checks that faults of the proxy's own files are distinguished from those of hosts, and
// found before any host is connected to.
func TestOwnFaults(t *testing.T) {
	e := newEnv(t, func(e *env) {
		if _, err := e.pki.Trusted.SaveClientCertificate(e.dir, certs.Spec{Name: "proxy", NotAfter: time.Now().Add(30 * time.Minute)}); err != nil {
			t.Fatal(err)
		}
		e.options.Certificate, e.options.Key = filepath.Join(e.dir, "client.pem"), filepath.Join(e.dir, "client.key")
		crl, _ := e.pki.CRL(time.Now().Add(45 * time.Minute))
		e.options.CRLs = []string{e.writeFile("crl.pem", crl)}
	})
	s := e.newServer(nil)
	for skew, want := range map[time.Duration]Reason{0: "", 35 * time.Minute: OwnCertificateExpired, 50 * time.Minute: OwnTrustUnusable} {
		e.clockSkew.Store(int64(skew))
		c := e.dial(s.Addr(), 5*time.Second)
		if c.reason() != want || want != "" && !want.IsOwnFault() {
			t.Errorf("dial after %v: error %v, want reason %q", skew, c.err, want)
		}
	}
	// The server may finish a handshake after the client.
	for end := time.Now().Add(5 * time.Second); len(s.Handshakes()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := len(s.Handshakes()); n != 1 {
		t.Errorf("the server saw %d handshakes, want 1", n)
	}
}

// TestFilesThatCannotBeUsed checks that Load reports each fault of the files, and that its error contains
// neither the key nor its password.
func TestFilesThatCannotBeUsed(t *testing.T) {
	e := newEnv(t, nil)
	pair, _ := e.pki.Trusted.SaveClientCertificate(e.dir, certs.Spec{Name: "proxy"})
	good := e.options
	good.Certificate, good.Key = filepath.Join(e.dir, "client.pem"), filepath.Join(e.dir, "client.key")
	if _, err := Load(good, 1); err != nil {
		t.Fatal(err)
	}
	key, _ := pair.KeyPEM(nil)
	otherCRL, _ := fake.OtherCRL(e.pki)
	leaf, _ := e.pki.Trusted.Issue(certs.Spec{Hosts: []string{hostName}})
	leafKey, _ := leaf.KeyPEM(nil)
	encryptedKey, _ := pair.KeyPEM([]byte("secret words"))
	for name, x := range map[string]struct {
		change func(o *Options)
		want   string
	}{
		"no such file":      {func(o *Options) { o.Trust = []string{"/nowhere"} }, "no such file"},
		"half a bundle":     {func(o *Options) { o.Trust = []string{e.writeFile("half", fake.TruncatedPEM(e.pki.Trusted.Root.Cert))} }, "half written"},
		"empty bundle":      {func(o *Options) { o.Trust = []string{e.writeFile("empty", nil)} }, "no certificate in it"},
		"a leaf for trust":  {func(o *Options) { o.Trust = []string{e.writeFile("leaf", leaf.PEM())} }, "no authority's"},
		"key in the bundle": {func(o *Options) { o.Trust = []string{e.writeFile("mixed", append(pair.PEM(), key...))} }, "expected CERTIFICATE only"},
		"another's key":     {func(o *Options) { o.Key = e.writeFile("other.key", leafKey) }, "does not belong"},
		"a server's pair": {func(o *Options) {
			o.Certificate, o.Key = e.writeFile("s.pem", leaf.PEM()), e.writeFile("s.key", leafKey)
		}, "not for clients"},
		"encrypted, no password": {func(o *Options) { o.Key = e.writeFile("c.key", encryptedKey) }, "no password file"},
		"wrong password": {func(o *Options) {
			o.Key, o.KeyPasswordFile = e.writeFile("c.key", encryptedKey), e.writeFile("word", []byte("wrong"))
		}, "no private key"},
		"foreign list": {func(o *Options) { o.CRLs = []string{e.writeFile("f.crl", otherCRL)} }, "none of the trusted"},
		"no list":      {func(o *Options) { o.CRLs = []string{e.writeFile("n.crl", []byte("x"))} }, "revocation list 1"},
	} {
		o := good
		x.change(&o)
		_, err := Load(o, 1)
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "secret words") || strings.Contains(err.Error(), string(key[40:60])) {
			t.Errorf("Load with %s: error %v, want %q and no secret", name, err, x.want)
		}
	}
	o := good
	o.Key, o.KeyPasswordFile = e.writeFile("c.key", encryptedKey), e.writeFile("word", []byte("secret words\n"))
	if _, err := Load(o, 1); err != nil {
		t.Errorf("Load with the right password: %v", err)
	}
	os.Chmod(good.Key, 0o640)
	if _, err := Load(good, 1); !errors.Is(err, certs.ErrKeyPermissions) {
		t.Errorf("Load with a key that others may read: error %v, want %v", err, certs.ErrKeyPermissions)
	}
}
