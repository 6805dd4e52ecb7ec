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

// TestWatcher replaces files atomically, in place, half written and in the wrong order. Files that cannot be
// used must not replace the Material, the loaded content of the files. For usable files, the next poll must
// return new Material.
func TestWatcher(t *testing.T) {
	e := newEnv(t, func(e *env) {
		e.pki.Trusted.SaveClientCertificate(e.dir, certs.Spec{Name: "proxy"})
		e.options.Certificate, e.options.Key = filepath.Join(e.dir, "client.pem"), filepath.Join(e.dir, "client.key")
	})
	m, err := Load(e.options, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := watcher{current: m, options: e.options, fingerprint: fileFingerprint(e.options.Files())}
	poll := func(want bool) *Material {
		t.Helper()
		next := w.poll(false, time.Now())
		if (next != nil) != want {
			t.Fatalf("poll returned new material: %t, want %t; last fault %q", next != nil, want, w.lastFault)
		}
		return next
	}
	poll(false)
	// A bundle written in place is read when only part of it is written.
	bundle := append(certs.EncodeBundle(e.pki.Trusted.Root.Cert), certs.EncodeBundle(e.pki.Other.Root.Cert)...)
	os.WriteFile(e.options.Trust[0], bundle[:len(bundle)-100], 0o644)
	poll(false)
	if !strings.Contains(w.lastFault, "half written") {
		t.Errorf("last fault = %q, want one that contains %q", w.lastFault, "half written")
	}
	os.WriteFile(e.options.Trust[0], bundle, 0o644)
	if next := poll(true); next.authorities != 2 || next.Epoch != 2 || w.lastFault != "" {
		t.Errorf("new material has %d authorities, epoch %d, last fault %q; want 2, epoch 2, no fault", next.authorities, next.Epoch, w.lastFault)
	}
	poll(false)
	// A certificate is replaced before its key.
	pair, _ := e.pki.Other.Issue(certs.Spec{Name: "new", Client: true})
	certs.ReplaceFile(e.options.Certificate, pair.PEM(), 0o644)
	poll(false)
	key, _ := pair.KeyPEM(nil)
	certs.ReplaceFile(e.options.Key, key, 0o600)
	if next := poll(true); next.certificate.Leaf.SerialNumber.Cmp(pair.Cert.SerialNumber) != 0 {
		t.Errorf("new material has a certificate with serial %v, want %v", next.certificate.Leaf.SerialNumber, pair.Cert.SerialNumber)
	}
	// The same content in a new inode is not a replacement.
	certs.ReplaceFile(e.options.Key, key, 0o600)
	poll(false)
	os.Remove(e.options.Key)
	poll(false)
	certs.ReplaceFile(e.options.Key, key, 0o600)
	poll(false)
}

// TestReuseEndsWithItsEpoch checks that a session of an earlier epoch (version of the files), or of another
// name, is never resumed.
func TestReuseEndsWithItsEpoch(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	connectResumes := func() bool {
		t.Helper()
		c := e.openRequest(s.Addr())
		resumed := false
		e.onLoop(func() { resumed = c.netConn.Layer().(*session).resumed; c.netConn.Close() })
		return resumed
	}
	if connectResumes() || !connectResumes() {
		t.Fatal("the first handshake was resumed or the second was not, want one full and one resumed")
	}
	fake.SaveTrustBundle(e.dir, e.pki.Trusted, e.pki.Other)
	m, err := Load(e.options, 2)
	if err != nil {
		t.Fatal(err)
	}
	e.onLoop(func() { e.dialer.SetMaterial(m) })
	if connectResumes() {
		t.Error("a session of epoch 1 was resumed in epoch 2")
	}
	if !connectResumes() {
		t.Error("the second handshake of epoch 2 was not resumed")
	}
	o := e.options
	o.Names = map[string]string{"s1": "s2.test"}
	if m, err = Load(o, 2); err != nil { // the same epoch, so that only the name differs
		t.Fatal(err)
	}
	e.onLoop(func() { e.dialer.SetMaterial(m) })
	if c := e.dial(s.Addr(), 5*time.Second); c.reason() != WrongName {
		t.Errorf("dial under another name: error %v, want %q", c.err, WrongName)
	}
}

// TestTrustWithdrawn checks that a trust bundle without the host's authority ends resumption and new
// connections, and does not affect open ones.
func TestTrustWithdrawn(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	c := e.openRequest(s.Addr())
	fake.SaveTrustBundle(e.dir, e.pki.Other)
	m, err := Load(e.options, 2)
	if err != nil {
		t.Fatal(err)
	}
	e.onLoop(func() { e.dialer.SetMaterial(m) })
	if c := e.dial(s.Addr(), 5*time.Second); c.reason() != UnknownCA {
		t.Errorf("dial to a host that is no longer trusted: error %v, want %q", c.err, UnknownCA)
	}
	c.write("M\r\n")
	c.read("GOT M\r\n")
}

// TestTicketKeysChanged checks that a server that replaces its ticket keys causes one full handshake and
// no failure.
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
		e.onLoop(func() { last = c.netConn.Layer().(*session).tlsConn.ConnectionState() })
		if last.DidResume != (i == 1 || i == 3) {
			t.Errorf("connection %d: resumed %t, want %t", i, last.DidResume, !last.DidResume)
		}
	}
}

