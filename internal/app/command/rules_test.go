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

// TestLongestOverlap: two versions in use side by side are found in a log, and decisions without a lease do not count.
func TestLongestOverlap(t *testing.T) {
	at := time.Unix(1000, 0)
	log := [][]ruleDecision{{{at, 1, false}, {at.Add(3 * time.Second), 1, false}, {at.Add(9 * time.Second), 1, true}}, {{at.Add(time.Second), 2, false}}}
	if o := longestOverlap(log); o != 2*time.Second {
		t.Fatalf("an overlap of %v, want 2 s", o)
	}
}

// rulesLoad sends requests to every process of a rig all the time, and counts those without an answer.
type rulesLoad struct {
	processLoop
	unanswered atomic.Int64
}

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

// rejectAll are rules by which every request is rejected.
const rejectAll = `(rules (refuse all (advice 300ms)))`

// TestRulesAmongProcesses: changes while processes are cut off, paused and killed. From the moment that one acts by a newer version none acts
// by an older one for longer than a second, every request is answered, and all agree in the end.
func TestRulesAmongProcesses(t *testing.T) {
	t.Parallel()
	rig := startRulesRig(t, "")
	waitActive(t, rig, 0, 0, 5)
	load := startRulesLoad(t, rig)
	checkRejectedChanges(t, rig)

	// One is cut off during a change: it acts by nothing once its lease has lapsed, and catches up by itself.
	rig.SetCutOff(4, true)
	putRulesUntil(t, rig, 0, 1, `(rules (out s1))`, "active: version 2 at 4 of 5; lapsed: n4")
	if answer := requestAnswer(rig.Procs[4].Addr, "feed000000000002"); !strings.HasPrefix(answer, "BUSY") {
		t.Errorf("cut off, n4 answers %q, want BUSY", answer)
	}
	rig.SetCutOff(4, false)
	waitActive(t, rig, 0, 2, 5)

	// One is paused during a change.
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
		t.Errorf("%d requests without an answer", n)
	}
}

// checkRejectedChanges makes version 1 active, and has changes rejected that do not follow it.
func checkRejectedChanges(t *testing.T, rig *experiment.Rig) {
	t.Helper()
	putRulesUntil(t, rig, 3, 0, rejectAll, "active: version 1 at")
	waitActive(t, rig, 1, 1, 5)
	waitActivated(t, rig, 2, 1)
	if answer := requestAnswer(rig.Procs[2].Addr, "feed000000000001"); answer != "BUSY 300" {
		t.Errorf("by version 1 a request is answered with %q, want BUSY 300", answer)
	}
	if answer := putRules(t, rig, 4, 0, `(rules (out s0))`); !strings.Contains(answer, "refused: it was made against version 0, and 1 is active") {
		t.Errorf("a change against version 0 is answered with %q", answer)
	}
	if answer := putRules(t, rig, 4, 1, `(rules (refuse a) (refuse b))`); !strings.HasPrefix(answer, "1 ") {
		t.Errorf("rules with two entries of one kind are answered with %q, want exit status 1", answer)
	}
}

// killPublisher kills the owner of the rules' job while a change is on its way, and gives the decisions of the killed process.
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

// checkRuleDecisions checks the promise over the decisions of all processes.
func checkRuleDecisions(t *testing.T, rig *experiment.Rig, ofKilledProcess []ruleDecision) {
	t.Helper()
	all := [][]ruleDecision{ofKilledProcess}
	n := 0
	for _, p := range rig.Procs {
		all = append(all, ruleDecisions(t, p))
		n += len(all[len(all)-1])
	}
	overlap := longestOverlap(all)
	t.Logf("%d decisions, two versions side by side for %v at most", n, overlap)
	if overlap > time.Second {
		t.Errorf("two versions in use side by side for %v, want at most 1 s", overlap)
	}
	if n < 100 {
		t.Errorf("%d decisions are too few to show anything", n)
	}
}

// TestRulesSurviveKillOfAllProcesses: every process is killed in the middle of a change. With votes on disks the version that was active is so again; the
// change is either made or not, the same everywhere.
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
		t.Fatalf("after all were killed version %d is active, want 1 or 2", version)
	}
	for i := range rig.Procs {
		checkAnswersByVersion(t, rig, i, version)
	}
}

// waitOneActiveVersion waits until a process says that one version is active at all five and none is on its way, and gives that version.
func waitOneActiveVersion(t *testing.T, rig *experiment.Rig, i int) (version int) {
	t.Helper()
	answer := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: "rules", Rules: rules.QueryActive()})
		answer = fmt.Sprint(reply.Answer, reply.Error, err)
		n, _ := fmt.Sscanf(answer, "active: version %d at 5 of 5", &version)
		return n == 1 && !strings.Contains(answer, "on its way")
	}); !ok {
		t.Fatalf("n%d says %q, want one version that is active at 5 of 5", i, answer)
	}
	return version
}

// checkAnswersByVersion checks that a process answers by a version: version 1 rejects all.
func checkAnswersByVersion(t *testing.T, rig *experiment.Rig, i, version int) {
	t.Helper()
	waitActivated(t, rig, i, version)
	// A process that was starved for a second has no lease for a moment, and answers BUSY 1000: it is asked again.
	answer := ""
	for n := 0; n < 1000 && (answer == "" || answer == "BUSY 1000"); n++ {
		answer = requestAnswer(rig.Procs[i].Addr, fmt.Sprintf("feed%04x%08x", n, i))
		time.Sleep(20 * time.Millisecond)
	}
	if rejected := answer == "BUSY 300"; rejected != (version == 1) {
		t.Errorf("version %d is active, and n%d answers %q", version, i, answer)
	}
}
