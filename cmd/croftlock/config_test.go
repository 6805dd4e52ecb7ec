package main

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

const usable = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff",
"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},"known":{"rev":7,"all":true,"targets":[]},
"settings":{"peers_total":1,"bounds":{"try_limit":5},"lanes":[{"name":"c","on_time":1,"deadline":2,"semantics":"read_like"}],
"extra":{"tells_load":true,"tells_delay":true}}}`

// A configuration that can't be used is told in one line; one that can keeps within the limits it gives.
func TestConfig(t *testing.T) {
	env := func(name string) string { return map[string]string{"NODE_LISTEN": "127.0.0.1:9"}[name] }
	c, err := parseConfig([]byte(usable), env)
	if err != nil {
		t.Fatal(err)
	}
	if c.listen != "127.0.0.1:9" || c.known.Version != 7 || c.seed != -1 || !c.delayInLoad || c.procs() != 1 ||
		2*c.sessions()+c.newcomers()+c.dialers() > 1024-spare || 3*c.sessions() < 1024 || c.memoryLimit() >= 192<<20 {
		t.Errorf("%+v", c)
	}
	for _, change := range [][2]string{{"{", ""}, {"127.0.0.1:2", "nowhere"}, {`"seed":"ffffffffffffffff"`, `"seed":"x"`},
		{"read_like", "odd"}, {`"rev":7,`, ""}, {`"settings"`, `"other"`}} {
		_, err := parseConfig([]byte(strings.Replace(usable, change[0], change[1], 1)), env)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v gave %v", change, err)
		}
	}
}

// TestMain lets the test's own binary run as the program, so that signals meet a whole process.
func TestMain(m *testing.M) {
	if os.Getenv("CROFTLOCK_TEST_RUN") != "" {
		main()
		os.Exit(0)
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
	if l := await("event=reloaded"); !strings.Contains(l, `at_next_start="limits"`) {
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
