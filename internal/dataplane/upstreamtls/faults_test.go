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

// Every fault ends as a connection that was never established, with its reason, and no byte of a request reaches the server; where the
// handshake is sound the connection breaks afterwards.
func TestFaults(t *testing.T) {
	for _, f := range fake.Faults() {
		t.Run(f.Kind, func(t *testing.T) {
			b := newBench(t, func(b *bench) {
				crl, err := b.pki.CRL(time.Now().Add(time.Hour))
				if err != nil {
					t.Fatal(err)
				}
				b.opt.CRLs = []string{b.file("crl.pem", crl)}
				if f.TLS12 {
					b.opt.MinVersion = "1.2"
				}
			})
			bad, err := fake.NewBadServer(f, b.pki)
			if err != nil {
				t.Fatal(err)
			}
			defer bad.Close()
			// Time enough for all but those that never come to an end.
			within := 5 * time.Second
			if f.Reason == string(TimedOut) {
				within = 100 * time.Millisecond
			}
			c := b.dial(bad.Addr(), within)
			late := f.Reason == string(RejectedByHost) // TLS 1.3: known only after this side's end of the handshake
			if f.SoundHandshake || late {
				if c.err != nil {
					t.Fatal(c.err)
				}
				c.write(open)
				err := c.ended()
				if late && (err.Stage != netio.Connecting || !strings.Contains(err.Error(), f.Reason)) || !late && err.Stage != netio.Up {
					t.Errorf("ended by %v", err)
				}
			} else if string(c.reason()) != f.Reason || c.err.Stage != netio.Connecting {
				t.Errorf("got %v, want %s", c.err, f.Reason)
			}
			if n := bad.RequestBytes.Load(); n > 0 || bad.Connections.Load() == 0 {
				t.Errorf("%d bytes of requests were seen on %d connections", n, bad.Connections.Load())
			}
		})
	}
}

// A TLS 1.2 server is used where the operators allow it, and a URI name has to match to the letter.
func TestOldVersionAndURI(t *testing.T) {
	b := newBench(t, func(b *bench) { b.opt.MinVersion, b.opt.Pattern, b.opt.URI = "1.2", "", "spiffe://valley/{zone}/{uid}" })
	for uri, want := range map[string]Reason{"spiffe://valley/a/s1": "", "spiffe://valley/a/s10": WrongName} {
		config, err := b.pki.Trusted.NewServerTLSConfig(uri)
		if err != nil {
			t.Fatal(err)
		}
		config.MaxVersion = tls.VersionTLS12
		c := b.dial(b.server(config).Addr(), 5*time.Second)
		if c.reason() != want || want == "" && c.err != nil {
			t.Errorf("%s: %v", uri, c.err)
		}
	}
}

// Certificates and sessions are valid by the wall clock; a step that is undone leaves nothing behind.
func TestClockSteps(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	for i, x := range []struct {
		skew time.Duration
		want Reason
	}{{0, ""}, {2 * time.Hour, Expired}, {0, ""}, {-2 * time.Hour, NotYetValid}, {0, ""}} {
		b.skew.Store(int64(x.skew))
		if c := b.dial(s.Addr(), 5*time.Second); c.reason() != x.want || x.want == "" && c.err != nil {
			t.Errorf("step %d: %v, want %q", i, c.err, x.want)
		}
	}
}

