package command

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/experiment"
)

// TestTheCheckerFindsAnOverlap: in a log with one it is found, and what was decided without a right does not count.
func TestTheCheckerFindsAnOverlap(t *testing.T) {
	at := time.Unix(1000, 0)
	log := [][]decision{{{at, 1, false}, {at.Add(3 * time.Second), 1, false}, {at.Add(9 * time.Second), 1, true}}, {{at.Add(time.Second), 2, false}}}
	if o := overlap(log); o != 2*time.Second {
		t.Fatalf("%v", o)
	}
}

// TestRulesAmongProcesses: changes while processes are cut off, stopped and killed. From the moment that one acts on a newer version none acts
// on an older one for longer than a second, everyone answers, and all agree again after.
func TestRulesAmongProcesses(t *testing.T) {
	t.Parallel()
	r := ruled(t, "")
	put := func(i, against int, text string) string { return propose(t, r, i, against, text) }
	active := func(i, version, at int) { t.Helper(); stands(t, r, i, version, at) }
	active(0, 0, 5)

	// Requests at every process all the time: each gets an answer.
	var quit atomic.Bool
	var unanswered atomic.Int64
	var wg sync.WaitGroup
	stopped := make([]atomic.Bool, 5)
	for i := range r.Procs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !quit.Load(); n++ {
				if stopped[i].Load() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				if a := open(r.Procs[i].Addr, fmt.Sprintf("%04x%012x", i, n)); a == "" && !stopped[i].Load() {
					unanswered.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	change := func(i, against int, text, want string) {
		t.Helper()
		got := ""
		if _, ok := experiment.Until(ownersPatience, func() bool { got = put(i, against, text); return strings.Contains(got, want) }); !ok {
			t.Fatalf("version %d: %q, expected %q", against+1, got, want)
		}
	}
	refuse := `(rules (refuse all (advice 300ms)))`
	change(3, 0, refuse, "active: version 1 at")
	active(1, 1, 5)
	waitActsBy(t, r, 2, 1)
	if a := open(r.Procs[2].Addr, "feed000000000001"); a != "BUSY 300" {
		t.Errorf("by version 1: %q", a)
	}
	if got := put(4, 0, `(rules (out s0))`); !strings.Contains(got, "refused: it was made against version 0, and 1 is active") {
		t.Errorf("an old base: %q", got)
	}
	if got := put(4, 1, `(rules (refuse a) (refuse b))`); !strings.HasPrefix(got, "1 ") {
		t.Errorf("the same refused twice: %q", got)
	}

	// One is cut off during a change: it acts by nothing once its right has lapsed, and comes back by itself.
	r.Cut(4, true)
	change(0, 1, `(rules (out s1))`, "active: version 2 at 4 of 5; lapsed: n4")
	if a := open(r.Procs[4].Addr, "feed000000000002"); !strings.HasPrefix(a, "BUSY") {
		t.Errorf("cut off, it answers %q", a)
	}
	r.Cut(4, false)
	active(0, 2, 5)

	// One sleeps through a change.
	stopped[3].Store(true)
	r.Procs[3].Signal(syscall.SIGSTOP)
	change(0, 2, refuse, "active: version 3 at")
	r.Procs[3].Signal(syscall.SIGCONT)
	stopped[3].Store(false)
	active(0, 3, 5)

	// The keeper is killed while a change is on its way.
	owner, _ := r.JobOwners()
	k := owner["rules"]
	r.Cut((k+1)%5, true) // holds the change up
	done := make(chan string, 1)
	go func() { done <- put((k+2)%5, 3, `(rules (out s2))`) }()
	time.Sleep(100 * time.Millisecond)
	stopped[k].Store(true)
	before := decisions(t, r.Procs[k])
	r.Procs[k].Kill()
	r.Cut((k+1)%5, false)
	<-done
	if err := r.Start(k); err != nil {
		t.Fatal(err)
	}
	stopped[k].Store(false)
	change((k+2)%5, 3, `(rules (out s2))`, "active: version 4 at")
	active((k+2)%5, 4, 5)
	quit.Store(true)
	wg.Wait()

	all := [][]decision{before}
	n := 0
	for _, p := range r.Procs {
		all = append(all, decisions(t, p))
		n += len(all[len(all)-1])
	}
	o := overlap(all)
	t.Logf("%d decisions, two versions side by side for %v at most", n, o)
	if o > time.Second {
		t.Errorf("two versions side by side for %v", o)
	}
	if n < 100 || unanswered.Load() > 0 {
		t.Errorf("%d decisions, %d requests without an answer", n, unanswered.Load())
	}
}

// TestRulesOutliveAll: every process is killed in the middle of a change; with votes on disks what was active is so again, and the change is
// either done or not, the same everywhere.
func TestRulesOutliveAll(t *testing.T) {
	t.Parallel()
	r := ruled(t, ` (dir "DIR")`)
	stands(t, r, 0, 0, 5)
	got := ""
	if _, ok := experiment.Until(ownersPatience, func() bool {
		got = propose(t, r, 1, 0, `(rules (refuse all (advice 300ms)))`)
		return strings.Contains(got, "active: version 1 at")
	}); !ok {
		t.Fatal(got)
	}
	stands(t, r, 3, 1, 5)
	r.Cut(4, true) // holds the change up
	done := make(chan string, 1)
	go func() { done <- propose(t, r, 2, 1, `(rules (out s1))`) }()
	time.Sleep(150 * time.Millisecond)
	for _, p := range r.Procs {
		p.Kill()
	}
	r.Cut(4, false)
	<-done
	for i := range r.Procs {
		if err := r.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	version := 0
	if _, ok := experiment.Until(ownersPatience, func() bool {
		rep, err := r.Owners(3, owneragent.Request{Command: "rules", Rules: rules.QueryActive()})
		got = fmt.Sprint(rep.Answer, rep.Error, err)
		n, _ := fmt.Sscanf(got, "active: version %d at 5 of 5", &version)
		return n == 1 && !strings.Contains(got, "on its way")
	}); !ok || version < 1 || version > 2 {
		t.Fatalf("after all were killed: %q", got)
	}
	for i, p := range r.Procs {
		waitActsBy(t, r, i, version)
		// One that was starved for a second has no right for a moment, and says BUSY 1000: it is asked again.
		a := ""
		for n := 0; n < 1000 && (a == "" || a == "BUSY 1000"); n++ {
			a = open(p.Addr, fmt.Sprintf("feed%04x%08x", n, i))
			time.Sleep(20 * time.Millisecond)
		}
		if refused := a == "BUSY 300"; refused != (version == 1) {
			t.Errorf("version %d, and n%d answers %q", version, i, a)
		}
	}
}
