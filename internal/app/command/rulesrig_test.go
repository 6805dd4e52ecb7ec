package command

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// startRulesRig starts a rig, which is a set of proxy processes with one host. Its five processes,
// three of them voters, agree on rules; agree_within, the longest time for which two versions of the
// rules may be applied at once, is 1 s. extra is added to the owners section of the settings file; DIR in it
// stands for a process's directory. The test's end stops the processes.
func startRulesRig(t *testing.T, extra string) *experiment.Rig {
	t.Helper()
	return startRulesRigWithHosts(t, extra, time.Second, nil)
}

// startRulesRigWithHosts is startRulesRig with another agree_within, and with the hosts of a discovery
// service. If discovery is nil, no host is reachable.
func startRulesRigWithHosts(t *testing.T, extra string, agreeWithin time.Duration, discovery *fake.Discovery) *experiment.Rig {
	t.Helper()
	rigSlots <- struct{}{}
	t.Cleanup(func() { <-rigSlots })
	rig, err := experiment.NewRigWithOptions(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: 5, Seed: 3, Key: sealKey, LogLevel: "debug", Discovery: discovery,
		SettingsSections: `(owners (on on) (voters "n0 n1 n2") (rules on) (agree_within ` + agreeWithin.String() + `) (socket "DIR/owners.sock")` + extra + `)`, Env: asProgram})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	return rig
}

// ruleDecision is a decision on a request by the rules, as a process's log reports it.
type ruleDecision struct {
	at      time.Time
	version int  // of the rules
	lapsed  bool // whether the process held no lease, the right to apply a version
}

var (
	logTimestamp     = regexp.MustCompile(`(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d+)`)
	ruleDecisionLine = regexp.MustCompile(`version=(\d+) lapsed=(true|false)`)
)

// loggedAt returns the time of a line of a log.
func loggedAt(t *testing.T, line string) time.Time {
	t.Helper()
	at, err := time.Parse("2006/01/02 15:04:05.000000", logTimestamp.FindString(line))
	if err != nil {
		t.Fatalf("log line without a timestamp: %q", line)
	}
	return at
}

// ruleDecisions returns the decisions in a process's log, the oldest first.
func ruleDecisions(t *testing.T, p *experiment.Process) (all []ruleDecision) {
	t.Helper()
	for _, line := range p.LogLines("event=rules_applied") {
		match := ruleDecisionLine.FindStringSubmatch(line)
		if match == nil {
			t.Fatalf("log line without version=N and lapsed=true or false: %q", line)
		}
		version, _ := strconv.Atoi(match[1])
		all = append(all, ruleDecision{loggedAt(t, line), version, match[2] == "true"})
	}
	return all
}

// longestOverlap returns the longest time from the first decision by a version, at any process, to
// a decision by an older version. Decisions without a lease do not count. It returns 0 if there is
// no overlap.
func longestOverlap(byProcess [][]ruleDecision) (longest time.Duration) {
	var decisions []ruleDecision
	for _, ofProcess := range byProcess {
		for _, d := range ofProcess {
			if !d.lapsed {
				decisions = append(decisions, d)
			}
		}
	}
	firstUse := map[int]time.Time{} // time of the first decision, by version
	for _, d := range decisions {
		if at, seen := firstUse[d.version]; !seen || d.at.Before(at) {
			firstUse[d.version] = d.at
		}
	}
	for _, d := range decisions {
		for version, at := range firstUse {
			if version > d.version {
				longest = max(longest, d.at.Sub(at))
			}
		}
	}
	return longest
}

// waitActive waits until process i answers that a version is active at the given number, at, of the
// five processes. It fails the test after recoveryTimeout.
func waitActive(t *testing.T, rig *experiment.Rig, i, version, at int) {
	t.Helper()
	want := fmt.Sprintf("active: version %d at %d of 5", version, at)
	answer := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: "rules", Rules: rules.QueryActive()})
		answer = fmt.Sprint(reply.Answer, reply.Error, err)
		return strings.HasPrefix(answer, want)
	}); !ok {
		t.Fatalf("n%d answers %q, want %q", i, answer, want)
	}
}

// waitActivated waits until the log of process i reports that it acts by a version. The answer
// "active: version N at 5 of 5" is not enough: it counts the processes with a lease, and a lease
// for the previous version may continue for agree_within.
func waitActivated(t *testing.T, rig *experiment.Rig, i, version int) {
	t.Helper()
	want := fmt.Sprintf("version=%d ", version)
	last := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		if lines := rig.Procs[i].LogLines("event=rules_activated"); len(lines) > 0 {
			last = lines[len(lines)-1]
		}
		return strings.Contains(last, want)
	}); !ok {
		t.Fatalf("n%d does not act by version %d within %v; its last event=rules_activated: %q", i, version, recoveryTimeout, last)
	}
}

// putRules runs the command rules put with the change in text, at the socket of the process via.
// against is the number of the version that the change is based on; flags are added to the command
// line. putRules returns the exit status and the output, separated by a blank.
func putRules(t *testing.T, rig *experiment.Rig, via, against int, text string, flags ...string) string {
	t.Helper()
	path := filepath.Join(rig.Dir(via), fmt.Sprintf("rules-%d-%d.sexp", against, len(text)))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Error(err)
	}
	args := []string{"rules", "put", path, "--against", fmt.Sprint(against), "--socket", filepath.Join(rig.Dir(via), "owners.sock")}
	out, status := command(t, append(args, flags...)...)
	return fmt.Sprintf("%d %s", status, out)
}

// putRulesUntil repeats putRules until the result contains want. It fails the test after
// recoveryTimeout.
func putRulesUntil(t *testing.T, rig *experiment.Rig, via, against int, text, want string) {
	t.Helper()
	answer := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		answer = putRules(t, rig, via, against, text)
		return strings.Contains(answer, want)
	}); !ok {
		t.Fatalf("rules against version %d are answered with %q, want %q", against, answer, want)
	}
}

// requestAnswer sends a request for a connection, with the request ID id (16 hexadecimal digits) and
// a deadline of 200 ms, to addr. It returns the answer line, or "" if there was none within 5 s.
func requestAnswer(addr, id string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "OPEN %s 7f3a9c21e0b4d655 c=lab,d=200\r\n", id)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// putUntilAnswered repeats putRules until the outcome is known, and returns the last result. A single
// answer may be lost, or report that the publisher, the process that publishes rules, has just
// changed. A change that is put repeatedly is made only once.
func putUntilAnswered(t *testing.T, rig *experiment.Rig, via, against int, text string, flags ...string) (answer string) {
	t.Helper()
	if _, ok := experiment.AwaitCondition(2*recoveryTimeout, func() bool {
		answer = putRules(t, rig, via, against, text, flags...)
		return !strings.Contains(answer, "unknown") && !strings.Contains(answer, "ask again")
	}); !ok {
		t.Errorf("rules against version %d have no known outcome within %v; the last answer is %q", against, 2*recoveryTimeout, answer)
	}
	return answer
}
