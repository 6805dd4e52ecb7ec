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

// upstreams are fake hosts, with their discovery and the files that a proxy needs to reach them by TLS.
type upstreams struct {
	dir          string // of the proxy's files
	pki          *fake.Pki
	servers      []*fake.Server
	certificates []atomic.Pointer[tls.Certificate] // of each server
	discovery    *fake.Discovery
}

// newUpstreams makes n servers, behind TLS or plain. They ask for the proxy's certificate.
func newUpstreams(e *Env, n int, secure bool) (*upstreams, error) {
	dir, err := os.MkdirTemp(e.Dir, "fleet")
	if err != nil {
		return nil, err
	}
	f := &upstreams{dir: dir, certificates: make([]atomic.Pointer[tls.Certificate], n)}
	if f.pki, err = fake.NewPki("s1.lab"); err != nil {
		return nil, err
	}
	if _, err = fake.SaveTrust(dir, f.pki.Trusted); err != nil {
		return nil, err
	}
	if _, err = f.pki.Trusted.SaveClient(dir, certs.Spec{Name: "proxy"}); err != nil {
		return nil, err
	}
	for i := range n {
		uid := fmt.Sprintf("s%d", i+1)
		var config *tls.Config
		if secure {
			if err := f.renew(i, f.pki.Trusted); err != nil {
				return nil, err
			}
			config = f.config(i)
		}
		s, err := fake.NewServer(uid, "a", config)
		if err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
	}
	var entries []fake.Entry
	for _, s := range f.servers {
		entries = append(entries, s.Entry())
	}
	f.discovery, err = fake.NewDiscovery(entries...)
	return f, err
}

// config is the side of TLS of server i: the certificate it has now, and clients that either authority vouches for.
func (f *upstreams) config(i int) *tls.Config {
	pool := f.pki.Trusted.Pool()
	pool.AddCert(f.pki.Other.Root.Cert)
	return fake.Config(func() *tls.Certificate { return f.certificates[i].Load() }, func() *x509.CertPool { return pool })
}

// renew gives server i a new certificate by an authority.
func (f *upstreams) renew(i int, by *fake.Authority) error {
	p, err := by.Issue(certs.Spec{Hosts: []string{fmt.Sprintf("s%d.lab", i+1)}})
	if err == nil {
		f.certificates[i].Store(fake.TLS(p))
	}
	return err
}

func (f *upstreams) close() {
	f.discovery.Close()
	for _, s := range f.servers {
		s.Close()
	}
}

// settings writes the operators' file; more is added to the tls section.
func (f *upstreams) settings(more ...string) (string, error) {
	path := filepath.Join(f.dir, fmt.Sprintf("croftlock%d.sexp", time.Now().UnixNano()))
	text := `(tls (servers on) (trust "trust.pem") (certificate "client.pem") (key "client.key") (name (pattern "{uid}.lab")) ` +
		strings.Join(more, " ") + ")\n"
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// handshakes counts those of all servers.
func (f *upstreams) handshakes() (full, resumed int) {
	for _, s := range f.servers {
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

// demo is the shortest way to see the program at work.
func demo(e *Env, r *Report) error {
	f, err := newUpstreams(e, 3, false)
	if err != nil {
		return err
	}
	defer f.close()
	p, err := e.Proxy(Setup{Name: "demo", Discovery: f.discovery.Addr(), Known: f.discovery.List()})
	if err != nil {
		return err
	}
	e.Logf("proxy on %s, discovery on %s, servers on %s %s %s", p.Addr, f.discovery.Addr(), f.servers[0].Addr(),
		f.servers[1].Addr(), f.servers[2].Addr())
	c := &standingClients{answers: newAnswerCounts(), interval: 200 * time.Millisecond}
	if err := c.connect(p.Addr, 60, "", 2*time.Second); err != nil {
		return err
	}
	e.Logf("60 clients are served; one of the servers drains")
	time.Sleep(1500 * time.Millisecond)
	f.discovery.State("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	f.servers[0].Drain()
	time.Sleep(2 * time.Second)
	standing := 0
	r.Columns("servers", "server", "opened", "standing")
	for _, s := range f.servers {
		all, _ := s.Opened()
		r.Row("servers", s.UID, all, s.Standing())
		standing += s.Standing()
	}
	lines := c.between(r.Began, time.Now())
	c.end()
	err = p.Stop()
	r.Check(err == nil, "the proxy ended in order on SIGTERM", fmt.Sprint(err))
	r.Check(standing == 60, "all clients are standing after the drain", standing)
	r.Check(len(c.lost) == 0, "no connection was lost", strings.Join(c.lost, "; "))
	r.Set("clients", 60)
	r.Set("moved", c.moved)
	r.Set("lines", len(lines))
	r.Set("line_ms_median", lines.median())
	return nil
}
