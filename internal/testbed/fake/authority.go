package fake

import (
	"crypto/tls"
	"crypto/x509"
	"path/filepath"
	"time"

	"croftlock/internal/operations/certs"
)

// Authority signs what tests need.
type Authority struct{ Root *certs.Pair }

// NewAuthority makes one that is valid for a day.
func NewAuthority(name string) (*Authority, error) {
	now := time.Now()
	p, err := certs.Issue(nil, certs.Spec{Name: name, Authority: true, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour)})
	return &Authority{p}, err
}

// Pool trusts this authority alone.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.Root.Cert)
	return p
}

// Issue fills in what spec leaves open: an hour to either side of now, for servers.
func (a *Authority) Issue(spec certs.Spec) (*certs.Pair, error) {
	now := time.Now()
	if spec.NotBefore.IsZero() {
		spec.NotBefore = now.Add(-time.Hour)
	}
	if spec.NotAfter.IsZero() {
		spec.NotAfter = now.Add(time.Hour)
	}
	if !spec.Client {
		spec.Server = true
	}
	if spec.Name == "" {
		spec.Name = "stand-in"
	}
	return certs.Issue(a.Root, spec)
}

// TLS is a pair as crypto/tls takes it.
func TLS(p *certs.Pair) *tls.Certificate {
	c := &tls.Certificate{PrivateKey: p.Key, Leaf: p.Cert, Certificate: [][]byte{p.Cert.Raw}}
	for _, r := range p.Chain {
		c.Certificate = append(c.Certificate, r.Raw)
	}
	return c
}

// Config is a server's side of TLS that shows the certificate that get gives, and asks clients for a certificate where there is a pool.
func Config(get func() *tls.Certificate, clients func() *x509.CertPool) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return get(), nil }}
	if clients != nil {
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyPeerCertificate = func(raw [][]byte, _ [][]*x509.Certificate) error {
			leaf, err := x509.ParseCertificate(raw[0])
			if err == nil {
				_, err = leaf.Verify(x509.VerifyOptions{Roots: clients(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
			}
			return err
		}
	}
	return c
}

// ForServer is the side of TLS of a server that goes by these names.
func (a *Authority) ForServer(names ...string) (*tls.Config, error) {
	p, err := a.Issue(certs.Spec{Hosts: names})
	if err != nil {
		return nil, err
	}
	c := TLS(p)
	return Config(func() *tls.Certificate { return c }, nil), nil
}

// SaveTrust writes a bundle of authorities into dir and gives its path.
func SaveTrust(dir string, all ...*Authority) (string, error) {
	var bundle []*x509.Certificate
	for _, a := range all {
		bundle = append(bundle, a.Root.Cert)
	}
	path := filepath.Join(dir, "trust.pem")
	return path, certs.ReplaceFile(path, certs.Bundle(bundle...), 0o644)
}

// SaveClient writes a new client's pair into dir.
func (a *Authority) SaveClient(dir string, spec certs.Spec) (*certs.Pair, error) {
	spec.Client = true
	p, err := a.Issue(spec)
	if err != nil {
		return nil, err
	}
	return p, p.Save(filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key"), nil)
}
