// Package certs makes, reads and describes certificates and keys, on files. It owns their forms on disk: PEM, keys in
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
	Cert  *x509.Certificate
	Key   crypto.Signer
	Chain []*x509.Certificate // those above it, without the root
}

// Spec is the content of a certificate.
type Spec struct {
	Name      string   // common name
	Hosts     []string // DNS names, addresses and URIs
	NotBefore time.Time
	NotAfter  time.Time
	Server    bool   // it may authenticate servers
	Client    bool   // it may authenticate clients
	Authority bool   // it may issue others
	Key       string // a kind of KeyKinds; default ec
}

// KeyKinds are the kinds of key that are made; ec is P-256. The last is for tests only: everything rejects it.
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
		return rsa.GenerateKey(rand.Reader, 1024) // too weak, so the library does not make it
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
	template, err := spec.template()
	if err != nil {
		return nil, err
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.Cert, issuer.Key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Pair{Cert: cert, Key: key, Chain: issuer.chainBelow()}, nil
}

// chainBelow is the chain of a certificate that p issues, without the root; none for one that signs itself.
func (p *Pair) chainBelow() []*x509.Certificate {
	if p == nil || p.Cert.Subject.String() == p.Cert.Issuer.String() {
		return nil
	}
	return append([]*x509.Certificate{p.Cert}, p.Chain...)
}

const serialBits = 126 // of randomness

// template is the certificate before it is signed.
func (s *Spec) template() (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	if !s.NotAfter.After(s.NotBefore) {
		return nil, fmt.Errorf("it would end %v, before it begins %v", s.NotAfter, s.NotBefore)
	}
	t := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: s.Name},
		NotBefore:             s.NotBefore,
		NotAfter:              s.NotAfter,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature,
	}
	if s.Authority {
		t.IsCA, t.KeyUsage = true, x509.KeyUsageCertSign|x509.KeyUsageCRLSign
	}
	if s.Server {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	if s.Client {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageClientAuth)
	}
	for _, name := range s.Hosts {
		if err := addName(t, name); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// addName adds an address, URI or DNS name.
func addName(t *x509.Certificate, name string) error {
	if ip := net.ParseIP(name); ip != nil {
		t.IPAddresses = append(t.IPAddresses, ip)
		return nil
	}
	if strings.Contains(name, "://") {
		u, err := url.Parse(name)
		if err != nil {
			return fmt.Errorf("name %q: %w", name, err)
		}
		t.URIs = append(t.URIs, u)
		return nil
	}
	if name == "" || strings.ContainsAny(name, " /") {
		return fmt.Errorf("name %q is no DNS name, address or URI", name)
	}
	t.DNSNames = append(t.DNSNames, name)
	return nil
}

// NewRevocationList makes the PEM of a list of certificates that ca revokes.
func NewRevocationList(ca *Pair, number int64, from, until time.Time, certs ...*x509.Certificate) ([]byte, error) {
	list := &x509.RevocationList{Number: big.NewInt(number), ThisUpdate: from, NextUpdate: until}
	for _, c := range certs {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: c.SerialNumber, RevocationTime: from})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, ca.Cert, ca.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), nil
}
