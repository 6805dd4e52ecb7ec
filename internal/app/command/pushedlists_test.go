package command

import (
	"os"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
)

// TestPushedListsAreApplied checks that a proxy whose lists are pushed to the agent on its machine
// watches that agent and stops sending requests to a draining host, although its decision module
// does not poll discovery.
func TestPushedListsAreApplied(t *testing.T) {
	hosts := newHosts(t, "a", "s0", "s1")
	drained, discovery := hosts.Servers[0], hosts.Discovery
	admin, err := experiment.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	p, err := env.Proxy(experiment.Setup{Name: "n0", Discovery: discovery.Addr(), ListsPushed: true, InitialList: discovery.List(), Admin: admin, TmpDir: t.TempDir(),
		Deadline: 4800 * time.Millisecond, Env: asProgram})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	if err := experiment.AwaitReady(admin, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		openClient(t, p.Addr, 4*time.Second)
	}
	callsBefore := discovery.Calls()
	discovery.SetState(drained.UID, "draining")
	// The proxy sends another watch request after the one that is answered with the change.
	for end := time.Now().Add(20 * time.Second); discovery.Calls() < callsBefore+3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d calls of discovery 20 s after the change, want 3 or more", discovery.Calls()-callsBefore)
		}
	}
	before, _ := drained.Requests()
	for range 6 {
		openClient(t, p.Addr, 4*time.Second)
	}
	if after, _ := drained.Requests(); before == 0 || after > before {
		t.Errorf("%d requests at a host before it drained, want 1 or more; %d after the proxy was notified, want 0", before, after-before)
	}
}
