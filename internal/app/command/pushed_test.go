package command

import (
	"fmt"
	"os"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// A proxy whose lists are pushed hears of a drain from the agent on its machine, though nothing in it asks: before, it
// kept to the list of its start, and sent to hosts that drained or were gone.
func TestPushedListsAreHeard(t *testing.T) {
	servers := map[string]*fake.Server{}
	d, err := fake.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for i := range 2 {
		s, err := fake.NewServer(fmt.Sprint("s", i), "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		servers[fmt.Sprint("s", i)] = s
		d.Set(s.Entry())
	}
	admin, err := experiment.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	p, err := env.Proxy(experiment.Setup{Name: "n0", Discovery: d.Addr(), Pushed: true, Known: d.List(), Admin: admin, Tmp: t.TempDir(),
		Deadline: 4800 * time.Millisecond, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	if err := experiment.Ready(admin, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	open := func() {
		t.Helper()
		c, a, err := fake.Open(p.Addr, "lab", "", 4*time.Second)
		if c == nil {
			t.Fatalf("got %q, %v", a.Text, err)
		}
		t.Cleanup(c.Close)
	}
	for range 4 {
		open()
	}
	heard := d.Calls()
	d.SetState("s0", "draining")
	for end := time.Now().Add(20 * time.Second); d.Calls() < heard+3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) { // the change has been answered once two more calls have come
			t.Fatal("the agent is not asked")
		}
	}
	before, _ := servers["s0"].Requests()
	for range 6 {
		open()
	}
	if after, _ := servers["s0"].Requests(); before == 0 || after > before {
		t.Errorf("%d connections to a host before it drained, and %d after the proxy was told", before, after-before)
	}
}
