package experiment

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// upstreams are fake hosts with their discovery, and the files that a proxy needs to connect to
// them with TLS.
type upstreams struct {
	dir          string // folder of the proxy's files
	pki          *fake.PKI
	servers      []*fake.Server
	certificates []atomic.Pointer[tls.Certificate] // current certificate of each server
	discovery    *fake.Discovery
}

// newUpstreams starts n servers and their discovery. If secure is true, the servers use TLS and
// require the proxy's certificate.
func newUpstreams(e *Env, n int, secure bool) (*upstreams, error) {
	dir, err := os.MkdirTemp(e.Dir, "fleet")
	if err != nil {
		return nil, err
	}
	u := &upstreams{dir: dir, certificates: make([]atomic.Pointer[tls.Certificate], n)}
	if u.pki, err = fake.NewPKI("s1.lab"); err != nil {
		return nil, err
	}
	if _, err = fake.SaveTrustBundle(dir, u.pki.Trusted); err != nil {
		return nil, err
	}
	if _, err = u.pki.Trusted.SaveClientCertificate(dir, certs.Spec{Name: "proxy"}); err != nil {
		return nil, err
	}
	for i := range n {
		uid := fmt.Sprintf("s%d", i+1)
		var config *tls.Config
		if secure {
			if err := u.renew(i, u.pki.Trusted); err != nil {
				return nil, err
			}
			config = u.config(i)
		}
		s, err := fake.NewServer(uid, "a", config)
		if err != nil {
			return nil, err
		}
		u.servers = append(u.servers, s)
	}
	var entries []fake.Entry
	for _, s := range u.servers {
		entries = append(entries, s.Entry())
	}
	u.discovery, err = fake.NewDiscovery(entries...)
	return u, err
}

// config returns the TLS configuration of server i. It uses the current certificate of the server
// and accepts client certificates of both authorities.
func (u *upstreams) config(i int) *tls.Config {
	pool := u.pki.Trusted.Pool()
	pool.AddCert(u.pki.Other.Root.Cert)
	return fake.ServerTLSConfig(func() *tls.Certificate { return u.certificates[i].Load() }, func() *x509.CertPool { return pool })
}

// renew replaces the certificate of server i by a new one of the given authority.
func (u *upstreams) renew(i int, by *fake.Authority) error {
	p, err := by.Issue(certs.Spec{Hosts: []string{fmt.Sprintf("s%d.lab", i+1)}})
	if err == nil {
		u.certificates[i].Store(fake.TLSCertificate(p))
	}
	return err
}

// close closes the discovery and the servers.
func (u *upstreams) close() {
	u.discovery.Close()
	for _, s := range u.servers {
		s.Close()
	}
}

// settings writes a new settings file and returns its path. more is appended to the tls section.
func (u *upstreams) settings(more ...string) (string, error) {
	path := filepath.Join(u.dir, fmt.Sprintf("croftlock%d.sexp", time.Now().UnixNano()))
	text := `(tls (servers on) (trust "trust.pem") (certificate "client.pem") (key "client.key") (name (pattern "{uid}.lab")) ` +
		strings.Join(more, " ") + ")\n"
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// handshakes returns the numbers of full and resumed handshakes of all servers.
func (u *upstreams) handshakes() (full, resumed int) {
	for _, s := range u.servers {
		for _, h := range s.Handshakes() {
			if h.Resumed {
				resumed++
			} else {
				full++
			}
		}
	}
	return full, resumed
}
