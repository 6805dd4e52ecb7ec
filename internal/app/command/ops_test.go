package command

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// One process after the other at one address: clients that stand stay, bans hold, a death before the end changes nothing, a
// third start waits for the two.
func TestReplacingTheProcess(t *testing.T) {
	var entries []fake.Entry
	for i := range 2 {
		s, err := fake.NewServer(fmt.Sprint("s", i), "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		entries = append(entries, s.Entry())
	}
	d, err := fake.NewDiscovery(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	listen, err := experiment.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	setup := experiment.Setup{Name: "n0", Listen: listen, Discovery: d.Addr(), Known: d.List(), Tmp: t.TempDir(), Deadline: 4800 * time.Millisecond,
		Env: []string{"CROFTLOCK_TEST_RUN=1"}}
	start := func() (p *experiment.Process, admin string, err error) {
		with := setup
		if with.Admin, err = experiment.FreeAddr(); err == nil {
			p, err = env.Proxy(with)
		}
		return p, with.Admin, err
	}
	begin := func() (*experiment.Process, string) {
		t.Helper()
		p, admin, err := start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		if err := experiment.Ready(admin, 20*time.Second); err != nil {
			t.Fatal(err)
		}
		return p, admin
	}
	call := func(admin, method, path string, want int) string {
		t.Helper()
		status, body, _, err := experiment.Call(admin, method, path)
		if status != want {
			t.Fatalf("%s %s: %d %s, %v; want %d", method, path, status, body, err, want)
		}
		return body
	}
	open := func() *fake.Client {
		t.Helper()
		c, a, err := fake.Open(listen, "lab", "", 4*time.Second)
		if c == nil {
			t.Fatalf("got %q, %v", a.Text, err)
		}
		t.Cleanup(c.Close)
		return c
	}
	says := func(c *fake.Client, text string) {
		t.Helper()
		if _, moved, err := c.Exchange(text, 10*time.Second); moved || err != nil {
			t.Fatalf("a client that stands: moved %t, %v", moved, err)
		}
	}
	first, admin := begin()
	call(admin, "POST", "/v1/catalogue-servers/s0/suspend", 200)
	standing := open() // at the other host: clients are sent away from one that is out
	says(standing, "one")

	// A new process that dies after it has taken over leaves the old one in its place.
	second, _ := begin()
	call(admin, "GET", "/v1/readyz", 503) // it has handed over
	if _, _, err := start(); err == nil || !strings.Contains(err.Error(), "another process of this proxy is being replaced") {
		t.Errorf("a third start: %v", err)
	}
	second.Kill()
	if !first.Await("event=hot_restart_taken_back", 20*time.Second) {
		t.Fatal("the old one does not go on")
	}
	call(admin, "GET", "/v1/readyz", 200)
	open()

	// One that lives goes on with the clients that stand, and with what operators have said.
	third, admin := begin()
	if err := first.Stop(); err != nil || len(first.Log("event=stopped")) == 0 {
		t.Errorf("the old one ended with %v", err)
	}
	says(standing, "two")
	if body := call(admin, "GET", "/v1/metrics", 200); !strings.Contains(body, "targets=2\ntargets_disabled=1\n") ||
		!strings.Contains(body, "replies.lab.success=0\n") {
		t.Errorf("the new one says %s", body)
	}

	// An old one that is killed leaves the new one in its place, with what it kept on disk.
	call(admin, "POST", "/v1/catalogue-servers/s1/suspend", 200)
	third.Kill()
	_, admin = begin()
	if _, a, _ := fake.Open(listen, "lab", "", 4*time.Second); a.Kind != "BUSY" {
		t.Errorf("with both servers out a client got %q", a.Text)
	}
	call(admin, "POST", "/v1/catalogue-servers/s1/resume", 200)
	open()
}
