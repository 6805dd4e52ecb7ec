package simulation

import (
	"os"
	"strconv"
	"testing"

	"croftlock/internal/fleet/membership"
)

// TestRandomPlans runs random plans. MEMBERSHIP_SEEDS sets the number of plans, MEMBERSHIP_FIRST the
// first seed.
func TestRandomPlans(t *testing.T) {
	seeds := 300
	if s, err := strconv.Atoi(os.Getenv("MEMBERSHIP_SEEDS")); err == nil {
		seeds = s
	}
	first, _ := strconv.ParseUint(os.Getenv("MEMBERSHIP_FIRST"), 10, 32)
	failed := 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		if plan, violation := RunRandomPlan(seed, membership.Config{}); violation != "" {
			if failed++; failed <= 5 {
				t.Errorf("seed %d: %s, with the plan\n%v", seed, violation, plan)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d random plans violate an invariant", failed, seeds)
	}
}

// TestInjectedFaults checks that the invariants detect processes that ignore incarnations, and
// processes that do not detect their own pauses.
func TestInjectedFaults(t *testing.T) {
	for name, config := range map[string]membership.Config{"incarnation ignored": {IgnoreIncarnation: true}, "own pause not detected": {IgnorePause: true}} {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			if _, violation := RunRandomPlan(seed, config); violation != "" {
				t.Logf("%s: seed %d, %s", name, seed, violation)
				found = true
			}
		}
		if !found {
			t.Errorf("injected fault %q violates no invariant in 200 plans", name)
		}
	}
}

// processFault returns a fault of one process, given by its number. start and duration are in milliseconds.
func processFault(kind string, start, duration Time, process int) Fault {
	return Fault{Kind: kind, StartMS: start, DurationMS: duration, Process: process}
}

// TestHardCases checks for each case that no invariant is violated, that no running process that receives
// datagrams sees a process of neverGone as gone, and that the views agree at the end if none is lost.
func TestHardCases(t *testing.T) {
	all := []int{0, 1, 2, 3, 4}
	for _, c := range []struct {
		name      string
		plan      []Fault
		loss      float64 // probability that a datagram is lost
		neverGone []int   // processes that no process may see as gone
		until     Time    // end of the run, in seconds since its start
	}{
		{"a pause of 0.2 s", []Fault{processFault(faultPause, 5000, 200, 1)}, 0, all, 15},
		{"a pause of 2 s", []Fault{processFault(faultPause, 5000, 2000, 1)}, 0, all, 15},
		{"a pause of 10 s", []Fault{processFault(faultPause, 5000, 10000, 1)}, 0, all, 30},
		{"a pause of 60 s", []Fault{processFault(faultPause, 5000, 60000, 1)}, 0, []int{0, 2, 3, 4}, 90},
		{"all but one paused", []Fault{processFault(faultPause, 5000, 20000, 1), processFault(faultPause, 5000, 20000, 2),
			processFault(faultPause, 5000, 20000, 3), processFault(faultPause, 5000, 20000, 4)}, 0, all, 50},
		{"a fifth of all datagrams lost", nil, 0.2, all, 120},
		{"two fifths of all datagrams lost", nil, 0.4, all, 120},
		{"a one-way cut", []Fault{{Kind: faultOneWay, StartMS: 5000, DurationMS: 30000, Process: 1, Destination: 2}}, 0, all, 60},
		{"a process that receives nothing", []Fault{processFault(faultDeaf, 5000, 30000, 1)}, 0, []int{0, 2, 3, 4}, 60},
		{"a process that sends nothing", []Fault{processFault(faultMute, 5000, 30000, 1)}, 0, []int{0, 2, 3, 4}, 60},
		{"a repeated cut", []Fault{processFault(faultCut, 5000, 2500, 1), processFault(faultCut, 10000, 2500, 1),
			processFault(faultCut, 15000, 2500, 1), processFault(faultCut, 20000, 2500, 1)}, 0, all, 50},
		{"a quick restart", []Fault{processFault(faultRestart, 5000, 100, 1)}, 0, all, 15},
		{"all restarted within 2 s", []Fault{processFault(faultRestart, 5000, 500, 0), processFault(faultRestart, 5300, 500, 1),
			processFault(faultRestart, 5600, 500, 2), processFault(faultRestart, 6000, 500, 3), processFault(faultRestart, 6400, 500, 4)}, 0, all, 20},
		{"a wall clock a minute ahead, and set back", []Fault{{Kind: faultStep, StartMS: 5000, DurationMS: 10000, Process: 1, Amount: 0.4}, {Kind: faultStep, StartMS: 20000, DurationMS: 5000, Process: 1, Amount: 0}}, 0, all, 40},
		{"a process that gets only every second turn", []Fault{processFault(faultSlow, 3000, 40000, 1)}, 0, all, 60},
		{"datagrams late, duplicated and out of order", []Fault{{Kind: faultDelay, StartMS: 3000, DurationMS: 30000}, {Kind: faultDuplication, StartMS: 3000, DurationMS: 30000, Amount: 0.4}}, 0, all, 50},
	} {
		for seed := range uint64(5) {
			f := New(5, seed, membership.Config{})
			f.Loss = c.loss
			f.Apply(c.plan)
			for at := 2 * Sec; at < c.until*Sec; at += Sec / 4 {
				f.Schedule(at, func() { f.checkNotGone(c.neverGone) })
			}
			f.Run(c.until * Sec)
			if f.Violation != "" {
				t.Errorf("%s, seed %d: %s", c.name, seed, f.Violation)
			} else if disagreement := f.Disagreement(); disagreement != "" && c.loss == 0 {
				t.Errorf("%s, seed %d: %s", c.name, seed, disagreement)
			}
		}
	}
}

