package command

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// Five processes of the program with faults between them: what may never happen does not, and what has happened is known to all in
// the end. Plans are printed with a failure, in the form in which they can be played again.
func TestMembersAmongProcesses(t *testing.T) {
	env := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}
	r, err := experiment.NewRig(env, 5, 1, "0123456789abcdef0123456789abcdef", "CROFTLOCK_TEST_RUN=1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	const patience = 40 * time.Second
	whole := func(after string) {
		t.Helper()
		if _, ok := r.AllAlive(patience); !ok {
			t.Fatalf("after %s not all hold all for alive", after)
		}
	}
	whole("the start")

	// Lost, doubled, late and spoilt datagrams, and a process that sleeps for a second: nobody is given up.
	plan := []simulation.Fault{{Kind: "loss", StartMS: 0, DurationMS: 3000, Amount: 0.2}, {Kind: "twice", StartMS: 500, DurationMS: 3000, Amount: 0.3}, {Kind: "garbage", StartMS: 0, DurationMS: 3000, Amount: 0.1},
		{Kind: "pause", StartMS: 800, DurationMS: 1000, Process: 1}, {Kind: "slow", StartMS: 1000, DurationMS: 2000}}
	again, err := experiment.ReadPlan("plan", []byte(experiment.PlanText(plan)), 5)
	if err != nil || !slices.Equal(again, plan) {
		t.Fatalf("a plan is not read as it is printed: %v, %v", again, err)
	}
	if err := r.Play(plan); err != nil {
		t.Fatal(err)
	}
	for i, p := range r.Procs {
		if lines := slices.Concat(p.Log("to=unreachable"), p.Log("to=gone")); len(lines) > 0 {
			t.Errorf("n%d gives somebody up: %s\n%s", i, lines, experiment.PlanText(plan))
		}
	}
	whole("the faults that nobody dies of")

	// A one-sided cut is a fact about a link.
	r.Play([]simulation.Fault{{Kind: "one-way", Process: 1, Destination: 2}})
	named := func() bool {
		rep, err := r.Ask(0)
		for _, m := range rep.Members {
			if m.Slot == 2 && err == nil && len(m.Unheard) == 1 && m.Name == "n2" && m.Unheard[0] == "n1" {
				return true
			}
		}
		return false
	}
	plan = []simulation.Fault{{Kind: "one-way", StartMS: 0, DurationMS: 4000, Process: 1, Destination: 2}}
	done := make(chan error, 1)
	go func() { done <- r.Play(plan) }()
	if _, ok := experiment.Until(patience, func() bool { return named() || len(done) > 0 }); !ok || !named() && len(done) > 0 {
		t.Errorf("n2 does not hear n1, and does not say so\n%s", experiment.PlanText(plan))
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
	if _, ok := experiment.Until(patience, func() bool { rep, err := r.Ask(0); return err == nil && rep.Counts["unsealed"] >= 50 }); !ok {
		t.Error("forged datagrams are not refused")
	}
	if after, err := r.Ask(0); err != nil || after.Digest != before.Digest {
		t.Errorf("a flood of forged datagrams changes the view: %v", err)
	}

	// A disk that is full is said in the log, and ends nothing.
	full := []simulation.Fault{{Kind: "full", DurationMS: 3000, Process: 1}}
	go func() { done <- r.Play(full) }()
	experiment.Until(patience, func() bool {
		r.Suspend(1, true)
		r.Suspend(1, false)
		return len(r.Procs[1].Log("event=state_not_saved")) > 0
	})
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if len(r.Procs[1].Log("event=state_not_saved")) == 0 {
		t.Errorf("a full disk is not told\n%s", experiment.PlanText(full))
	}
	whole("a full disk")

	// A process that takes another's place is the same member, with a new life.
	if err := r.Replace(0); err != nil {
		t.Fatal(err)
	}
	whole("a replaced process")
	for _, p := range r.Procs[1:] {
		if lines := slices.Concat(p.Log("name=n0 from=alive to=unreachable"), p.Log("name=n0 from=alive to=left")); len(lines) > 0 {
			t.Errorf("a replaced process is taken for lost: %s", lines)
		}
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

// Where members come and go, two addresses are enough to begin with: the third process and the fourth find one another by what the
// seeds tell.
func TestMembersFindOneAnotherBySeeds(t *testing.T) {
	env, dir := &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, t.TempDir()
	mesh, err := fake.NewMesh(4, 1) // for addresses that are free
	if err != nil {
		t.Fatal(err)
	}
	socket := func(i int) string { return filepath.Join(dir, fmt.Sprint("n", i)) }
	at := []string{mesh.Own(0), mesh.Own(1), mesh.Own(2), mesh.Own(3)}
	mesh.Close()
	for i := range 4 {
		path := socket(i) + ".sexp"
		text := fmt.Sprintf("(membership (on on) (listen %q) (seeds %q) (base 4) (socket %q))", at[i], at[0]+" "+at[1], socket(i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := env.Proxy(experiment.Setup{Name: fmt.Sprint("n", i), Discovery: "127.0.0.1:1", Known: fake.List{Rev: 1, All: true, Targets: []fake.Entry{}},
			Settings: path, Sockets: 256, MemoryMB: 64, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
	}
	for i := range 4 {
		if _, ok := experiment.Until(40*time.Second, func() bool {
			rep, err := memberagent.RequestReport(socket(i))
			alive := 0
			for _, m := range rep.Members {
				if m.State == membership.Alive.String() && m.HeardMS >= 0 {
					alive++
				}
			}
			return err == nil && alive == 3 && rep.Quorum
		}); !ok {
			rep, err := memberagent.RequestReport(socket(i))
			t.Errorf("n%d has not found all others: %+v, %v", i, rep, err)
		}
	}
}
