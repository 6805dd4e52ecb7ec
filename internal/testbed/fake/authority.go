package fake

import (
	"crypto/tls"
	"crypto/x509"
	"path/filepath"
	"time"

	"croftlock/internal/operations/certs"
)

// Authority is a certificate authority with a self-signed root.
type Authority struct{ Root *certs.Pair }

// NewAuthority returns an authority whose root is valid for a day from now.
func NewAuthority(name string) (*Authority, error) {
	now := time.Now()
	p, err := certs.Issue(nil, certs.Spec{Name: name, Authority: true, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour)})
	return &Authority{p}, err
}

// Pool returns a pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.Root.Cert)
	return p
}

// Issue issues a certificate. A zero NotBefore means an hour ago, and a zero NotAfter an hour from
// now. The certificate is for servers unless spec.Client is set.
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

// TLSCertificate converts a pair to a tls.Certificate.
func TLSCertificate(p *certs.Pair) *tls.Certificate {
	c := &tls.Certificate{PrivateKey: p.Key, Leaf: p.Cert, Certificate: [][]byte{p.Cert.Raw}}
	for _, r := range p.Chain {
		c.Certificate = append(c.Certificate, r.Raw)
	}
	return c
}

// ServerTLSConfig returns a server's configuration that presents the certificate that get returns
// at each handshake. If clients is not nil, the server requires a client certificate that chains to
// the pool that clients returns.
func ServerTLSConfig(get func() *tls.Certificate, clients func() *x509.CertPool) *tls.Config {
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

// NewServerTLSConfig returns a server's configuration with a new certificate for these host names.
func (a *Authority) NewServerTLSConfig(names ...string) (*tls.Config, error) {
	p, err := a.Issue(certs.Spec{Hosts: names})
	if err != nil {
		return nil, err
	}
	c := TLSCertificate(p)
	return ServerTLSConfig(func() *tls.Certificate { return c }, nil), nil
}

// SaveTrustBundle writes the authorities' root certificates to trust.pem in dir and returns the
// file's path.
func SaveTrustBundle(dir string, all ...*Authority) (string, error) {
	var bundle []*x509.Certificate
	for _, a := range all {
		bundle = append(bundle, a.Root.Cert)
	}
	path := filepath.Join(dir, "trust.pem")
	return path, certs.ReplaceFile(path, certs.EncodeBundle(bundle...), 0o644)
}

// SaveClientCertificate issues a client certificate and writes it and its key to client.pem and
// client.key in dir.
func (a *Authority) SaveClientCertificate(dir string, spec certs.Spec) (*certs.Pair, error) {
	spec.Client = true
	p, err := a.Issue(spec)
	if err != nil {
		return nil, err
	}
	return p, p.Save(filepath.Join(dir, "client.pem"), filepath.Join(dir, "client.key"), nil)
}
