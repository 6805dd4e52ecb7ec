package command

import (
	"os"
	"slices"
	"testing"
	"time"

	"croftlock/internal/lab"
	"croftlock/internal/membership"
	"croftlock/internal/membership/virtual"
)

// Five processes of the program with faults between them: what may never happen does not, and what has happened is known to all in
// the end. Plans are printed with a failure, in the form in which they can be played again.
func TestMembersAmongProcesses(t *testing.T) {
	env := &lab.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	r, err := lab.NewRig(env, 5, 1, "0123456789abcdef0123456789abcdef", "CROFTLOCK_TEST_RUN=1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	const patience = 40 * time.Second
	whole := func(after string) {
		t.Helper()
		if _, ok := r.Whole(patience); !ok {
			t.Fatalf("after %s not all hold all for alive", after)
		}
	}
	whole("the start")

	// Lost, doubled, late and spoilt datagrams, and a process that sleeps for a second: nobody is given up.
	plan := []virtual.Fault{{Kind: "loss", At: 0, For: 3000, Part: 0.2}, {Kind: "twice", At: 500, For: 3000, Part: 0.3}, {Kind: "garbage", At: 0, For: 3000, Part: 0.1},
		{Kind: "pause", At: 800, For: 1000, A: 1}, {Kind: "slow", At: 1000, For: 2000}}
	again, err := lab.ReadPlan("plan", []byte(lab.PlanText(plan)), 5)
	if err != nil || !slices.Equal(again, plan) {
		t.Fatalf("a plan is not read as it is printed: %v, %v", again, err)
	}
	if err := r.Play(plan); err != nil {
		t.Fatal(err)
	}
	for i, p := range r.Procs {
		if lines := slices.Concat(p.Log("to=unreachable"), p.Log("to=gone")); len(lines) > 0 {
			t.Errorf("n%d gives somebody up: %s\n%s", i, lines, lab.PlanText(plan))
		}
	}
	whole("the faults that nobody dies of")

	// A one-sided cut is a fact about a link.
	r.Play([]virtual.Fault{{Kind: "one-way", A: 1, B: 2}})
	named := func() bool {
		rep, err := r.Ask(0)
		for _, m := range rep.Members {
			if m.Slot == 2 && err == nil && len(m.Unheard) == 1 {
				return true
			}
		}
		return false
	}
	plan = []virtual.Fault{{Kind: "one-way", At: 0, For: 4000, A: 1, B: 2}}
	done := make(chan error, 1)
	go func() { done <- r.Play(plan) }()
	if _, ok := lab.Until(patience, func() bool { return named() || len(done) > 0 }); !ok || !named() && len(done) > 0 {
		t.Errorf("n2 does not hear n1, and does not say so\n%s", lab.PlanText(plan))
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	whole("a one-sided cut")

	// Forged and replayed datagrams, and those of another version: refused, and nothing changes.
	before, err := r.Ask(0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		d := make([]byte, 20+i%236)
		d[0] = byte(i % 3)
		r.Mesh.Inject(1+i%4, 0, d)
	}
	if _, ok := lab.Until(patience, func() bool { rep, err := r.Ask(0); return err == nil && rep.Counts["unsealed"] >= 50 }); !ok {
		t.Error("forged datagrams are not refused")
	}
	if after, err := r.Ask(0); err != nil || after.Digest != before.Digest {
		t.Errorf("a flood of forged datagrams changes the view: %v", err)
	}

	// One killed, one that leaves: told apart. The killed one comes back as a new life.
	r.Procs[3].Kill()
	if err := r.Procs[4].Stop(); err != nil {
		t.Fatal(err)
	}
	left := []int{0, 1, 2}
	if _, ok := r.AllSee(patience, left, 3, membership.Unreachable.String(), membership.Gone.String()); !ok {
		t.Error("one that was killed is not missed")
	}
	if _, ok := r.AllSee(patience, left, 4, membership.Left.String()); !ok {
		t.Error("one that left in order is not known to have left")
	}
	for _, i := range []int{3, 4} {
		if err := r.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	whole("a restart of both")
}