// Faults of the proxy's own files are distinguished from those of hosts, before any host is connected to.
func TestOwnFaults(t *testing.T) {
	b := newBench(t, func(b *bench) {
		if _, err := b.pki.Trusted.SaveClient(b.dir, certs.Spec{Name: "proxy", NotAfter: time.Now().Add(30 * time.Minute)}); err != nil {
			t.Fatal(err)
		}
		b.opt.Certificate, b.opt.Key = filepath.Join(b.dir, "client.pem"), filepath.Join(b.dir, "client.key")
		crl, _ := b.pki.CRL(time.Now().Add(45 * time.Minute))
		b.opt.CRLs = []string{b.file("crl.pem", crl)}
	})
	s := b.server(nil)
	for skew, want := range map[time.Duration]Reason{0: "", 35 * time.Minute: OwnCertificateExpired, 50 * time.Minute: OwnTrustUnusable} {
		b.skew.Store(int64(skew))
		c := b.dial(s.Addr(), 5*time.Second)
		if c.reason() != want || want != "" && !want.IsOwnFault() {
			t.Errorf("after %v: %v, want %q", skew, c.err, want)
		}
	}
	// The server's side of a handshake may end after the client's.
	for end := time.Now().Add(5 * time.Second); len(s.Handshakes()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := len(s.Handshakes()); n != 1 {
		t.Errorf("%d handshakes", n)
	}
}

// All that is wrong with the files is in the error, and nothing secret.
func TestFilesThatCannotBeUsed(t *testing.T) {
	b := newBench(t, nil)
	pair, _ := b.pki.Trusted.SaveClient(b.dir, certs.Spec{Name: "proxy"})
	good := b.opt
	good.Certificate, good.Key = filepath.Join(b.dir, "client.pem"), filepath.Join(b.dir, "client.key")
	if _, err := Load(good, 1); err != nil {
		t.Fatal(err)
	}
	key, _ := pair.KeyPEM(nil)
	foreign, _ := fake.ForeignCRL(b.pki)
	leaf, _ := b.pki.Trusted.Issue(certs.Spec{Hosts: []string{name}})
	leafKey, _ := leaf.KeyPEM(nil)
	crypted, _ := pair.KeyPEM([]byte("secret words"))
	for what, x := range map[string]struct {
		change func(o *Options)
		want   string
	}{
		"no such file":           {func(o *Options) { o.Trust = []string{"/nowhere"} }, "no such file"},
		"half a bundle":          {func(o *Options) { o.Trust = []string{b.file("half", fake.HalfPEM(b.pki.Trusted.Root.Cert))} }, "half written"},
		"empty bundle":           {func(o *Options) { o.Trust = []string{b.file("empty", nil)} }, "no certificate in it"},
		"a leaf for trust":       {func(o *Options) { o.Trust = []string{b.file("leaf", leaf.PEM())} }, "no authority's"},
		"key in the bundle":      {func(o *Options) { o.Trust = []string{b.file("mixed", append(pair.PEM(), key...))} }, "expected CERTIFICATE only"},
		"another's key":          {func(o *Options) { o.Key = b.file("other.key", leafKey) }, "does not belong"},
		"a server's pair":        {func(o *Options) { o.Certificate, o.Key = b.file("s.pem", leaf.PEM()), b.file("s.key", leafKey) }, "not for clients"},
		"encrypted, no password": {func(o *Options) { o.Key = b.file("c.key", crypted) }, "no password file"},
		"wrong password":         {func(o *Options) { o.Key, o.KeyPasswordFile = b.file("c.key", crypted), b.file("word", []byte("wrong")) }, "no private key"},
		"foreign list":           {func(o *Options) { o.CRLs = []string{b.file("f.crl", foreign)} }, "none of the trusted"},
		"no list":                {func(o *Options) { o.CRLs = []string{b.file("n.crl", []byte("x"))} }, "revocation list 1"},
	} {
		o := good
		x.change(&o)
		_, err := Load(o, 1)
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "secret words") || strings.Contains(err.Error(), string(key[40:60])) {
			t.Errorf("%s: %v", what, err)
		}
	}
	o := good
	o.Key, o.KeyPasswordFile = b.file("c.key", crypted), b.file("word", []byte("secret words\n"))
	if _, err := Load(o, 1); err != nil {
		t.Errorf("the right password: %v", err)
	}
	os.Chmod(good.Key, 0o640)
	if _, err := Load(good, 1); !errors.Is(err, certs.ErrKeyPermissions) {
		t.Errorf("a key that others may read: %v", err)
	}
}