// checkNotGone records a violation if an awake process that receives datagrams sees one of processes as gone.
func (f *Fleet) checkNotGone(processes []int) {
	for i, n := range f.Nodes {
		for _, j := range processes {
			if i != j && n.Running && !n.Paused && !n.Deaf && f.StateOf(i, j) == membership.Gone {
				f.recordViolation("n%d sees n%d as gone", i, j)
			}
		}
	}
}

// TestPartition checks that the minority side of a partition marks no member as gone, that the majority
// side marks the others as gone, and that the views agree after the partition without a restart.
func TestPartition(t *testing.T) {
	for seed := range uint64(5) {
		f := New(5, seed, membership.Config{})
		cut := func(on bool) func() {
			return func() {
				for _, i := range []int{0, 1} {
					for _, j := range []int{2, 3, 4} {
						f.CutLinks[link{i, j}], f.CutLinks[link{j, i}] = on, on
					}
				}
			}
		}
		f.Schedule(5*Sec, cut(true))
		f.Run(25 * Sec)
		if q0, q2 := f.Nodes[0].Core.Quorum(), f.Nodes[2].Core.Quorum(); q0 || !q2 {
			t.Errorf("seed %d: quorum %t with two of five and %t with three, want false, true", seed, q0, q2)
		}
		for j := 2; j < 5; j++ {
			if s := f.StateOf(0, j); s != membership.Unreachable {
				t.Errorf("seed %d: the minority sees n%d as %s, want %s", seed, j, s, membership.Unreachable)
			}
		}
		if s := f.StateOf(2, 0); s != membership.Gone {
			t.Errorf("seed %d: the majority sees n0 as %s after 20 s, want %s", seed, s, membership.Gone)
		}
		f.Schedule(f.now, cut(false))
		f.Run(30 * Sec)
		if disagreement := f.Disagreement(); disagreement != "" || f.Violation != "" {
			t.Errorf("seed %d, 5 s after the partition: disagreement %q, violation %q", seed, disagreement, f.Violation)
		}
	}
}

// TestUnheardNamesTheLink checks that during a one-way cut the process that does not hear the other lists it
// as unheard, and that all members stay alive.
func TestUnheardNamesTheLink(t *testing.T) {
	f := New(5, 3, membership.Config{})
	f.Apply([]Fault{{Kind: faultOneWay, StartMS: 5000, DurationMS: 60000, Process: 1, Destination: 2}})
	f.Run(8 * Sec)
	for _, m := range f.Nodes[0].Core.View() {
		if m.ID == membership.ID("n2") && (len(m.Unheard) != 1 || m.Unheard[0] != membership.ID("n1")) {
			t.Errorf("n2 lists %08x as unheard 3 s after the cut, want only n1, %08x", m.Unheard, membership.ID("n1"))
		}
		if m.State != membership.Alive {
			t.Errorf("member %08x is %s, want alive", m.ID, m.State)
		}
	}
}

