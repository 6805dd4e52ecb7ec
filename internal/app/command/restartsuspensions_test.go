package command

import (
	"strings"
	"testing"
	"time"

	"croftlock/internal/testbed/fake"
)

// hostsServing sends requests to the proxy at addr for the given time, one every 10 ms, and returns how many
// were established, by the host's ID.
func hostsServing(addr string, lasting time.Duration) map[string]int {
	served := map[string]int{}
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		client, answer, _ := fake.Open(addr, "lab", "", 2*time.Second)
		if client == nil {
			served[answer.Text]++
			continue
		}
		host, _, _ := strings.Cut(strings.TrimPrefix(answer.Text, "UP "), "-")
		served[host]++
		client.Close()
	}
	return served
}

// TestHotRestartKeepsFleetSuspensions guards against a new process that sends requests to a host that
// operators have suspended for the fleet, because it accepts clients before it has the fleet's list.
func TestHotRestartKeepsFleetSuspensions(t *testing.T) {
	t.Parallel()
	hosts := newHosts(t, "a", "s0", "s1")
	rig := startRulesRigWithHosts(t, " (hosts on)", agreeWithin, hosts.Discovery)
	waitActive(t, rig, 0, 0, 5)
	eventually(t, "s1 is suspended at all proxies", func() bool { return ownersCommand(t, rig, 1, "suspend", "s1") == "done at all 5" })
	old := startSuccessor(t, rig, 4)
	if served := hostsServing(rig.Procs[4].Addr, 2*time.Second); served["s0"] < 50 || len(served) != 1 {
		t.Errorf("during the hot restart requests were served by %v, want 50 or more by s0 and none elsewhere", served)
	}
	if err := old.Stop(); err != nil {
		t.Errorf("the old process ended with error %v, want none", err)
	}
	eventually(t, "s1 is resumed at all proxies", func() bool { return ownersCommand(t, rig, 1, "resume", "s1") == "done at all 5" })
	eventually(t, "s1 serves requests once it was resumed", func() bool { return hostsServing(rig.Procs[4].Addr, 100*time.Millisecond)["s1"] > 0 })
}
