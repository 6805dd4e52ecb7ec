package command

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/experiment"
)

// TestLongestOverlap checks that longestOverlap finds two versions that are applied at once, and
// ignores decisions without a lease.
func TestLongestOverlap(t *testing.T) {
	at := time.Unix(1000, 0)
	log := [][]ruleDecision{{{at, 1, false}, {at.Add(3 * time.Second), 1, false}, {at.Add(9 * time.Second), 1, true}}, {{at.Add(time.Second), 2, false}}}
	if o := longestOverlap(log); o != 2*time.Second {
		t.Fatalf("longestOverlap = %v, want 2 s", o)
	}
}

// rulesLoad repeatedly sends requests to every process of a rig, which is a set of proxy processes with
// a host, and counts the requests without an answer.
type rulesLoad struct {
	processLoop
	unanswered atomic.Int64
}

// startRulesLoad starts the requests, one every 20 ms at each process. Requests that a paused process
// does not answer are not counted.
func startRulesLoad(t *testing.T, rig *experiment.Rig) *rulesLoad {
	t.Helper()
	load := &rulesLoad{}
	load.start(t, rig, sameInterval(20*time.Millisecond), func(process, n int) {
		answer := requestAnswer(rig.Procs[process].Addr, fmt.Sprintf("%04x%012x", process, n))
		if answer == "" && !load.paused[process].Load() {
			load.unanswered.Add(1)
		}
	})
	return load
}

// rejectAll is a change to rules that reject every request with a Retry-After of 300 ms.
const rejectAll = `(rules (refuse all (advice 300ms)))`

// TestRulesAmongProcesses checks changes of the rules while processes are cut off, paused and
// killed. Once a process acts by a newer version, none acts by an older one for more than a second.
// Every request is answered, and all processes agree in the end.
func TestRulesAmongProcesses(t *testing.T) {
	t.Parallel()
	rig := startRulesRig(t, "")
	waitActive(t, rig, 0, 0, 5)
	load := startRulesLoad(t, rig)
	checkRejectedChanges(t, rig)

	// n4 is cut off during a change. Once its lease, the right to act by a version, has
	// lapsed, n4 acts by no version. It catches up afterwards.
	rig.SetCutOff(4, true)
	putRulesUntil(t, rig, 0, 1, `(rules (out s1))`, "active: version 2 at 4 of 5; lapsed: n4")
	if answer := requestAnswer(rig.Procs[4].Addr, "feed000000000002"); !strings.HasPrefix(answer, "BUSY") {
		t.Errorf("n4 answers %q while it is cut off, want BUSY", answer)
	}
	rig.SetCutOff(4, false)
	waitActive(t, rig, 0, 2, 5)

	// n3 is paused during a change.
	load.paused[3].Store(true)
	rig.Procs[3].Signal(syscall.SIGSTOP)
	putRulesUntil(t, rig, 0, 2, rejectAll, "active: version 3 at")
	rig.Procs[3].Signal(syscall.SIGCONT)
	load.paused[3].Store(false)
	waitActive(t, rig, 0, 3, 5)

	beforeKill := killPublisher(t, rig, load)
	load.stop()
	checkRuleDecisions(t, rig, beforeKill)
	if n := load.unanswered.Load(); n > 0 {
		t.Errorf("%d requests without an answer, want 0", n)
	}
}

// checkRejectedChanges makes version 1 active. It then checks that a change against an older
// version and an invalid change are rejected.
func checkRejectedChanges(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	putRulesUntil(t, rig, 3, 0, rejectAll, "active: version 1 at")
	waitActive(t, rig, 1, 1, 5)
	waitActivated(t, rig, 2, 1)
	if answer := requestAnswer(rig.Procs[2].Addr, "feed000000000001"); answer != "BUSY 300" {
		t.Errorf("by version 1 a request is answered with %q, want BUSY 300", answer)
	}
	if answer := putRules(t, rig, 4, 0, `(rules (out s0))`); !strings.Contains(answer, "refused: it was made against version 0, and 1 is active") {
		t.Errorf("a change against version 0 is answered with %q, want that it is refused since version 1 is active", answer)
	}
	if answer := putRules(t, rig, 4, 1, `(rules (refuse a) (refuse b))`); !strings.HasPrefix(answer, "1 ") {
		t.Errorf("rules with two entries of one kind are answered with %q, want exit status 1", answer)
	}
}