// TestLeftIsNotUnreachable checks that a graceful shutdown is seen as left, and a death as unreachable.
func TestLeftIsNotUnreachable(t *testing.T) {
	f := New(5, 4, membership.Config{})
	f.Schedule(5*Sec, func() { f.Leave(1) })
	f.Schedule(5*Sec, func() { f.Kill(2) })
	f.Run(6 * Sec)
	if s := f.StateOf(0, 1); s != membership.Left {
		t.Errorf("a process that shut down gracefully is seen as %s, want %s", s, membership.Left)
	}
	f.Run(10 * Sec)
	if s, l := f.StateOf(0, 2), f.StateOf(0, 1); s != membership.Unreachable || l != membership.Left {
		t.Errorf("a killed process is seen as %s, one that shut down gracefully as %s; want %s, %s", s, l, membership.Unreachable, membership.Left)
	}
}

// TestManyKilledAtOnce checks that after three of five processes are killed, the other two have no
// majority and see them only as unreachable, and that after three of seven are killed, the other four
// see them as gone.
func TestManyKilledAtOnce(t *testing.T) {
	for _, c := range []struct {
		n    int
		want membership.State
	}{{5, membership.Unreachable}, {7, membership.Gone}} {
		f := New(c.n, 5, membership.Config{})
		for i := range 3 {
			f.Schedule(5*Sec, func() { f.Kill(i) })
		}
		f.Run(25 * Sec)
		for i := range 3 {
			if s := f.StateOf(c.n-1, i); s != c.want {
				t.Errorf("three of %d processes killed: n%d is %s after 20 s, want %s", c.n, i, s, c.want)
			}
		}
		if q := f.Nodes[c.n-1].Core.Quorum(); q != (c.want == membership.Gone) {
			t.Errorf("three of %d processes killed: quorum %t, want %t", c.n, q, c.want == membership.Gone)
		}
	}
}

// TestRollingRestart checks that no member is seen as gone while each process in turn restarts with a new
// incarnation.
func TestRollingRestart(t *testing.T) {
	f := New(7, 6, membership.Config{})
	gone := 0
	f.OnChange = func(at int, c membership.Change) {
		if c.NewState == membership.Gone {
			gone++
		}
	}
	var plan []Fault
	for i := range 7 {
		plan = append(plan, Fault{Kind: faultRestart, StartMS: 5000 + 2000*int64(i), DurationMS: 800, Process: i})
	}
	endMS := f.Apply(plan)
	f.Run(endMS*Ms + 5*Sec)
	if disagreement := f.Disagreement(); disagreement != "" || f.Violation != "" || gone > 0 {
		t.Errorf("disagreement %q, violation %q, members seen as gone %d times, want none", disagreement, f.Violation, gone)
	}
}

// TestJoiningBySeeds checks that processes that know two addresses at first learn those of the others,
// and that the views agree after one process has joined late and one has left, and after both seeds have
// restarted.
func TestJoiningBySeeds(t *testing.T) {
	for seed := range uint64(5) {
		f := New(12, seed, membership.Config{FleetSize: 12})
		f.Seeds = 2
		f.Schedule(Sec, func() { f.Kill(11) })
		f.Run(10 * Sec)
		if disagreement := f.Disagreement(); disagreement != "" {
			t.Errorf("seed %d, after 10 s: %s", seed, disagreement)
		}
		f.Schedule(f.now, func() { f.Start(11) })
		f.Schedule(f.now, func() { f.Leave(10) })
		f.Run(15 * Sec)
		if disagreement := f.Disagreement(); disagreement != "" {
			t.Errorf("seed %d, after one process started and one shut down: %s", seed, disagreement)
		}
		f.Apply([]Fault{processFault(faultRestart, 16000, 500, 0), processFault(faultRestart, 16000, 800, 1)})
		f.Run(30 * Sec)
		if disagreement := f.Disagreement(); disagreement != "" || f.Violation != "" {
			t.Errorf("seed %d, after both seeds restarted: disagreement %q, violation %q", seed, disagreement, f.Violation)
		}
	}
}
