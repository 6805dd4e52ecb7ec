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

// ruled are five processes that agree on rules within a second; three vote. more goes into the section.
func ruled(t *testing.T, more string) *experiment.Rig {
	t.Helper()
	rigs <- struct{}{}
	t.Cleanup(func() { <-rigs })
	r, err := experiment.NewRigWith(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: 5, Seed: 3, Key: "0123456789abcdef0123456789abcdef", Level: "debug",
		Sections: `(owners (on on) (voters "n0 n1 n2") (rules on) (agree_within 1s) (socket "DIR/owners.sock")` + more + `)`, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// decision is a line of a process's log: the checker knows nothing else of the program.
type decision struct {
	at      time.Time
	version int
	lapsed  bool
}

var (
	ruledAt   = regexp.MustCompile(`(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d+)`)
	ruledWhat = regexp.MustCompile(`version=(\d+) lapsed=(true|false)`)
)

// loggedAt is when a line was written.
func loggedAt(t *testing.T, line string) time.Time {
	t.Helper()
	at, err := time.Parse("2006/01/02 15:04:05.000000", ruledAt.FindString(line))
	if err != nil {
		t.Fatalf("a line that the checker can't read: %q", line)
	}
	return at
}

func decisions(t *testing.T, p *experiment.Process) (all []decision) {
	t.Helper()
	for _, l := range p.Log("event=rules_applied") {
		what := ruledWhat.FindStringSubmatch(l)
		if what == nil {
			t.Fatalf("a line that the checker can't read: %q", l)
		}
		n, _ := strconv.Atoi(what[1])
		all = append(all, decision{loggedAt(t, l), n, what[2] == "true"})
	}
	return all
}

// overlap is how long after the first act on a newer version, by anyone, somebody acted on an older one.
func overlap(all [][]decision) (most time.Duration) {
	first := map[int]time.Time{}
	for _, ds := range all {
		for _, d := range ds {
			if at, seen := first[d.version]; !d.lapsed && (!seen || d.at.Before(at)) {
				first[d.version] = d.at
			}
		}
	}
	for _, ds := range all {
		for _, d := range ds {
			for v, at := range first {
				if !d.lapsed && v > d.version && d.at.Sub(at) > most {
					most = d.at.Sub(at)
				}
			}
		}
	}
	return most
}

// stands waits until a process says that a version is active at so many.
func stands(t *testing.T, r *experiment.Rig, i, version, at int) {
	t.Helper()
	want := fmt.Sprintf("active: version %d at %d of 5", version, at)
	got := ""
	if _, ok := experiment.Until(ownersPatience, func() bool {
		rep, err := r.Owners(i, owneragent.Request{Command: "rules", Rules: rules.QueryActive()})
		got = fmt.Sprint(rep.Answer, rep.Error, err)
		return strings.HasPrefix(got, want)
	}); !ok {
		t.Fatalf("%q, expected %q", got, want)
	}
}

// waitActsBy waits until a process acts by a version, as its own log says. The answer "active: version N at 5 of 5" counts who holds a lease:
// a lease by the version before may go on for the time of agreement.
func waitActsBy(t *testing.T, r *experiment.Rig, i, version int) {
	t.Helper()
	want := fmt.Sprintf("version=%d ", version)
	last := ""
	if _, ok := experiment.Until(ownersPatience, func() bool {
		if lines := r.Procs[i].Log("event=rules_activated"); len(lines) > 0 {
			last = lines[len(lines)-1]
		}
		return strings.Contains(last, want)
	}); !ok {
		t.Fatalf("n%d does not act by version %d: %q", i, version, last)
	}
}

// propose puts a change by way of a process, as an administrator does, and gives exit status and answer.
func propose(t *testing.T, r *experiment.Rig, i, against int, text string, more ...string) string {
	p := filepath.Join(r.Dir(i), fmt.Sprintf("rules-%d-%d.sexp", against, len(text)))
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Error(err)
	}
	out, code := command(t, append([]string{"rules", "put", p, "--against", fmt.Sprint(against), "--socket", filepath.Join(r.Dir(i), "owners.sock")}, more...)...)
	return fmt.Sprintf("%d %s", code, out)
}

// open asks for a connection and gives the answer; "" where there was none.
func open(addr, id string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "OPEN %s 7f3a9c21e0b4d655 c=lab,d=200\r\n", id)
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

// answered is propose until somebody knows: an answer may be lost, or its keeper has just changed. The same once more is as once.
func answered(t *testing.T, r *experiment.Rig, i, against int, text string, more ...string) (got string) {
	t.Helper()
	if _, ok := experiment.Until(2*ownersPatience, func() bool {
		got = propose(t, r, i, against, text, more...)
		return !strings.Contains(got, "unknown") && !strings.Contains(got, "ask again")
	}); !ok {
		t.Errorf("against version %d nobody has an answer: %q", against, got)
	}
	return got
}