// killPublisher kills and restarts the publisher, which is the owner of the job that publishes rules,
// while a change is in progress. It returns the decisions that the killed process had made.
func killPublisher(t *testing.T, rig *experiment.Rig, load *rulesLoad) []ruleDecision {
	t.Helper()
	owners, _ := rig.JobOwners()
	publisher := owners["rules"]
	cutOff, via := (publisher+1)%5, (publisher+2)%5
	rig.SetCutOff(cutOff, true) // delays the change
	answered := make(chan string, 1)
	go func() { answered <- putRules(t, rig, via, 3, `(rules (out s2))`) }()
	time.Sleep(100 * time.Millisecond)
	load.paused[publisher].Store(true)
	beforeKill := ruleDecisions(t, rig.Procs[publisher])
	rig.Procs[publisher].Kill()
	rig.SetCutOff(cutOff, false)
	<-answered
	if err := rig.Start(publisher); err != nil {
		t.Fatal(err)
	}
	load.paused[publisher].Store(false)
	putRulesUntil(t, rig, via, 3, `(rules (out s2))`, "active: version 4 at")
	waitActive(t, rig, via, 4, 5)
	return beforeKill
}

// checkRuleDecisions checks that no two versions were applied at once for more than a second, over
// the decisions of all processes and those of a process before it was killed. At least 100 decisions
// must be logged.
func checkRuleDecisions(t *testing.T, rig *experiment.Rig, ofKilledProcess []ruleDecision) {
	t.Helper()
	all := [][]ruleDecision{ofKilledProcess}
	n := 0
	for _, p := range rig.Procs {
		all = append(all, ruleDecisions(t, p))
		n += len(all[len(all)-1])
	}
	overlap := longestOverlap(all)
	t.Logf("%d decisions, two versions applied at once for at most %v", n, overlap)
	if overlap > time.Second {
		t.Errorf("two versions were applied at once for %v, want at most 1 s", overlap)
	}
	if n < 100 {
		t.Errorf("%d decisions are logged, want 100 or more", n)
	}
}

// TestRulesSurviveKillOfAllProcesses checks that after all processes were killed during a change,
// with votes on disk, either the previous version or the changed one is active, and the same one at
// all processes.
func TestRulesSurviveKillOfAllProcesses(t *testing.T) {
	t.Parallel()
	rig := startRulesRig(t, ` (dir "DIR")`)
	waitActive(t, rig, 0, 0, 5)
	putRulesUntil(t, rig, 1, 0, rejectAll, "active: version 1 at")
	waitActive(t, rig, 3, 1, 5)
	rig.SetCutOff(4, true) // delays the change
	answered := make(chan string, 1)
	go func() { answered <- putRules(t, rig, 2, 1, `(rules (out s1))`) }()
	time.Sleep(150 * time.Millisecond)
	for _, p := range rig.Procs {
		p.Kill()
	}
	rig.SetCutOff(4, false)
	<-answered
	for i := range rig.Procs {
		if err := rig.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	version := waitOneActiveVersion(t, rig, 3)
	if version < 1 || version > 2 {
		t.Fatalf("after all processes were killed version %d is active, want 1 or 2", version)
	}
	for i := range rig.Procs {
		checkAnswersByVersion(t, rig, i, version)
	}
}

// waitOneActiveVersion waits until process i answers that one version is active at all five
// processes and no other is in progress. It returns that version.
func waitOneActiveVersion(t *testing.T, rig *experiment.Rig, i int) (version int) {
	t.Helper()
	answer := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: "rules", Rules: rules.QueryActive()})
		answer = fmt.Sprint(reply.Answer, reply.Error, err)
		n, _ := fmt.Sscanf(answer, "active: version %d at 5 of 5", &version)
		return n == 1 && !strings.Contains(answer, "on its way")
	}); !ok {
		t.Fatalf("n%d answers %q, want one version that is active at 5 of 5", i, answer)
	}
	return version
}

// checkAnswersByVersion checks that process i answers a request by a version. Version 1 is
// rejectAll.
func checkAnswersByVersion(t *testing.T, rig *experiment.Rig, i, version int) {
	t.Helper()
	waitActivated(t, rig, i, version)
	// Retries while the answer is BUSY 1000: a process that got no CPU for a second has no lease
	// for a moment.
	answer := ""
	for n := 0; n < 1000 && (answer == "" || answer == "BUSY 1000"); n++ {
		answer = requestAnswer(rig.Procs[i].Addr, fmt.Sprintf("feed%04x%08x", n, i))
		time.Sleep(20 * time.Millisecond)
	}
	if rejected := answer == "BUSY 300"; rejected != (version == 1) {
		t.Errorf("version %d is active and n%d answers %q, want BUSY 300 by version 1 alone", version, i, answer)
	}
}
