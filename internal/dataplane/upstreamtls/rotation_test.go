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
	e := newEnv(t, func(e *env) {
		e.pki.Trusted.SaveClient(e.dir, certs.Spec{Name: "proxy"})
		e.opt.Certificate, e.opt.Key = filepath.Join(e.dir, "client.pem"), filepath.Join(e.dir, "client.key")
	})
	m, err := Load(e.opt, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := watcher{current: m, options: e.opt, fingerprint: fileFingerprint(e.opt.Files())}
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
	bundle := append(certs.EncodeBundle(e.pki.Trusted.Root.Cert), certs.EncodeBundle(e.pki.Other.Root.Cert)...)
	os.WriteFile(e.opt.Trust[0], bundle[:len(bundle)-100], 0o644)
	poll(false)
	if !strings.Contains(w.lastFault, "half written") {
		t.Errorf("the last fault is %q", w.lastFault)
	}
	os.WriteFile(e.opt.Trust[0], bundle, 0o644)
	if next := poll(true); next.authorities != 2 || next.Epoch != 2 || w.lastFault != "" {
		t.Errorf("%d authorities, epoch %d", next.authorities, next.Epoch)
	}
	poll(false)
	// A certificate whose key comes later.
	pair, _ := e.pki.Other.Issue(certs.Spec{Name: "new", Client: true})
	certs.ReplaceFile(e.opt.Certificate, pair.PEM(), 0o644)
	poll(false)
	key, _ := pair.KeyPEM(nil)
	certs.ReplaceFile(e.opt.Key, key, 0o600)
	if next := poll(true); next.certificate.Leaf.SerialNumber.Cmp(pair.Cert.SerialNumber) != 0 {
		t.Error("the new certificate is not in use")
	}
	// The same content under a new inode is no replacement.
	certs.ReplaceFile(e.opt.Key, key, 0o600)
	poll(false)
	os.Remove(e.opt.Key)
	poll(false)
	certs.ReplaceFile(e.opt.Key, key, 0o600)
	poll(false)
}

// A session of an old trust bundle, or of another name, is never resumed.
func TestReuseEndsWithItsEpoch(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	resumed := func() bool {
		t.Helper()
		c := e.openRequest(s.Addr())
		reused := false
		e.onLoop(func() { reused = c.c.Layer().(*session).resumed; c.c.Close() })
		return reused
	}
	if resumed() || !resumed() {
		t.Fatal("sessions are not reused")
	}
	fake.SaveTrust(e.dir, e.pki.Trusted, e.pki.Other)
	m, err := Load(e.opt, 2)
	if err != nil {
		t.Fatal(err)
	}
	e.onLoop(func() { e.dialer.SetMaterial(m) })
	if resumed() {
		t.Error("a session of the old epoch was resumed")
	}
	if !resumed() {
		t.Error("no session of the new epoch was resumed")
	}
	o := e.opt
	o.Names = map[string]string{"s1": "s2.test"}
	if m, err = Load(o, 2); err != nil { // the same epoch, so that only the name is another
		t.Fatal(err)
	}
	e.onLoop(func() { e.dialer.SetMaterial(m) })
	if c := e.dial(s.Addr(), 5*time.Second); c.reason() != WrongName {
		t.Errorf("under another name: %v", c.err)
	}
}

// A trust bundle without the host's authority ends resumption and new connections, and leaves open ones alone.
func TestTrustWithdrawn(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	c := e.openRequest(s.Addr())
	fake.SaveTrust(e.dir, e.pki.Other)
	m, err := Load(e.opt, 2)
	if err != nil {
		t.Fatal(err)
	}
	e.onLoop(func() { e.dialer.SetMaterial(m) })
	if c := e.dial(s.Addr(), 5*time.Second); c.reason() != UnknownCA {
		t.Errorf("got %v", c.err)
	}
	c.write("M\r\n")
	c.read("GOT M\r\n")
}

// A server with new ticket keys, and none of the old ones, costs a full handshake and nothing else.
func TestTicketKeysChanged(t *testing.T) {
	e := newEnv(t, nil)
	config, _ := e.pki.Trusted.NewServerTLSConfig(hostName)
	config.SetSessionTicketKeys([][32]byte{{1}})
	s := e.newServer(config)
	var last tls.ConnectionState
	for i, change := range []bool{false, false, true, false} {
		if change {
			config = config.Clone()
			config.SetSessionTicketKeys([][32]byte{{2}})
			s.SetTLS(config)
		}
		c := e.openRequest(s.Addr())
		e.onLoop(func() { last = c.c.Layer().(*session).tlsConn.ConnectionState() })
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
	e := newEnv(t, nil)
	s := e.newServer(nil)
	c := e.openRequest(s.Addr())
	e.clockSkew.Store(int64(2 * time.Hour))
	c.write("M\r\n")
	c.read("GOT M\r\n")
	if d := e.dial(s.Addr(), 5*time.Second); d.reason() != Expired {
		t.Errorf("a new connection: %v", d.err)
	}
}

// FuzzRevocationLists: bytes give lists or an error, never a panic.
func FuzzRevocationLists(f *testing.F) {
	pki, err := fake.NewPKI(hostName)
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
