package certs

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newPair issues a certificate that is valid now.
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

// Every kind of key is written and read back, and one that is too weak is found so.
func TestKeys(t *testing.T) {
	for _, kind := range KeyKinds {
		p := newPair(t, nil, Spec{Name: kind, Key: kind, Server: true, Hosts: []string{"a.test", "10.0.0.1", "spiffe://x/y"}})
		dir := t.TempDir()
		cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "c.key")
		if err := p.Save(cert, key, nil); err != nil {
			t.Fatal(err)
		}
		if info, _ := os.Stat(key); info.Mode().Perm() != 0o600 {
			t.Errorf("%s: the key has mode %v", kind, info.Mode())
		}
		if _, err := LoadPair(cert, key, ""); err != nil {
			t.Errorf("%s: %v", kind, err)
		}
		if w := Weakness(p.Cert); (w != "") != (kind == "rsa1024") {
			t.Errorf("%s: weak %q", kind, w)
		}
		if d := Describe(p.Cert, time.Now()); !strings.Contains(d, "a.test 10.0.0.1 spiffe://x/y") || !strings.Contains(d, "left") {
			t.Errorf("%s:\n%s", kind, d)
		}
	}
	if _, err := NewKey("dsa"); err == nil {
		t.Error("a key of kind dsa was made")
	}
}

// A chain through an intermediate authority verifies, and all of it goes into the file.
func TestChain(t *testing.T) {
	root := newPair(t, nil, Spec{Name: "root", Authority: true})
	intermediate := newPair(t, root, Spec{Name: "intermediate", Authority: true})
	leaf := newPair(t, intermediate, Spec{Name: "leaf", Server: true, Hosts: []string{"a.test"}})
	all, err := ParseBundle("x", leaf.PEM())
	if err != nil || len(all) != 2 {
		t.Fatal(len(all), err)
	}
	roots, intermediates := x509.NewCertPool(), x509.NewCertPool()
	roots.AddCert(root.Cert)
	intermediates.AddCert(all[1])
	if _, err := leaf.Cert.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: "a.test"}); err != nil {
		t.Error(err)
	}
}

// FuzzBundle: bytes give certificates or an error, never a panic.
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
			t.Error("nothing, and no error")
		}
		for _, c := range all {
			Weakness(c)
			Describe(c, time.Unix(0, 0))
		}
	})
}
