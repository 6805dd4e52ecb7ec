package command

import (
	"bufio"
	"bytes"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/replica"
)

const usable = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff",
"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":{"rev":7,"all":true,"targets":[]},
"settings":{"peers_total":1,"bounds":{"try_limit":5},"lanes":[{"name":"c","on_time":1,"deadline":2,"semantics":"read_like"}]}}`

// TestMain lets the test's own binary run as the program, so that signals meet a whole process.
func TestMain(m *testing.M) {
	owneragent.OpenVoter = replica.Open
	if os.Getenv("CROFTLOCK_TEST_RUN") != "" {
		os.Exit(Run(os.Args[1:], os.Getenv))
	}
	os.Exit(m.Run())
}

// A SIGHUP under way ended the program. It must read the file again, whose discovery wins over the environment's, go
// on with what it has when the file is of no use, and still obey SIGTERM.
func TestSignals(t *testing.T) {
	first, second := discovery(t), discovery(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	with := func(addr string) string { return strings.Replace(usable, "127.0.0.1:2", addr, 1) }
	write(with(first.Addr().String()))
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "CROFTLOCK_TEST_RUN=1", "NODE_CONFIG="+path, "NODE_LISTEN=127.0.0.1:0",
		"NODE_DISCOVERY="+first.Addr().String())
	out, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	lines := bufio.NewScanner(out)
	await := func(event string) string {
		for lines.Scan() {
			if strings.Contains(lines.Text(), event) {
				return lines.Text()
			}
		}
		t.Fatalf("it ended without %s", event)
		return ""
	}
	await("event=ready")
	write("{")
	p.Process.Signal(syscall.SIGHUP)
	await("event=reload_failed")
	write(strings.Replace(with(second.Addr().String()), `"memory_mb":192`, `"memory_mb":99`, 1))
	p.Process.Signal(syscall.SIGHUP)
	if l := await("event=reloaded"); !strings.Contains(l, `at_next_start=limits`) {
		t.Error(l)
	}
	// The first call at the new address asks for the whole list.
	c, err := second.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	head := make([]byte, 64)
	n, _ := c.Read(head)
	if !bytes.HasPrefix(head[:n], []byte("GET /discovery/hosts HTTP/1.1\r\n")) {
		t.Errorf("asked %q", head[:n])
	}
	p.Process.Signal(syscall.SIGTERM)
	await("event=stopped")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

func discovery(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// command runs one sub-command in this process.
func command(t *testing.T, args ...string) (string, int) {
	t.Helper()
	root := New(func(string) string { return "" })
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		return out.String() + err.Error(), 1
	}
	return out.String(), 0
}

// The whole way of an operator without a certificate service: authority, certificates, settings, check; and every wrong
// turn told.
func TestCertificatesAndCheck(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	must := func(want string, args ...string) {
		t.Helper()
		if out, status := command(t, args...); status != 0 || !strings.Contains(out, want) {
			t.Fatalf("%v: status %d\n%s", args, status, out)
		}
	}
	fails := func(want string, args ...string) {
		t.Helper()
		if out, status := command(t, args...); status == 0 || !strings.Contains(out, want) {
			t.Errorf("%v: status %d, want %q\n%s", args, status, want, out)
		}
	}
	os.WriteFile(at("pass"), []byte("correct horse\n"), 0o600)
	must("use          ca", "certs", "ca", "test", "--out", at("ca.pem"), "--key", at("ca.key"), "--password-file", at("pass"))
	fails("exists", "certs", "ca", "test", "--out", at("ca.pem"), "--key", at("ca.key"))
	issue := []string{"certs", "issue", "x", "--ca", at("ca.pem"), "--ca-key", at("ca.key"), "--ca-password-file", at("pass")}
	fails("what is it for", issue...)
	fails("needs a name", append(issue, "--server")...)
	fails("outlive", append(issue, "--client", "--life", "9999d")...)
	fails("encrypted", "certs", "issue", "x", "--client", "--ca", at("ca.pem"), "--ca-key", at("ca.key"))
	must("names        cat3.test", append(issue, "--server", "--host", "cat3.test", "--out", at("s.pem"), "--key", at("s.key"))...)
	must("use          client", append(issue, "--client", "--out", at("c.pem"), "--key", at("c.key"))...)
	must("1 of 1", "certs", "inspect", at("s.pem"))
	must("ok,", "certs", "verify", at("s.pem"), "--trust", at("ca.pem"), "--name", "cat3.test", "--key", at("s.key"))
	fails("wrong_name", "certs", "verify", at("s.pem"), "--trust", at("ca.pem"), "--name", "cat4.test")
	fails("wrong_usage", "certs", "verify", at("c.pem"), "--trust", at("ca.pem"), "--name", "cat3.test")
	fails("does not belong", "certs", "verify", at("s.pem"), "--trust", at("ca.pem"), "--name", "cat3.test", "--key", at("c.key"))

	write := func(text string) string {
		os.WriteFile(at("a.sexp"), []byte(text), 0o644)
		return at("a.sexp")
	}
	good := `(tls (servers on) (trust "ca.pem") (certificate "c.pem") (key "c.key") (name (pattern "{uid}.test")))`
	must("ok", "check", "--settings", write(good))
	must(`(trust "`+at("ca.pem")+`")`, "settings", "show", "--settings", at("a.sexp"))
	fails("a.sexp:1:19: min-version is the text \"1.1\", expected 1.3 or 1.2", "check", "--settings", write(`(tls (min-version "1.1"))`))
	fails("does not belong", "check", "--settings", write(strings.Replace(good, "c.key", "s.key", 1)))
	os.Chmod(at("c.key"), 0o644)
	fails("mode 0644", "check", "--settings", write(good))
	fails("nothing to check", "check")
	must("(log (level warn))", "settings", "fmt", write("( log (level\nwarn ) )"))
	must("", "settings", "fmt", "-w", at("a.sexp"))
	if data, _ := os.ReadFile(at("a.sexp")); string(data) != "(log (level warn))\n" {
		t.Errorf("formatted: %q", data)
	}
	fails("a.sexp:1:1", "settings", "fmt", "-w", write("(log"))
	if data, _ := os.ReadFile(at("a.sexp")); string(data) != "(log" {
		t.Errorf("a file that can't be read became %q", data)
	}
}

// TestLogFormat: the command line's form of the log wins over the file's, and another is refused before anything begins.
func TestLogFormat(t *testing.T) {
	odd := New(func(string) string { return "" })
	odd.SetArgs([]string{"serve", "--log-format", "xml"})
	if err := odd.Execute(); err == nil || !strings.Contains(err.Error(), `"xml": text or json expected`) {
		t.Fatalf("an odd form: %v", err)
	}
	d, dir := discovery(t), t.TempDir()
	config, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "x.sexp")
	for path, text := range map[string]string{config: strings.Replace(usable, "127.0.0.1:2", d.Addr().String(), 1),
		file: "(log (format text))"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p := exec.Command(os.Args[0], "--log-format", "json", "--settings", file)
	p.Env = append(os.Environ(), "CROFTLOCK_TEST_RUN=1", "NODE_CONFIG="+config, "NODE_LISTEN=127.0.0.1:0")
	out, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "{") {
			t.Fatalf("not JSON: %s", lines.Text())
		}
		if strings.Contains(lines.Text(), `"event":"ready"`) {
			return
		}
	}
	t.Fatal("it ended before it was ready")
}
