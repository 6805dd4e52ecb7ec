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

// The whole program with TLS to its servers: a sound server serves, beside it one with a wrong name that is never sent
// anything; files that can't be used are kept out on SIGHUP and told; a new authority is taken in without a restart; and it
// leaves in order.
func TestServesByTLS(t *testing.T) {
	dir := t.TempDir()
	pki, err := fake.NewPKI("s1.test")
	if err != nil {
		t.Fatal(err)
	}
	trust, _ := fake.SaveTrust(dir, pki.Trusted)
	if _, err := pki.Trusted.SaveClient(dir, certs.Spec{Name: "proxy"}); err != nil {
		t.Fatal(err)
	}
	pair, err := pki.Trusted.Issue(certs.Spec{Hosts: []string{"s1.test"}})
	if err != nil {
		t.Fatal(err)
	}
	shown := fake.TLSCertificate(pair)
	sound, err := fake.NewServer("s1", "a", fake.ServerTLSConfig(func() *tls.Certificate { return shown }, pki.Trusted.Pool))
	if err != nil {
		t.Fatal(err)
	}
	defer sound.Close()
	wrong, _ := pki.Trusted.NewServerTLSConfig("cat3.example.org")
	other, err := fake.NewServer("s2", "a", wrong)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	d, err := fake.NewDiscovery(sound.Entry(), other.Entry())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	file := filepath.Join(dir, "croftlock.sexp")
	text := `(tls (servers on) (trust "trust.pem") (certificate "client.pem") (key "client.key") (name (pattern "{uid}.test")))`
	os.WriteFile(file, []byte(text), 0o644)
	env := &experiment.Env{Croftlock: os.Args[0], Dir: dir}
	p, err := env.Proxy(experiment.Setup{Name: "n0", Discovery: d.Addr(), Known: d.List(), Settings: file,
		Connect: 2 * time.Second, Deadline: 10 * time.Second, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	await := func(line string) {
		t.Helper()
		if !p.Await(line, 20*time.Second) {
			t.Fatalf("no %s in\n%s", line, strings.Join(p.Log(""), "\n"))
		}
	}
	var standing *fake.Client
	for i := 0; i < 8 || i < 100 && len(p.Log("event=tls_failed")) == 0; i++ { // until the module has tried both
		c, a, err := fake.Open(p.Addr, "lab", "", 10*time.Second)
		if err != nil || a.Kind != "UP" || !strings.HasPrefix(a.Text, "UP s1-") {
			t.Fatalf("client %d: %v %v", i, a, err)
		}
		if _, _, err := c.Exchange(fmt.Sprint("M ", i), 10*time.Second); err != nil {
			t.Fatal(err)
		}
		standing = c
	}
	await("event=tls_failed host=s2 reason=wrong_name")
	if n, _ := other.Requests(); n > 0 {
		t.Errorf("%d requests reached the server with the wrong name", n)
	}
	os.WriteFile(trust, fake.HalfPEM(pki.Trusted.Root.Cert), 0o644)
	p.Signal(syscall.SIGHUP)
	await("event=tls_files_kept")
	fake.SaveTrust(dir, pki.Trusted, pki.Other)
	await("event=tls_files_taken epoch=2 authorities=2")
	os.WriteFile(file, []byte("(tls"), 0o644)
	p.Signal(syscall.SIGHUP)
	await("event=settings_failed")
	if _, _, err := standing.Exchange("M", 10*time.Second); err != nil {
		t.Errorf("a standing connection after all that: %v", err)
	}
	if c, a, err := fake.Open(p.Addr, "lab", "", 10*time.Second); c == nil {
		t.Errorf("a new one: %v %v", a, err)
	}
	for _, l := range p.Log("") {
		if strings.Contains(l, "PRIVATE") || strings.Contains(l, "event=panic") {
			t.Error(l)
		}
	}
	if err := p.Stop(); err != nil {
		t.Error(err)
	}
}

// Files that can't be used end the start with a line that says so.
func TestNoStartWithoutItsFiles(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "a.sexp")
	os.WriteFile(file, []byte(`(tls (servers on) (trust "none.pem") (name (pattern "{uid}.x")))`), 0o644)
	env := &experiment.Env{Croftlock: os.Args[0], Dir: dir}
	_, err := env.Proxy(experiment.Setup{Name: "n0", Discovery: "127.0.0.1:1", Known: fake.List{Rev: 1, All: true, Targets: []fake.Entry{}},
		Settings: file, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err == nil || !strings.Contains(err.Error(), "none.pem") {
		t.Errorf("got %v", err)
	}
}
