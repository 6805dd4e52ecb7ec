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
)

// startRulesRig starts five processes that agree on rules within a second; three vote. extra goes into the settings section.
func startRulesRig(t *testing.T, extra string) *experiment.Rig {
	t.Helper()
	rigSlots <- struct{}{}
	t.Cleanup(func() { <-rigSlots })
	rig, err := experiment.NewRigWithOptions(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: 5, Seed: 3, Key: sealKey, LogLevel: "debug",
		SettingsSections: `(owners (on on) (voters "n0 n1 n2") (rules on) (agree_within 1s) (socket "DIR/owners.sock")` + extra + `)`, Env: asProgram})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	return rig
}

// ruleDecision is a line of a process's log: the checker knows nothing else of the program.
type ruleDecision struct {
	at      time.Time
	version int
	lapsed  bool
}

var (
	logTimestamp     = regexp.MustCompile(`(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d+)`)
	ruleDecisionLine = regexp.MustCompile(`version=(\d+) lapsed=(true|false)`)
)

// loggedAt is when a line was written.
func loggedAt(t *testing.T, line string) time.Time {
	t.Helper()
	at, err := time.Parse("2006/01/02 15:04:05.000000", logTimestamp.FindString(line))
	if err != nil {
		t.Fatalf("a line that the checker can't read: %q", line)
	}
	return at
}

func ruleDecisions(t *testing.T, p *experiment.Process) (all []ruleDecision) {
	t.Helper()
	for _, line := range p.LogLines("event=rules_applied") {
		match := ruleDecisionLine.FindStringSubmatch(line)
		if match == nil {
			t.Fatalf("a line that the checker can't read: %q", line)
		}
		version, _ := strconv.Atoi(match[1])
		all = append(all, ruleDecision{loggedAt(t, line), version, match[2] == "true"})
	}
	return all
}

// longestOverlap is how long after the first decision by a newer version, at any process, one decided by an older version.
func longestOverlap(byProcess [][]ruleDecision) (longest time.Duration) {
	var decisions []ruleDecision
	for _, ofProcess := range byProcess {
		for _, d := range ofProcess {
			if !d.lapsed {
				decisions = append(decisions, d)
			}
		}
	}
	firstUse := map[int]time.Time{} // by version
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

// waitActive waits until a process says that a version is active at so many.
func waitActive(t *testing.T, rig *experiment.Rig, i, version, at int) {
	t.Helper()
	want := fmt.Sprintf("active: version %d at %d of 5", version, at)
	answer := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		reply, err := rig.SendOwnerRequest(i, owneragent.Request{Command: "rules", Rules: rules.QueryActive()})
		answer = fmt.Sprint(reply.Answer, reply.Error, err)
		return strings.HasPrefix(answer, want)
	}); !ok {
		t.Fatalf("n%d says %q, want %q", i, answer, want)
	}
}

// waitActivated waits until a process acts by a version, as its own log says. The answer "active: version N at 5 of 5" counts who holds a lease:
// a lease by the version before may go on for the time of agreement.
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
		t.Fatalf("n%d does not act by version %d: %q", i, version, last)
	}
}

// putRules puts a change by way of a process, as an administrator does, and gives exit status and output.
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

// putRulesUntil is putRules until the answer has a text.
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

// requestAnswer sends a request for a connection and gives the answer; "" where there was none.
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

// putUntilAnswered is putRules until the outcome is known: an answer may be lost, or the publisher has just changed. A change that is put
// twice is made once.
func putUntilAnswered(t *testing.T, rig *experiment.Rig, via, against int, text string, flags ...string) (answer string) {
	t.Helper()
	if _, ok := experiment.AwaitCondition(2*recoveryTimeout, func() bool {
		answer = putRules(t, rig, via, against, text, flags...)
		return !strings.Contains(answer, "unknown") && !strings.Contains(answer, "ask again")
	}); !ok {
		t.Errorf("rules against version %d have no outcome: %q", against, answer)
	}
	return answer
}
