package command

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// readyLimit is the time in which a new process has to say that it is ready.
const readyLimit = 6 * time.Second

// restartDisturbance is what happens to the old process or to the fleet during a hot restart.
type restartDisturbance struct {
	name string
	// before is called before the start of the new process, and during while the new process waits for
	// its endpoint list. Either may be nil.
	before, during func(rig *experiment.Rig, old *experiment.Process)
	silent         bool // whether discovery does not answer, so that the new process waits for its list
	undo           func(rig *experiment.Rig)
}

// replacedProxy is the index of the process that the tests of disturbances replace. It does not vote.
const replacedProxy = 4

func stopProcess(_ *experiment.Rig, old *experiment.Process) { old.Signal(syscall.SIGSTOP) }
func killProcess(_ *experiment.Rig, old *experiment.Process) { old.Kill() }

var restartDisturbances = []restartDisturbance{
	{name: "the old process is stopped before the request", before: stopProcess},
	{name: "the old process is dead before the request", before: killProcess},
	{name: "the old process is stopped before its last state", silent: true, during: stopProcess},
	{name: "the old process dies before its last state", silent: true, during: killProcess},
	{name: "the proxy is cut off",
		before: func(rig *experiment.Rig, _ *experiment.Process) {
			rig.SetCutOff(replacedProxy, true)
			time.Sleep(agreeWithin)
		},
		undo: func(rig *experiment.Rig) { rig.SetCutOff(replacedProxy, false) }},
	{name: "there is no majority", silent: true,
		before: func(rig *experiment.Rig, _ *experiment.Process) {
			rig.Procs[1].Signal(syscall.SIGSTOP)
			rig.Procs[2].Signal(syscall.SIGSTOP)
		},
		undo: func(rig *experiment.Rig) {
			rig.Procs[1].Signal(syscall.SIGCONT)
			rig.Procs[2].Signal(syscall.SIGCONT)
		}},
}

// refusedAnswer sends a request of the tenant that the rules refuse, and returns the answer, or "" if none
// came within 5 s.
func refusedAnswer(addr string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "OPEN %s %s c=lab,d=1000,t=closed\r\n", fake.NewID(), fake.NewID())
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// run performs the hot restart under the disturbance. The new process must be ready in time, and must not
// serve the refused tenant, whatever it knows. Afterwards the fleet agrees again.
func (d *restartDisturbance) run(t *testing.T, rig *experiment.Rig, discovery *fake.Discovery) {
	t.Helper()
	old := rig.Procs[replacedProxy]
	if d.before != nil {
		d.before(rig, old)
	}
	discovery.SetSilent(d.silent)
	startedAt := time.Now()
	if err := rig.Start(replacedProxy); err != nil {
		t.Fatalf("%s: the new process does not start: %v", d.name, err)
	}
	if d.during != nil {
		d.during(rig, old)
	}
	if err := experiment.AwaitReady(rig.Admin(replacedProxy), readyLimit-time.Since(startedAt)); err != nil {
		t.Errorf("%s: the new process is not ready within %v: %v", d.name, readyLimit, err)
	}
	t.Logf("%s: ready after %v", d.name, time.Since(startedAt))
	for range 10 {
		// A stopped process may hold the connection in its own queue, and gives no answer.
		if answer := refusedAnswer(rig.Procs[replacedProxy].Addr); answer != "" && !strings.HasPrefix(answer, "BUSY") {
			t.Errorf("%s: a request that the rules refuse is answered with %q, want BUSY", d.name, answer)
		}
	}
	discovery.SetSilent(false)
	if d.undo != nil {
		d.undo(rig)
	}
	old.Kill()
	waitActive(t, rig, replacedProxy, 1, 5)
	waitActivated(t, rig, replacedProxy, 1) // a lease of the old process may be counted above
	if answer := refusedAnswer(rig.Procs[replacedProxy].Addr); answer != "BUSY 300" {
		t.Errorf("%s: in the end a request that the rules refuse is answered with %q, want BUSY 300", d.name, answer)
	}
}

// startRefusingRig starts a rig with the host s0, whose rules refuse the tenant closed.
func startRefusingRig(t *testing.T) (rig *experiment.Rig, discovery *fake.Discovery) {
	t.Helper()
	hosts := newHosts(t, "a", "s0")
	rig = startRulesRigWithHosts(t, "", agreeWithin, hosts.Discovery)
	waitActive(t, rig, 0, 0, 5)
	putRulesUntil(t, rig, 0, 0, `(rules (refuse closed (tenant closed) (advice 300ms)))`, "active: version 1 at")
	waitActive(t, rig, replacedProxy, 1, 5)
	return rig, hosts.Discovery
}

// TestHotRestartReadyInTime guards against a new process that ends, or is not ready within 6 s, because the
// old one hangs or dies, or because the fleet can't be reached; and against one that then acts without
// the fleet's rules.
func TestHotRestartReadyInTime(t *testing.T) {
	t.Parallel()
	rig, discovery := startRefusingRig(t)
	for i := range restartDisturbances {
		restartDisturbances[i].run(t, rig, discovery)
	}
}

// TestHotRestartTakenBackKeepsRules checks that an old process whose successor dies serves on by the
// fleet's rules, and serves what they admit.
func TestHotRestartTakenBackKeepsRules(t *testing.T) {
	t.Parallel()
	rig, _ := startRefusingRig(t)
	old, admin := rig.Procs[replacedProxy], rig.Admin(replacedProxy)
	for range 2 {
		startSuccessor(t, rig, replacedProxy)
		time.Sleep(agreeWithin + 500*time.Millisecond) // until the old process's lease has ended
		rig.Procs[replacedProxy].Kill()
		if err := experiment.AwaitReady(admin, readyLimit); err != nil {
			t.Errorf("the old process does not serve on: %v", err)
		}
		if answer := refusedAnswer(old.Addr); !strings.HasPrefix(answer, "BUSY") {
			t.Errorf("after the new process's end a request that the rules refuse is answered with %q, want BUSY", answer)
		}
		eventually(t, "the old process serves what the rules admit", func() bool {
			client, _, _ := fake.Open(old.Addr, "lab", "t=open", 2*time.Second)
			if client != nil {
				client.Close()
			}
			return client != nil
		})
	}
	rig.Procs[replacedProxy] = old
}
