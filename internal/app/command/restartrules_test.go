package command

import (
	"strings"
	"sync"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// agreeWithin is the duration of a lease in the tests of hot restarts, as in deploy/examples/rules.sexp.
const agreeWithin = 3 * time.Second

// tenantAnswers counts the answers to the requests of one tenant by their first word, or by the complete
// answer if that is a rejection.
type tenantAnswers struct {
	mutex sync.Mutex
	count map[string]int
}

// add counts an answer.
func (a *tenantAnswers) add(answer fake.Answer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.count == nil {
		a.count = map[string]int{}
	}
	key := answer.Kind
	if key == "BUSY" {
		key = answer.Text
	}
	a.count[key]++
}

// restartLoad sends requests of two tenants to one proxy until it is stopped.
type restartLoad struct {
	refused, admitted tenantAnswers
	stopping          chan struct{}
	requests          sync.WaitGroup
}

// startRestartLoad sends a request of either tenant to the proxy at addr every 10 ms. The rules refuse
// the tenant named closed.
func startRestartLoad(addr string) *restartLoad {
	load := &restartLoad{stopping: make(chan struct{})}
	send := func(tenant string, answers *tenantAnswers) {
		defer load.requests.Done()
		client, answer, _ := fake.Open(addr, "lab", "t="+tenant, 2*time.Second)
		answers.add(answer)
		if client != nil {
			client.Close()
		}
	}
	load.requests.Add(1)
	go func() {
		defer load.requests.Done()
		for {
			select {
			case <-load.stopping:
				return
			case <-time.After(10 * time.Millisecond):
				load.requests.Add(2)
				go send("closed", &load.refused)
				go send("open", &load.admitted)
			}
		}
	}()
	return load
}

// stop ends the load and waits for the requests in progress.
func (l *restartLoad) stop() {
	close(l.stopping)
	l.requests.Wait()
}

// checkOnly checks that all answers were the wanted one, and that there were at least 100.
func (a *tenantAnswers) checkOnly(t *testing.T, tenant, want string) {
	t.Helper()
	if a.count[want] < 100 || len(a.count) != 1 {
		t.Errorf("requests of the tenant %s were answered %v, want 100 times %q or more, and nothing else", tenant, a.count, want)
	}
}

// startSuccessor starts the next process of a proxy, waits until it is ready and returns the old one.
func startSuccessor(t *testing.T, rig *experiment.Rig, i int) (old *experiment.Process) {
	t.Helper()
	old = rig.Procs[i]
	if err := rig.Start(i); err != nil {
		t.Fatal(err)
	}
	if err := experiment.AwaitReady(rig.Admin(i), readyLimit); err != nil {
		t.Fatal(err)
	}
	return old
}

// replaceUnderLoad replaces the process of a proxy while the tenants send requests to it. Both
// processes run for longer than agree_within, then the new one alone. It returns the stopped load.
func replaceUnderLoad(t *testing.T, rig *experiment.Rig, i int) *restartLoad {
	t.Helper()
	load := startRestartLoad(rig.Procs[i].Addr)
	time.Sleep(500 * time.Millisecond)
	old := startSuccessor(t, rig, i)
	time.Sleep(agreeWithin + 500*time.Millisecond)
	if err := old.Stop(); err != nil {
		t.Errorf("the old process ended with error %v, want none", err)
	}
	time.Sleep(2 * time.Second)
	load.stop()
	for _, p := range []*experiment.Process{old, rig.Procs[i]} {
		logEvents(t, p, "hot_restart", "rules_restored", "rules_activated", "job_", "member", "owners", "quorum", "lease")
	}
	return load
}

// TestHotRestartKeepsRules guards against a new process that serves what the fleet's rules refuse, or
// refuses what they admit, because it accepts clients before it acts by the rules' active version.
func TestHotRestartKeepsRules(t *testing.T) {
	t.Parallel()
	hosts := newHosts(t, "a", "s0", "s1")
	rig := startRulesRigWithHosts(t, "", agreeWithin, hosts.Discovery)
	waitActive(t, rig, 0, 0, 5)
	putRulesUntil(t, rig, 0, 0, `(rules (refuse closed (tenant closed) (advice 300ms)))`, "active: version 1 at")
	waitActive(t, rig, 1, 1, 5)
	for _, i := range []int{0, 4} { // n0 is a voter, n4 is not
		load := replaceUnderLoad(t, rig, i)
		load.refused.checkOnly(t, "closed", "BUSY 300")
		load.admitted.checkOnly(t, "open", "UP")
		waitActive(t, rig, i, 1, 5)
	}
}

// logEvents logs the lines of a process's log whose event begins with one of the prefixes.
func logEvents(t *testing.T, p *experiment.Process, prefixes ...string) {
	t.Helper()
	for _, line := range p.LogLines("event=") {
		for _, prefix := range prefixes {
			if strings.Contains(line, "event="+prefix) {
				t.Log(line)
			}
		}
	}
}
