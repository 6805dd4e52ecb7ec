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
)

// validConfig is a valid platform configuration. Tests replace its discovery address.
const validConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff",
"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":{"rev":7,"all":true,"targets":[]},
"settings":{"peers_total":1,"bounds":{"try_limit":5},"lanes":[{"name":"c","on_time":1,"deadline":2,"semantics":"read_like"}]}}`

// configWith returns validConfig with the listener's address as that of the discovery service.
func configWith(discovery net.Listener) string {
	return strings.Replace(validConfig, "127.0.0.1:2", discovery.Addr().String(), 1)
}

// newDiscoveryListener returns a listener that stands for a discovery service that does not answer.
func newDiscoveryListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// program is a running croftlock process, with its log. Failures are reported to the test.
type program struct {
	*testing.T
	cmd   *exec.Cmd
	lines *bufio.Scanner // of standard error, to which the program logs
}

// startProgram starts a croftlock process from the test's own binary, with additional environment
// variables and command-line arguments. The process is killed at the test's end.
func startProgram(t *testing.T, env []string, args ...string) *program {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), asProgram...), env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return &program{T: t, cmd: cmd, lines: bufio.NewScanner(out)}
}

// await reads the log up to a line that contains text and returns that line. It fails the test if
// the log ends before. Unless check is nil, await calls it with each line that it reads.
func (p *program) await(text string, check func(line string)) string {
	p.Helper()
	for p.lines.Scan() {
		line := p.lines.Text()
		if check != nil {
			check(line)
		}
		if strings.Contains(line, text) {
			return line
		}
	}
	p.Fatalf("the program ended without logging %q", text)
	return ""
}

// writeFile writes a file that only its owner may access.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestSignals checks that SIGHUP reloads the configuration file, that an invalid file changes
// nothing, and that SIGTERM ends the process without an error. After a reload the file's discovery
// address overrides NODE_DISCOVERY.
func TestSignals(t *testing.T) {
	first, second := newDiscoveryListener(t), newDiscoveryListener(t)
	config := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, config, configWith(first))
	p := startProgram(t, []string{"NODE_CONFIG=" + config, "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY=" + first.Addr().String()})
	p.await("event=ready", nil)
	writeFile(t, config, "{")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.await("event=reload_failed", nil)
	writeFile(t, config, strings.Replace(configWith(second), `"memory_mb":192`, `"memory_mb":99`, 1))
	p.cmd.Process.Signal(syscall.SIGHUP)
	if line := p.await("event=reloaded", nil); !strings.Contains(line, `at_next_start=limits`) {
		t.Errorf("the reload is logged as %s, want at_next_start=limits", line)
	}
	// The first request to the new address is for the complete list.
	c, err := second.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	request := make([]byte, 64)
	n, _ := c.Read(request)
	if !bytes.HasPrefix(request[:n], []byte("GET /discovery/hosts HTTP/1.1\r\n")) {
		t.Errorf("the first request to the new discovery is %q, want GET /discovery/hosts HTTP/1.1", request[:n])
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.await("event=stopped", nil)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the program ends with error %v, want none", err)
	}
}

// TestLogFormat checks that the command line's log format overrides the settings file's, and that
// an invalid one is an error before the program serves.
func TestLogFormat(t *testing.T) {
	invalid := New(func(string) string { return "" })
	invalid.SetArgs([]string{"serve", "--log-format", "xml"})
	if err := invalid.Execute(); err == nil || !strings.Contains(err.Error(), `"xml": text or json expected`) {
		t.Fatalf("--log-format xml ends with error %v, want one that names text and json", err)
	}
	dir := t.TempDir()
	config, settings := filepath.Join(dir, "config.json"), filepath.Join(dir, "x.sexp")
	writeFile(t, config, configWith(newDiscoveryListener(t)))
	writeFile(t, settings, "(log (format text))")
	p := startProgram(t, []string{"NODE_CONFIG=" + config, "NODE_LISTEN=127.0.0.1:0"}, "--log-format", "json", "--settings", settings)
	p.await(`"event":"ready"`, func(line string) {
		t.Helper()
		if !strings.HasPrefix(line, "{") {
			t.Fatalf("a line of the log is not JSON: %s", line)
		}
	})
}
