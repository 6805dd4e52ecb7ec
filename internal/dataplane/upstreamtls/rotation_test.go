package upstreamtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// Replacements as they happen: whole, in place and half written, in the wrong order. What can't be used changes nothing
// and is told once; what can is in use at the next look.
func TestWatcher(t *testing.T) {
	b := newBench(t, func(b *bench) {
		b.pki.Trusted.SaveClient(b.dir, certs.Spec{Name: "proxy"})
		b.opt.Certificate, b.opt.Key = filepath.Join(b.dir, "client.pem"), filepath.Join(b.dir, "client.key")
	})
	m, err := Load(b.opt, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := watcher{current: m, options: b.opt, signature: signature(b.opt.Files())}
	look := func(want bool) *Material {
		t.Helper()
		next := w.poll(false, time.Now())
		if (next != nil) != want {
			t.Fatalf("taken: %t, want %t; told %q", next != nil, want, w.lastFault)
		}
		return next
	}
	look(false)
	// In place, and read while half of it is there.
	whole := append(certs.Bundle(b.pki.Trusted.Root.Cert), certs.Bundle(b.pki.Other.Root.Cert)...)
	os.WriteFile(b.opt.Trust[0], whole[:len(whole)-100], 0o644)
	look(false)
	if !strings.Contains(w.lastFault, "half written") {
		t.Errorf("told %q", w.lastFault)
	}
	os.WriteFile(b.opt.Trust[0], whole, 0o644)
	if next := look(true); next.authorities != 2 || next.Epoch != 2 || w.lastFault != "" {
		t.Errorf("%d authorities, epoch %d", next.authorities, next.Epoch)
	}
	look(false)
	// A certificate whose key comes later.
	pair, _ := b.pki.Other.Issue(certs.Spec{Name: "new", Client: true})
	certs.ReplaceFile(b.opt.Certificate, pair.PEM(), 0o644)
	look(false)
	key, _ := pair.KeyPEM(nil)
	certs.ReplaceFile(b.opt.Key, key, 0o600)
	if next := look(true); next.certificate.Leaf.SerialNumber.Cmp(pair.Cert.SerialNumber) != 0 {
		t.Error("the new certificate is not in use")
	}
	// The same content under a new inode is no replacement.
	certs.ReplaceFile(b.opt.Key, key, 0o600)
	look(false)
	os.Remove(b.opt.Key)
	look(false)
	certs.ReplaceFile(b.opt.Key, key, 0o600)
	look(false)
}

// A ticket made under an old trust bundle, or for another name, is never taken up.
func TestReuseEndsWithItsEpoch(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	resumed := func() bool {
		t.Helper()
		c := b.dial(s.Addr(), 5*time.Second)
		if c.err != nil {
			t.Fatal(c.err)
		}
		c.write(open)
		c.read(up)
		was := false
		b.on(func() { was = c.c.Layer().(*session).resumed; c.c.Close() })
		return was
	}
	if resumed() || !resumed() {
		t.Fatal("sessions are not reused")
	}
	fake.SaveTrust(b.dir, b.pki.Trusted, b.pki.Other)
	m, err := Load(b.opt, 2)
	if err != nil {
		t.Fatal(err)
	}
	b.on(func() { b.link.Use(m) })
	if resumed() {
		t.Error("a session of the old epoch was taken up")
	}
	if !resumed() {
		t.Error("no session of the new epoch was taken up")
	}
	o := b.opt
	o.Names = map[string]string{"s1": "s2.test"}
	if m, err = Load(o, 2); err != nil { // the same epoch, so that only the name is another
		t.Fatal(err)
	}
	b.on(func() { b.link.Use(m) })
	if c := b.dial(s.Addr(), 5*time.Second); c.reason() != WrongName {
		t.Errorf("under another name: %v", c.err)
	}
}

// Trust that no longer holds the host's authority ends reuse and new connections, and leaves standing ones alone.
func TestTrustWithdrawn(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	c := b.dial(s.Addr(), 5*time.Second)
	c.write(open)
	c.read(up)
	fake.SaveTrust(b.dir, b.pki.Other)
	m, err := Load(b.opt, 2)
	if err != nil {
		t.Fatal(err)
	}
	b.on(func() { b.link.Use(m) })
	if c := b.dial(s.Addr(), 5*time.Second); c.reason() != UnknownCA {
		t.Errorf("got %v", c.err)
	}
	c.write("M\r\n")
	c.read("GOT M\r\n")
}

// A server that has new ticket keys, or none of the old ones, costs a full handshake and nothing else.
func TestTicketKeysChanged(t *testing.T) {
	b := newBench(t, nil)
	config, _ := b.pki.Trusted.NewServerTLSConfig(name)
	config.SetSessionTicketKeys([][32]byte{{1}})
	s := b.server(config)
	var last tls.ConnectionState
	for i, change := range []bool{false, false, true, false} {
		if change {
			config = config.Clone()
			config.SetSessionTicketKeys([][32]byte{{2}})
			s.SetTLS(config)
		}
		c := b.dial(s.Addr(), 5*time.Second)
		if c.err != nil {
			t.Fatal(c.err)
		}
		c.write(open)
		c.read(up)
		b.on(func() { last = c.c.Layer().(*session).tlsConn.ConnectionState() })
		if last.DidResume != (i == 1 || i == 3) {
			t.Errorf("connection %d: resumed %t", i, last.DidResume)
		}
	}
}

func TestCacheIsBounded(t *testing.T) {
	c := newSessionCache(2)
	now := time.Now()
	key := func(uid string) sessionKey { return sessionKey{uid, Name{Text: uid}, 1} }
	for _, uid := range []string{"a", "b", "a", "c"} {
		c.put(key(uid), &tls.ClientSessionState{}, now.Add(time.Hour))
	}
	if c.len() != 2 || c.get(key("b"), now) != nil || c.get(key("a"), now) == nil {
		t.Error("not the one used longest ago was forgotten")
	}
	if c.get(key("a"), now.Add(2*time.Hour)) != nil || c.len() != 1 {
		t.Error("a session outlived its certificate")
	}
	c.put(key("c"), nil, now)
	if c.len() != 0 {
		t.Error("a session that the host took back is kept")
	}
}

// A certificate that ends while its connection stands ends neither the connection nor its lines; that is the policy's to
// say, which is asked by what Expires tells.
func TestExpiresInMidConnection(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	c := b.dial(s.Addr(), 5*time.Second)
	c.write(open)
	c.read(up)
	b.skew.Store(int64(2 * time.Hour))
	c.write("M\r\n")
	c.read("GOT M\r\n")
	if d := b.dial(s.Addr(), 5*time.Second); d.reason() != Expired {
		t.Errorf("a new connection: %v", d.err)
	}
}

func FuzzRevocationLists(f *testing.F) {
	pki, err := fake.NewPKI(name)
	if err != nil {
		f.Fatal(err)
	}
	good, _ := pki.CRL(time.Now().Add(time.Hour))
	foreign, _ := fake.ForeignCRL(pki)
	f.Add(good)
	f.Add(foreign)
	f.Add(good[:len(good)/2])
	f.Add([]byte("0\x80"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lists, err := parseRevocationLists("f", data, []*x509.Certificate{pki.Trusted.Root.Cert})
		if err == nil && len(lists) == 0 {
			t.Error("nothing, and no error")
		}
	})
}
