// Package certs issues, reads and describes certificates and keys in files. It owns their format on
// disk: PEM, with keys in PKCS #8 that only their owner may read and that are encrypted if a
// password is given. go.step.sm/crypto generates and encrypts the keys.
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
	Chain []*x509.Certificate // issuers of Cert, the direct one first, without the root
}

// Spec specifies the content of a certificate, and the kind of its key.
type Spec struct {
	Name      string   // common name
	Hosts     []string // DNS names, addresses and URIs
	NotBefore time.Time
	NotAfter  time.Time
	Server    bool   // may authenticate a server
	Client    bool   // may authenticate a client
	Authority bool   // may issue certificates
	Key       string // one of KeyKinds; empty means ec
}

// KeyKinds lists the kinds of keys that NewKey generates; ec is P-256. rsa1024 is for tests only,
// because every check rejects it as too weak.
var KeyKinds = []string{"ec", "ec384", "ed25519", "rsa", "rsa1024"}

// NewKey generates a key of a kind in KeyKinds. An empty kind means ec.
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
		return rsa.GenerateKey(rand.Reader, 1024) // keyutil rejects keys this weak
	}
	return nil, fmt.Errorf("key kind %q, expected one of %s", kind, strings.Join(KeyKinds, ", "))
}

// Issue issues a certificate for spec with a new key of the kind spec.Key. If issuer is nil, the
// certificate is self-signed.
func Issue(issuer *Pair, spec Spec) (*Pair, error) {
	key, err := NewKey(spec.Key)
	if err != nil {
		return nil, err
	}
	return IssueFor(issuer, spec, key)
}

// IssueFor is like Issue, but uses an existing key and ignores spec.Key.
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

// chainBelow returns the chain of a certificate that p issues: p's certificate and its issuers, without
// the root. It returns nil if p is nil or self-signed.
func (p *Pair) chainBelow() []*x509.Certificate {
	if p == nil || p.Cert.Subject.String() == p.Cert.Issuer.String() {
		return nil
	}
	return append([]*x509.Certificate{p.Cert}, p.Chain...)
}

const serialBits = 126 // number of random bits in a serial number

// template returns the certificate that is to be signed.
func (s *Spec) template() (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	if !s.NotAfter.After(s.NotBefore) {
		return nil, fmt.Errorf("certificate %q would end at %v, which is not after its start %v", s.Name, s.NotAfter, s.NotBefore)
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

// addName adds an IP address, URI or DNS name to a certificate.
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

// NewRevocationList returns a list, in PEM and signed by ca, that revokes certs. number orders the lists
// of one authority. The list is valid from the time from, which is also the time of the revocations,
// until the time until.
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
