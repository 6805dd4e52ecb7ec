package command

import (
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// tlsTest is a proxy that connects with TLS to two servers: s1 with a valid certificate, and s2
// with one for another name.
type tlsTest struct {
	*testing.T
	dir       string       // directory of the proxy's files
	pki       *fake.PKI    // issues the certificates; the proxy trusts its authority Trusted
	trust     string       // path of the file with the trusted authorities
	settings  string       // path of the settings file
	wrongName *fake.Server // s2
	proxy     *experiment.Process
}

// newTLSTest starts the servers, their discovery service and the proxy.
func newTLSTest(t *testing.T) *tlsTest {
	t.Helper()
	dir := t.TempDir()
	s := &tlsTest{T: t, dir: dir, settings: filepath.Join(dir, "croftlock.sexp")}
	var err error
	if s.pki, err = fake.NewPKI("s1.test"); err != nil {
		t.Fatal(err)
	}
	if s.trust, err = fake.SaveTrustBundle(dir, s.pki.Trusted); err != nil {
		t.Fatal(err)
	}
	if _, err := s.pki.Trusted.SaveClientCertificate(dir, certs.Spec{Name: "proxy"}); err != nil {
		t.Fatal(err)
	}
	pair, err := s.pki.Trusted.Issue(certs.Spec{Hosts: []string{"s1.test"}})
	if err != nil {
		t.Fatal(err)
	}
	certificate := fake.TLSCertificate(pair)
	valid := s.newServer("s1", fake.ServerTLSConfig(func() *tls.Certificate { return certificate }, s.pki.Trusted.Pool))
	otherName, err := s.pki.Trusted.NewServerTLSConfig("cat3.example.org")
	if err != nil {
		t.Fatal(err)
	}
	s.wrongName = s.newServer("s2", otherName)
	discovery, err := fake.NewDiscovery(valid.Entry(), s.wrongName.Entry())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	s.write(s.settings, `(tls (servers on) (trust "trust.pem") (certificate "client.pem") (key "client.key") (name (pattern "{uid}.test")))`)
	env := &experiment.Env{Croftlock: os.Args[0], Dir: dir}
	s.proxy, err = env.Proxy(experiment.Setup{Name: "n0", Discovery: discovery.Addr(), InitialList: discovery.List(), Settings: s.settings,
		ConnectTimeout: 2 * time.Second, Deadline: 10 * time.Second, Env: asProgram})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.proxy.Kill)
	return s
}

// newServer starts an upstream host with the ID uid in zone a, which serves with TLS as config
// specifies.
func (s *tlsTest) newServer(uid string, config *tls.Config) *fake.Server {
	s.Helper()
	server, err := fake.NewServer(uid, "a", config)
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(server.Close)
	return server
}

// write writes a file.
func (s *tlsTest) write(path, text string) {
	s.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		s.Fatal(err)
	}
}

// await waits up to 20 s for a text in the proxy's log.
func (s *tlsTest) await(text string) {
	s.Helper()
	if !s.proxy.AwaitLog(text, 20*time.Second) {
		s.Fatalf("not logged within 20 s: %s; log:\n%s", text, strings.Join(s.proxy.LogLines(""), "\n"))
	}
}

// TestServesByTLS checks that the server with a valid certificate serves and that the one with the
// wrong name is sent no request. After SIGHUP, files that cannot be used are logged and not used. A
// new authority is used without a restart, and the proxy shuts down without an error.
func TestServesByTLS(t *testing.T) {
	s := newTLSTest(t)
	established := s.requestUntilFailure()
	s.await("event=tls_failed host=s2 reason=wrong_name")
	if n, _ := s.wrongName.Requests(); n > 0 {
		t.Errorf("%d requests sent to the server with the wrong name, want 0", n)
	}
	s.write(s.trust, string(fake.TruncatedPEM(s.pki.Trusted.Root.Cert)))
	s.proxy.Signal(syscall.SIGHUP)
	s.await("event=tls_files_kept")
	if _, err := fake.SaveTrustBundle(s.dir, s.pki.Trusted, s.pki.Other); err != nil {
		t.Fatal(err)
	}
	s.await("event=tls_files_taken epoch=2 authorities=2")
	s.write(s.settings, "(tls")
	s.proxy.Signal(syscall.SIGHUP)
	s.await("event=settings_failed")
	if _, _, err := established.Exchange("M", 10*time.Second); err != nil {
		t.Errorf("a line on the established connection after the reloads: error %v, want an answer", err)
	}
	if client, answer, err := fake.Open(s.proxy.Addr, "lab", "", 10*time.Second); client == nil {
		t.Errorf("a request after the reloads is answered with %+v, error %v; want UP", answer, err)
	}
	for _, line := range s.proxy.LogLines("") {
		if strings.Contains(line, "PRIVATE") || strings.Contains(line, "event=panic") {
			t.Errorf("the log contains a private key or a panic: %s", line)
		}
	}
	if err := s.proxy.Stop(); err != nil {
		t.Errorf("the proxy shuts down with error %v, want none", err)
	}
}

// requestUntilFailure sends requests until the decision module has tried both servers, but at least
// 8 and at most 100. s1 must serve all of them. It returns the connection of the last one.
func (s *tlsTest) requestUntilFailure() (established *fake.Client) {
	s.Helper()
	for i := 0; i < 8 || i < 100 && len(s.proxy.LogLines("event=tls_failed")) == 0; i++ {
		client, answer, err := fake.Open(s.proxy.Addr, "lab", "", 10*time.Second)
		if err != nil || answer.Kind != "UP" || !strings.HasPrefix(answer.Text, "UP s1-") {
			s.Fatalf("request %d is answered with %+v, error %v; want UP by s1", i, answer, err)
		}
		if _, _, err := client.Exchange(fmt.Sprint("M ", i), 10*time.Second); err != nil {
			s.Fatal(err)
		}
		established = client
	}
	return established
}

// TestStartFailsWithoutTLSFiles checks that a start with an unusable TLS file fails with an error
// that names the file.
func TestStartFailsWithoutTLSFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "a.sexp")
	if err := os.WriteFile(file, []byte(`(tls (servers on) (trust "none.pem") (name (pattern "{uid}.x")))`), 0o644); err != nil {
		t.Fatal(err)
	}
	env := &experiment.Env{Croftlock: os.Args[0], Dir: dir}
	_, err := env.Proxy(experiment.Setup{Name: "n0", Discovery: "127.0.0.1:1", InitialList: fake.List{Rev: 1, Complete: true, Targets: []fake.Entry{}},
		Settings: file, Env: asProgram})
	if err == nil || !strings.Contains(err.Error(), "none.pem") {
		t.Errorf("the start ends with error %v, want one that names none.pem", err)
	}
}
