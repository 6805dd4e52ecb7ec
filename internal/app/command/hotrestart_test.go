package command

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// hotRestartTest is a proxy with the hosts s0 and s1. Its processes replace one another, and serve
// clients at one address.
type hotRestartTest struct {
	*testing.T
	env   *experiment.Env
	setup experiment.Setup // shared by all processes; start sets Admin
}

// newHotRestartTest starts the hosts and their discovery service, but no process yet.
func newHotRestartTest(t *testing.T) *hotRestartTest {
	t.Helper()
	discovery := newHosts(t, "a", "s0", "s1").Discovery
	listen, err := experiment.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return &hotRestartTest{T: t, env: &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()},
		setup: experiment.Setup{Name: "n0", Listen: listen, Discovery: discovery.Addr(), InitialList: discovery.List(), TmpDir: t.TempDir(),
			Deadline: 4800 * time.Millisecond, Env: asProgram}}
}

// start starts a process with its own admin interface, and returns the address of that interface.
// The caller must kill the process.
func (h *hotRestartTest) start() (p *experiment.Process, admin string, err error) {
	setup := h.setup
	if setup.Admin, err = experiment.FreeAddr(); err == nil {
		p, err = h.env.Proxy(setup)
	}
	return p, setup.Admin, err
}

// startReady starts a process and waits until it is ready, which is after it has taken over if
// another process serves. It returns the process, which the test's end kills, and the address of its
// admin interface.
func (h *hotRestartTest) startReady() (*experiment.Process, string) {
	h.Helper()
	p, admin, err := h.start()
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(p.Kill)
	if err := experiment.AwaitReady(admin, 20*time.Second); err != nil {
		h.Fatal(err)
	}
	return p, admin
}

// call sends a request to the admin interface, checks that the status is want, and returns the
// body.
func (h *hotRestartTest) call(admin, method, path string, want int) string {
	h.Helper()
	status, body, _, err := experiment.CallAdmin(admin, method, path)
	if status != want {
		h.Fatalf("%s %s: status %d, want %d; body %s, error %v", method, path, status, want, body, err)
	}
	return body
}

// open opens a connection with a deadline of 4 s and fails the test if it is not established.
func (h *hotRestartTest) open() *fake.Client {
	h.Helper()
	return openClient(h, h.setup.Listen, 4*time.Second)
}

// checkConnection checks that a line on a connection is answered and that the connection is not
// migrated.
func (h *hotRestartTest) checkConnection(c *fake.Client, text string) {
	h.Helper()
	if _, migrated, err := c.Exchange(text, 10*time.Second); migrated || err != nil {
		h.Fatalf("a line on the established connection: migrated %t, error %v; want an answer", migrated, err)
	}
}

// TestHotRestart checks that established connections and suspensions survive hot restarts, that the
// old process serves again if the new one is killed, and that a third process is rejected while two
// run.
func TestHotRestart(t *testing.T) {
	h := newHotRestartTest(t)
	first, admin := h.startReady()
	h.call(admin, "POST", "/v1/catalogue-servers/s0/suspend", 200)
	established := h.open() // at s1, since s0 is suspended
	h.checkConnection(established, "one")
	h.killSuccessor(first, admin)

	// The next process takes over the established connections and the suspension.
	serving, admin := h.startReady()
	if err := first.Stop(); err != nil || len(first.LogLines("event=stopped")) == 0 {
		t.Errorf("the old process ended with error %v, want none; it logged %d lines of event=stopped, want 1 or more", err, len(first.LogLines("event=stopped")))
	}
	h.checkConnection(established, "two")
	if body := h.call(admin, "GET", "/v1/metrics", 200); !strings.Contains(body, "targets=2\ntargets_disabled=1\n") ||
		!strings.Contains(body, "replies.lab.success=0\n") {
		t.Errorf("metrics of the new process, want targets=2, targets_disabled=1 and replies.lab.success=0:\n%s", body)
	}

	// The serving process is killed, and the next one starts with the stored state.
	h.call(admin, "POST", "/v1/catalogue-servers/s1/suspend", 200)
	serving.Kill()
	_, admin = h.startReady()
	if _, answer, _ := fake.Open(h.setup.Listen, "lab", "", 4*time.Second); answer.Kind != "BUSY" {
		t.Errorf("with both hosts suspended a request is answered with %q, want BUSY", answer.Text)
	}
	h.call(admin, "POST", "/v1/catalogue-servers/s1/resume", 200)
	h.open()
}

// killSuccessor starts a new process that takes over from old, checks that a third one is rejected
// meanwhile, and kills the new one. The old one must serve again.
func (h *hotRestartTest) killSuccessor(old *experiment.Process, oldAdmin string) {
	h.Helper()
	successor, _ := h.startReady()
	h.call(oldAdmin, "GET", "/v1/readyz", 503) // it has handed over
	if _, _, err := h.start(); err == nil || !strings.Contains(err.Error(), "another process of this proxy is being replaced") {
		h.Errorf("the start of a third process fails with %v, want that another process is being replaced", err)
	}
	successor.Kill()
	if !old.AwaitLog("event=hot_restart_taken_back", 20*time.Second) {
		h.Fatal("the old process does not log event=hot_restart_taken_back within 20 s")
	}
	h.call(oldAdmin, "GET", "/v1/readyz", 200)
	h.open()
}

// TestHotRestartKeepsMovedDiscovery guards against a new process that asks a discovery service that a
// reload has moved, because NODE_DISCOVERY still names the earlier address.
func TestHotRestartKeepsMovedDiscovery(t *testing.T) {
	h := newHotRestartTest(t)
	h.setup.Env = append(h.setup.Env, "NODE_DISCOVERY="+h.setup.Discovery)
	old, _ := h.startReady()
	moved := newHosts(t, "a", "s2").Discovery
	config, err := os.ReadFile(old.ConfigPath())
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, old.ConfigPath(), strings.ReplaceAll(string(config), h.setup.Discovery, moved.Addr()))
	old.Signal(syscall.SIGHUP)
	servedByMoved := func() bool {
		served := hostsServing(h.setup.Listen, 200*time.Millisecond)
		return served["s2"] > 0 && len(served) == 1
	}
	eventually(t, "the old process uses the list of the moved discovery", servedByMoved)
	for _, generation := range []string{"second", "third"} {
		next, _ := h.startReady()
		if err := old.Stop(); err != nil {
			t.Errorf("the old process ended with error %v, want none", err)
		}
		old = next
		eventually(t, "the "+generation+" process uses the list of the moved discovery", servedByMoved)
		if lines := old.LogLines("event=discovery_moved"); len(lines) != 1 {
			t.Errorf("the %s process logs event=discovery_moved %d times, want once", generation, len(lines))
		}
	}
}
