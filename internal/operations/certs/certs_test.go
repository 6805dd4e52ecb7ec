package certs

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newPair returns a certificate for spec with a new key. It is valid from an hour ago for two hours. If
// issuer is nil, it is self-signed.
func newPair(t testing.TB, issuer *Pair, spec Spec) *Pair {
	t.Helper()
	now := time.Now()
	spec.NotBefore, spec.NotAfter = now.Add(-time.Hour), now.Add(time.Hour)
	p, err := Issue(issuer, spec)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestKeys tests that keys of every kind are written and read back, and that Weakness reports a
// weak one.
func TestKeys(t *testing.T) {
	for _, kind := range KeyKinds {
		p := newPair(t, nil, Spec{Name: kind, Key: kind, Server: true, Hosts: []string{"a.test", "10.0.0.1", "spiffe://x/y"}})
		dir := t.TempDir()
		cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "c.key")
		if err := p.Save(cert, key, nil); err != nil {
			t.Fatal(err)
		}
		if info, _ := os.Stat(key); info.Mode().Perm() != 0o600 {
			t.Errorf("%s: the key has mode %v, want 0600", kind, info.Mode())
		}
		if _, err := LoadPair(cert, key, ""); err != nil {
			t.Errorf("%s: LoadPair: %v", kind, err)
		}
		if w := Weakness(p.Cert); (w != "") != (kind == "rsa1024") {
			t.Errorf("%s: Weakness() = %q, want a text for rsa1024 alone", kind, w)
		}
		if d := Describe(p.Cert, time.Now()); !strings.Contains(d, "a.test 10.0.0.1 spiffe://x/y") || !strings.Contains(d, "left") {
			t.Errorf("%s: Describe() lacks the names or the time left:\n%s", kind, d)
		}
	}
	if _, err := NewKey("dsa"); err == nil {
		t.Error("NewKey(\"dsa\") returned no error")
	}
}

// TestChain tests that a chain through an intermediate authority verifies, and that the file
// contains all of it.
func TestChain(t *testing.T) {
	root := newPair(t, nil, Spec{Name: "root", Authority: true})
	intermediate := newPair(t, root, Spec{Name: "intermediate", Authority: true})
	leaf := newPair(t, intermediate, Spec{Name: "leaf", Server: true, Hosts: []string{"a.test"}})
	all, err := ParseBundle("x", leaf.PEM())
	if err != nil || len(all) != 2 {
		t.Fatalf("ParseBundle returned %d certificates, error %v, want 2", len(all), err)
	}
	roots, intermediates := x509.NewCertPool(), x509.NewCertPool()
	roots.AddCert(root.Cert)
	intermediates.AddCert(all[1])
	if _, err := leaf.Cert.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: "a.test"}); err != nil {
		t.Errorf("the chain does not verify: %v", err)
	}
}

// FuzzBundle tests that ParseBundle returns certificates or an error for any input, and does not
// panic.
func FuzzBundle(f *testing.F) {
	p := newPair(f, nil, Spec{Name: "root", Authority: true})
	f.Add(p.PEM())
	f.Add(p.PEM()[:200])
	f.Add(append(p.PEM(), "-----BEGIN X-----\n-----END X-----\n"...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"))
	f.Add([]byte(" \n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		all, err := ParseBundle("f", data)
		if err == nil && len(all) == 0 {
			t.Errorf("ParseBundle(%q) returned neither certificates nor an error", data)
		}
		for _, c := range all {
			Weakness(c)
			Describe(c, time.Unix(0, 0))
		}
	})
}
