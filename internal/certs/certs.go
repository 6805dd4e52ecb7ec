// Package certs makes, reads and looks into certificates and keys, on files. It owns their forms on disk: PEM, keys in
// PKCS #8 that only their owner may read, encrypted where a password is given. Keys and encryption are go.step.sm/crypto's.
package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.step.sm/crypto/keyutil"
	"go.step.sm/crypto/pemutil"
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

// PEM is the certificate with its chain as it stands in a file.
func (p *Pair) PEM() []byte {
	return Bundle(append([]*x509.Certificate{p.Cert}, p.Rest...)...)
}

// Bundle writes certificates as they stand in a file.
func Bundle(certs ...*x509.Certificate) []byte {
	var out []byte
	for _, c := range certs {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return out
}

// KeyPEM is the key as it stands in a file, encrypted where there is a password.
func (p *Pair) KeyPEM(password []byte) ([]byte, error) {
	options := []pemutil.Options{pemutil.WithPKCS8(true)}
	if len(password) > 0 {
		options = append(options, pemutil.WithPassword(password))
	}
	block, err := pemutil.Serialize(p.Key, options...)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(block), nil
}

// Save writes both files, each whole or not at all: the key first, since a watcher that sees only the certificate would
// find that they do not match.
func (p *Pair) Save(certFile, keyFile string, password []byte) error {
	key, err := p.KeyPEM(password)
	if err != nil {
		return err
	}
	if err := Replace(keyFile, key, 0o600); err != nil {
		return err
	}
	return Replace(certFile, p.PEM(), 0o644)
}

// Replace puts a whole file in the place of another at once.
func Replace(path string, data []byte, mode fs.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(data)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}

// maxFile bounds what is read of a file of certificates.
const maxFile = 4 << 20

// ReadFile reads a file of bounded size.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: %d bytes, mode %v; expected a plain file of at most %d", path, info.Size(), info.Mode(), maxFile)
	}
	return os.ReadFile(path)
}

// ParseBundle reads certificates, of which there must be one at least.
func ParseBundle(path string, data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for len(strings.TrimSpace(string(data))) > 0 {
		block, rest := pem.Decode(data)
		if block == nil {
			return nil, fmt.Errorf("%s: after %d certificates comes what is no PEM; is the file half written?", path, len(out))
		}
		data = rest
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("%s: a block %q, expected CERTIFICATE only", path, block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: certificate %d: %v", path, len(out)+1, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no certificate in it", path)
	}
	return out, nil
}

// ErrOpenKey is a key file that others than its owner may read.
var ErrOpenKey = errors.New("others than its owner may read it; expected mode 0600 or 0400")

// ReadSecret reads a file that only its owner may read, as ReadFile does.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: mode %04o: %w", path, info.Mode().Perm(), ErrOpenKey)
	}
	return ReadFile(path)
}

// LoadKey reads a private key. passwordFile is needed where it is encrypted. Errors never hold anything of the key's.
func LoadKey(path, passwordFile string) (crypto.Signer, error) {
	data, err := ReadSecret(path)
	if err != nil {
		return nil, err
	}
	options := []pemutil.Options{}
	if passwordFile != "" {
		password, err := ReadSecret(passwordFile)
		if err != nil {
			return nil, err
		}
		options = append(options, pemutil.WithPassword([]byte(strings.TrimRight(string(password), "\r\n"))))
	} else if strings.Contains(string(data), "ENCRYPTED") {
		return nil, fmt.Errorf("%s: the key is encrypted and no password file is named", path)
	}
	parsed, err := pemutil.Parse(data, options...)
	if err != nil {
		return nil, fmt.Errorf("%s: no private key that can be read with this password: %v", path, err)
	}
	key, ok := parsed.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("%s: a %T, expected a private key", path, parsed)
	}
	return key, nil
}

// LoadPair reads a certificate with its chain and its key, and sees that they belong together.
func LoadPair(certFile, keyFile, passwordFile string) (*Pair, error) {
	data, err := ReadFile(certFile)
	if err != nil {
		return nil, err
	}
	chain, err := ParseBundle(certFile, data)
	if err != nil {
		return nil, err
	}
	key, err := LoadKey(keyFile, passwordFile)
	if err != nil {
		return nil, err
	}
	if err := keyutil.VerifyPair(chain[0].PublicKey, key); err != nil {
		return nil, fmt.Errorf("%s does not belong to the key %s", certFile, keyFile)
	}
	return &Pair{Cert: chain[0], Key: key, Rest: chain[1:]}, nil
}

// Weak tells why a certificate's key or signature is too weak to be taken; "" if it is not.
func Weak(c *x509.Certificate) string {
	switch k := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if k.N.BitLen() < 2048 {
			return fmt.Sprintf("RSA key of %d bits, expected 2048 at least", k.N.BitLen())
		}
	case *ecdsa.PublicKey:
		if k.Curve.Params().BitSize < 256 {
			return fmt.Sprintf("EC key of %d bits, expected 256 at least", k.Curve.Params().BitSize)
		}
	case ed25519.PublicKey:
	default:
		return fmt.Sprintf("key of kind %T", c.PublicKey)
	}
	switch c.SignatureAlgorithm {
	case x509.MD2WithRSA, x509.MD5WithRSA, x509.SHA1WithRSA, x509.DSAWithSHA1, x509.DSAWithSHA256, x509.ECDSAWithSHA1:
		return "signed with " + c.SignatureAlgorithm.String()
	}
	return ""
}

// Print is the fingerprint of a certificate, by which people compare them.
func Print(c *x509.Certificate) string { return fmt.Sprintf("%x", sha256.Sum256(c.Raw)) }

// Describe is what an operator wants to know of a certificate.
func Describe(c *x509.Certificate, now time.Time) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-12s "+format+"\n", append([]any{name}, args...)...)
	}
	line("subject", "%s", c.Subject)
	line("issuer", "%s", c.Issuer)
	line("serial", "%x", c.SerialNumber)
	var names []string
	names = append(names, c.DNSNames...)
	for _, ip := range c.IPAddresses {
		names = append(names, ip.String())
	}
	for _, u := range c.URIs {
		names = append(names, u.String())
	}
	line("names", "%s", strings.Join(names, " "))
	state := fmt.Sprintf("%s left", c.NotAfter.Sub(now).Round(time.Second))
	if now.Before(c.NotBefore) {
		state = "not yet valid"
	} else if now.After(c.NotAfter) {
		state = "EXPIRED"
	}
	line("valid", "%s to %s (%s)", c.NotBefore.UTC().Format(time.RFC3339), c.NotAfter.UTC().Format(time.RFC3339), state)
	var uses []string
	for _, u := range c.ExtKeyUsage {
		switch u {
		case x509.ExtKeyUsageServerAuth:
			uses = append(uses, "server")
		case x509.ExtKeyUsageClientAuth:
			uses = append(uses, "client")
		}
	}
	if c.IsCA {
		uses = append(uses, "ca")
	}
	line("use", "%s", strings.Join(uses, " "))
	key := c.PublicKeyAlgorithm.String()
	if w := Weak(c); w != "" {
		key += " (too weak: " + w + ")"
	}
	line("key", "%s, signed with %s", key, c.SignatureAlgorithm)
	line("sha256", "%s", Print(c))
	return b.String()
}