// TestCacheIsBounded checks that the cache evicts the least recently used session, and removes sessions
// whose certificates have expired or that the host withdrew.
func TestCacheIsBounded(t *testing.T) {
	c := newSessionCache(2)
	now := time.Now()
	key := func(uid string) sessionKey { return sessionKey{uid, Name{Text: uid}, 1} }
	for _, uid := range []string{"a", "b", "a", "c"} {
		c.put(key(uid), &tls.ClientSessionState{}, now.Add(time.Hour))
	}
	if c.len() != 2 || c.get(key("b"), now) != nil || c.get(key("a"), now) == nil {
		t.Errorf("after a, b, a, c the cache of 2 holds %d sessions, a: %t, b: %t; want 2, a and not b", c.len(), c.get(key("a"), now) != nil, c.get(key("b"), now) != nil)
	}
	if c.get(key("a"), now.Add(2*time.Hour)) != nil || c.len() != 1 {
		t.Errorf("after the certificate of a expired the cache returns its session or holds %d sessions, want none for a and 1 in total", c.len())
	}
	c.put(key("c"), nil, now)
	if c.len() != 0 {
		t.Errorf("after the host withdrew the last session the cache holds %d sessions, want 0", c.len())
	}
}

// TestExpiresInMidConnection checks that a connection stays usable after its certificate has expired. The
// expiry policy decides whether to migrate it, using Expires.
func TestExpiresInMidConnection(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	c := e.openRequest(s.Addr())
	e.clockSkew.Store(int64(2 * time.Hour))
	c.write("M\r\n")
	c.read("GOT M\r\n")
	if d := e.dial(s.Addr(), 5*time.Second); d.reason() != Expired {
		t.Errorf("dial after the certificate expired: error %v, want %q", d.err, Expired)
	}
}

// FuzzRevocationLists checks that any input is parsed into revocation lists or causes an error, without a
// panic.
func FuzzRevocationLists(f *testing.F) {
	pki, err := fake.NewPKI(hostName)
	if err != nil {
		f.Fatal(err)
	}
	good, _ := pki.CRL(time.Now().Add(time.Hour))
	otherCRL, _ := fake.OtherCRL(pki)
	f.Add(good)
	f.Add(otherCRL)
	f.Add(good[:len(good)/2])
	f.Add([]byte("0\x80"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lists, err := parseRevocationLists("f", data, []*x509.Certificate{pki.Trusted.Root.Cert})
		if err == nil && len(lists) == 0 {
			t.Errorf("parseRevocationLists(%q) = no list and no error", data)
		}
	})
}
