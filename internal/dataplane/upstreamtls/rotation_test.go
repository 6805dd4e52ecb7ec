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

// Files are replaced at once, in place, half written, and in the wrong order. What can't be used changes nothing and is logged once; what
// can is in use from the next poll on.
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
	poll := func(want bool) *Material {
		t.Helper()
		next := w.poll(false, time.Now())
		if (next != nil) != want {
			t.Fatalf("new material: %t, want %t; the last fault is %q", next != nil, want, w.lastFault)
		}
		return next
	}
	poll(false)
	// In place, and read while half of it is there.
	bundle := append(certs.Bundle(b.pki.Trusted.Root.Cert), certs.Bundle(b.pki.Other.Root.Cert)...)
	os.WriteFile(b.opt.Trust[0], bundle[:len(bundle)-100], 0o644)
	poll(false)
	if !strings.Contains(w.lastFault, "half written") {
		t.Errorf("the last fault is %q", w.lastFault)
	}
	os.WriteFile(b.opt.Trust[0], bundle, 0o644)
	if next := poll(true); next.authorities != 2 || next.Epoch != 2 || w.lastFault != "" {
		t.Errorf("%d authorities, epoch %d", next.authorities, next.Epoch)
	}
	poll(false)
	// A certificate whose key comes later.
	pair, _ := b.pki.Other.Issue(certs.Spec{Name: "new", Client: true})
	certs.ReplaceFile(b.opt.Certificate, pair.PEM(), 0o644)
	poll(false)
	key, _ := pair.KeyPEM(nil)
	certs.ReplaceFile(b.opt.Key, key, 0o600)
	if next := poll(true); next.certificate.Leaf.SerialNumber.Cmp(pair.Cert.SerialNumber) != 0 {
		t.Error("the new certificate is not in use")
	}
	// The same content under a new inode is no replacement.
	certs.ReplaceFile(b.opt.Key, key, 0o600)
	poll(false)
	os.Remove(b.opt.Key)
	poll(false)
	certs.ReplaceFile(b.opt.Key, key, 0o600)
	poll(false)
}

// A session of an old trust bundle, or of another name, is never resumed.
func TestReuseEndsWithItsEpoch(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	resumed := func() bool {
		t.Helper()
		c := b.open(s.Addr())
		reused := false
		b.on(func() { reused = c.c.Layer().(*session).resumed; c.c.Close() })
		return reused
	}
	if resumed() || !resumed() {
		t.Fatal("sessions are not reused")
	}
	fake.SaveTrust(b.dir, b.pki.Trusted, b.pki.Other)
	m, err := Load(b.opt, 2)
	if err != nil {
		t.Fatal(err)
	}
	b.on(func() { b.link.SetMaterial(m) })
	if resumed() {
		t.Error("a session of the old epoch was resumed")
	}
	if !resumed() {
		t.Error("no session of the new epoch was resumed")
	}
	o := b.opt
	o.Names = map[string]string{"s1": "s2.test"}
	if m, err = Load(o, 2); err != nil { // the same epoch, so that only the name is another
		t.Fatal(err)
	}
	b.on(func() { b.link.SetMaterial(m) })
	if c := b.dial(s.Addr(), 5*time.Second); c.reason() != WrongName {
		t.Errorf("under another name: %v", c.err)
	}
}

// A trust bundle without the host's authority ends resumption and new connections, and leaves open ones alone.
func TestTrustWithdrawn(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	c := b.open(s.Addr())
	fake.SaveTrust(b.dir, b.pki.Other)
	m, err := Load(b.opt, 2)
	if err != nil {
		t.Fatal(err)
	}
	b.on(func() { b.link.SetMaterial(m) })
	if c := b.dial(s.Addr(), 5*time.Second); c.reason() != UnknownCA {
		t.Errorf("got %v", c.err)
	}
	c.write("M\r\n")
	c.read("GOT M\r\n")
}

// A server with new ticket keys, and none of the old ones, costs a full handshake and nothing else.
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
		c := b.open(s.Addr())
		b.on(func() { last = c.c.Layer().(*session).tlsConn.ConnectionState() })
		if last.DidResume != (i == 1 || i == 3) {
			t.Errorf("connection %d: resumed %t", i, last.DidResume)
		}
	}
}

// The cache drops the session used longest ago, and what has ended.
func TestCacheIsBounded(t *testing.T) {
	c := newSessionCache(2)
	now := time.Now()
	key := func(uid string) sessionKey { return sessionKey{uid, Name{Text: uid}, 1} }
	for _, uid := range []string{"a", "b", "a", "c"} {
		c.put(key(uid), &tls.ClientSessionState{}, now.Add(time.Hour))
	}
	if c.len() != 2 || c.get(key("b"), now) != nil || c.get(key("a"), now) == nil {
		t.Error("another one than that used longest ago was dropped")
	}
	if c.get(key("a"), now.Add(2*time.Hour)) != nil || c.len() != 1 {
		t.Error("a session outlived its certificate")
	}
	c.put(key("c"), nil, now)
	if c.len() != 0 {
		t.Error("a session that the host withdrew is still cached")
	}
}

// A certificate that ends while its connection is open ends neither the connection nor its lines: whether it migrates is for the policy to
// say, by what Expires gives.
func TestExpiresInMidConnection(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	c := b.open(s.Addr())
	b.skew.Store(int64(2 * time.Hour))
	c.write("M\r\n")
	c.read("GOT M\r\n")
	if d := b.dial(s.Addr(), 5*time.Second); d.reason() != Expired {
		t.Errorf("a new connection: %v", d.err)
	}
}

// FuzzRevocationLists: bytes give lists or an error, never a panic.
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
