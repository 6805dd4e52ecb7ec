// Package certs makes, reads and looks into certificates and keys, on files. It owns their forms on disk: PEM, keys in
// PKCS #8 that only their owner may read, encrypted where a password is given. Keys and encryption are go.step.sm/crypto's.
package certs

import (
	"crypto"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"strings"
	"time"

	"go.step.sm/crypto/keyutil"
)

// Pair is a certificate with its key.
type Pair struct {
	Cert *x509.Certificate
	Key  crypto.Signer
	Rest []*x509.Certificate // the chain above it, without the root
}

// Spec says what a certificate is to hold.
type Spec struct {
	Name      string   // common name
	Hosts     []string // DNS names, addresses and URIs
	NotBefore time.Time
	NotAfter  time.Time
	Server    bool
	Client    bool
	CA        bool
	Key       string // ec (P-256), ec384, ed25519, rsa, rsa1024
}

// KeyKinds are the kinds of key that are made. The last is for stand-ins only: everything refuses it.
var KeyKinds = []string{"ec", "ec384", "ed25519", "rsa", "rsa1024"}

// NewKey makes a key.
func NewKey(kind string) (crypto.Signer, error) {
	switch kind {
	case "", "ec":
		return keyutil.GenerateSigner("EC", "P-256", 0)
	case "ec384":
		return keyutil.GenerateSigner("EC", "P-384", 0)
	case "ed25519":
		return keyutil.GenerateSigner("OKP", "Ed25519", 0)
	case "rsa":
		return keyutil.GenerateSigner("RSA", "", 2048)
	case "rsa1024":
		return rsa.GenerateKey(rand.Reader, 1024) // too weak, so step does not make it
	}
	return nil, fmt.Errorf("key kind %q, expected one of %s", kind, strings.Join(KeyKinds, ", "))
}

// Issue makes a certificate for spec with a new key. A nil issuer makes it sign itself.
func Issue(issuer *Pair, spec Spec) (*Pair, error) {
	key, err := NewKey(spec.Key)
	if err != nil {
		return nil, err
	}
	return IssueFor(issuer, spec, key)
}

// IssueFor is Issue for a key that exists.
func IssueFor(issuer *Pair, spec Spec, key crypto.Signer) (*Pair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 126))
	if err != nil {
		return nil, err
	}
	if !spec.NotAfter.After(spec.NotBefore) {
		return nil, fmt.Errorf("it would end %v, before it begins %v", spec.NotAfter, spec.NotBefore)
	}
	t := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: spec.Name}, NotBefore: spec.NotBefore,
		NotAfter: spec.NotAfter, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature}
	if spec.CA {
		t.IsCA, t.KeyUsage = true, x509.KeyUsageCertSign|x509.KeyUsageCRLSign
	}
	if spec.Server {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	if spec.Client {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageClientAuth)
	}
	for _, h := range spec.Hosts {
		if ip := net.ParseIP(h); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else if strings.Contains(h, "://") {
			u, err := url.Parse(h)
			if err != nil {
				return nil, fmt.Errorf("name %q: %v", h, err)
			}
			t.URIs = append(t.URIs, u)
		} else if h == "" || strings.ContainsAny(h, " /") {
			return nil, fmt.Errorf("name %q is no DNS name, address or URI", h)
		} else {
			t.DNSNames = append(t.DNSNames, h)
		}
	}
	parent, signer, rest := t, key, []*x509.Certificate(nil)
	if issuer != nil {
		parent, signer = issuer.Cert, issuer.Key
		if issuer.Cert.Subject.String() != issuer.Cert.Issuer.String() {
			rest = append([]*x509.Certificate{issuer.Cert}, issuer.Rest...)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Pair{Cert: cert, Key: key, Rest: rest}, nil
}

// Revoke makes a list of certificates that ca takes back.
func Revoke(ca *Pair, number int64, from, until time.Time, certs ...*x509.Certificate) ([]byte, error) {
	l := &x509.RevocationList{Number: big.NewInt(number), ThisUpdate: from, NextUpdate: until}
	for _, c := range certs {
		l.RevokedCertificateEntries = append(l.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: c.SerialNumber, RevocationTime: from})
	}
	der, err := x509.CreateRevocationList(rand.Reader, l, ca.Cert, ca.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), nil
}
