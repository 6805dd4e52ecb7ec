package simulation

import (
	"os"
	"strconv"
	"testing"

	"croftlock/internal/fleet/membership"
)

// TestRandomPlans plays random plans; MEMBERSHIP_SEEDS sets how many, MEMBERSHIP_FIRST from which seed on.
func TestRandomPlans(t *testing.T) {
	seeds := 300
	if s, err := strconv.Atoi(os.Getenv("MEMBERSHIP_SEEDS")); err == nil {
		seeds = s
	}
	first, _ := strconv.ParseUint(os.Getenv("MEMBERSHIP_FIRST"), 10, 32)
	bad := 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		if plan, broken := Play(seed, membership.Config{}); broken != "" {
			if bad++; bad <= 5 {
				t.Errorf("seed %d: %s\n%v", seed, broken, plan)
			}
		}
	}
	if bad > 0 {
		t.Errorf("%d of %d", bad, seeds)
	}
}

// TestPlantedFaultsAreFound: a process that forgets lives, and one that does not notice its own sleep, are found by the same checks.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, plant := range map[string]membership.Config{"incarnation ignored": {IgnoreIncarnation: true}, "own pause not noticed": {IgnorePause: true}} {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			if _, broken := Play(seed, plant); broken != "" {
				t.Logf("%s: seed %d, %s", name, seed, broken)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: 200 seeds show nothing", name)
		}
	}
}

// Each of the hard cases by itself: what may never happen does not, nobody who is there is given up, and views agree at the end.
func TestHardCases(t *testing.T) {
	gone := func(f *Fleet, who ...int) func() {
		return func() {
			for i, n := range f.Nodes {
				for _, j := range who {
					if i != j && n.Up && !n.Asleep && !n.Deaf && f.Sees(i, j) == membership.Gone {
						f.fail("n%d holds n%d for gone", i, j)
					}
				}
			}
		}
	}
	all := []int{0, 1, 2, 3, 4}
	for _, c := range []struct {
		name  string
		plan  []Fault
		loss  float64
		stays []int // whom nobody may hold for gone, at any time
		until Time
	}{
		{"a pause of 0.2 s", []Fault{{Kind: "pause", At: 5000, For: 200, A: 1}}, 0, all, 15},
		{"a pause of 2 s", []Fault{{Kind: "pause", At: 5000, For: 2000, A: 1}}, 0, all, 15},
		{"a pause of 10 s", []Fault{{Kind: "pause", At: 5000, For: 10000, A: 1}}, 0, all, 30},
		{"a pause of 60 s", []Fault{{Kind: "pause", At: 5000, For: 60000, A: 1}}, 0, []int{0, 2, 3, 4}, 90},
		{"all but one paused", []Fault{{Kind: "pause", At: 5000, For: 20000, A: 1}, {Kind: "pause", At: 5000, For: 20000, A: 2},
			{Kind: "pause", At: 5000, For: 20000, A: 3}, {Kind: "pause", At: 5000, For: 20000, A: 4}}, 0, all, 50},
		{"a fifth of all lost", nil, 0.2, all, 120},
		{"two fifths of all lost", nil, 0.4, all, 120},
		{"a one-sided cut", []Fault{{Kind: "one-way", At: 5000, For: 30000, A: 1, B: 2}}, 0, all, 60},
		{"one that is deaf", []Fault{{Kind: "deaf", At: 5000, For: 30000, A: 1}}, 0, []int{0, 2, 3, 4}, 60},
		{"one that is mute", []Fault{{Kind: "mute", At: 5000, For: 30000, A: 1}}, 0, []int{0, 2, 3, 4}, 60},
		{"a cut that comes again", []Fault{{Kind: "cut", At: 5000, For: 2500, A: 1}, {Kind: "cut", At: 10000, For: 2500, A: 1},
			{Kind: "cut", At: 15000, For: 2500, A: 1}, {Kind: "cut", At: 20000, For: 2500, A: 1}}, 0, all, 50},
		{"a quick restart", []Fault{{Kind: "restart", At: 5000, For: 100, A: 1}}, 0, all, 15},
		{"all restarted within 2 s", []Fault{{Kind: "restart", At: 5000, For: 500, A: 0}, {Kind: "restart", At: 5300, For: 500, A: 1},
			{Kind: "restart", At: 5600, For: 500, A: 2}, {Kind: "restart", At: 6000, For: 500, A: 3}, {Kind: "restart", At: 6400, For: 500, A: 4}}, 0, all, 20},
		{"a clock a minute off, and back", []Fault{{Kind: "step", At: 5000, For: 10000, A: 1, Part: 0.4}, {Kind: "step", At: 20000, For: 5000, A: 1, Part: 0}}, 0, all, 40},
		{"each second turn only", []Fault{{Kind: "lame", At: 3000, For: 40000, A: 1}}, 0, all, 60},
		{"all late and out of order", []Fault{{Kind: "slow", At: 3000, For: 30000}, {Kind: "twice", At: 3000, For: 30000, Part: 0.4}}, 0, all, 50},
	} {
		for seed := range uint64(5) {
			f := New(5, seed, membership.Config{})
			f.Loss = c.loss
			f.Apply(c.plan)
			for at := 2 * Sec; at < c.until*Sec; at += Sec / 4 {
				f.At(at, gone(f, c.stays...))
			}
			f.Run(c.until * Sec)
			if f.Broken != "" {
				t.Errorf("%s, seed %d: %s", c.name, seed, f.Broken)
			} else if why := f.Agreed(); why != "" && c.loss == 0 {
				t.Errorf("%s, seed %d: %s", c.name, seed, why)
			}
		}
	}
}

// A partition keeps what both sides knew: neither gives the other up while it is the smaller one, and they heal without a new life.
func TestPartition(t *testing.T) {
	for seed := range uint64(5) {
		f := New(5, seed, membership.Config{})
		cut := func(on bool) func() {
			return func() {
				for _, i := range []int{0, 1} {
					for _, j := range []int{2, 3, 4} {
						f.Cut[[2]int{i, j}], f.Cut[[2]int{j, i}] = on, on
					}
				}
			}
		}
		f.At(5*Sec, cut(true))
		f.Run(25 * Sec)
		if q0, q2 := f.Nodes[0].Core.Quorum(), f.Nodes[2].Core.Quorum(); q0 || !q2 {
			t.Errorf("seed %d: quorum %t with two of five, %t with three", seed, q0, q2)
		}
		for j := 2; j < 5; j++ {
			if s := f.Sees(0, j); s != membership.Unreachable {
				t.Errorf("seed %d: the smaller side holds n%d for %s", seed, j, s)
			}
		}
		if s := f.Sees(2, 0); s != membership.Gone {
			t.Errorf("seed %d: the larger side holds n0 for %s after 20 s", seed, s)
		}
		f.At(f.now, cut(false))
		f.Run(30 * Sec)
		if why := f.Agreed(); why != "" || f.Broken != "" {
			t.Errorf("seed %d, 5 s after healing: %s %s", seed, why, f.Broken)
		}
	}
}

// A one-sided cut is a fact about a link: whoever does not hear says whom, and nobody is held for less than alive.
func TestReachNamesTheLink(t *testing.T) {
	f := New(5, 3, membership.Config{})
	f.Apply([]Fault{{Kind: "one-way", At: 5000, For: 60000, A: 1, B: 2}})
	f.Run(8 * Sec)
	for _, m := range f.Nodes[0].Core.View() {
		if m.ID == membership.ID("n2") && (len(m.Unheard) != 1 || m.Unheard[0] != membership.ID("n1")) {
			t.Errorf("n2 does not hear n1, 3 s after the cut it says %v", m.Unheard)
		}
		if m.State != membership.Alive {
			t.Errorf("%d is %s", m.ID, m.State)
		}
	}
}

// Leaving in order is told apart from being lost.
func TestLeftIsNotLost(t *testing.T) {
	f := New(5, 4, membership.Config{})
	f.At(5*Sec, func() { f.Leave(1) })
	f.At(5*Sec, func() { f.Kill(2) })
	f.Run(6 * Sec)
	if s := f.Sees(0, 1); s != membership.Left {
		t.Errorf("one that left is held for %s", s)
	}
	f.Run(10 * Sec)
	if s, l := f.Sees(0, 2), f.Sees(0, 1); s != membership.Unreachable || l != membership.Left {
		t.Errorf("one that was killed is held for %s, one that left for %s", s, l)
	}
}

// Three of five killed at once: the two that are left hold them for unreachable and give nobody up, having no majority. Three of
// seven: the four do.
func TestManyKilledAtOnce(t *testing.T) {
	for _, c := range []struct {
		n    int
		want membership.State
	}{{5, membership.Unreachable}, {7, membership.Gone}} {
		f := New(c.n, 5, membership.Config{})
		for i := range 3 {
			f.At(5*Sec, func() { f.Kill(i) })
		}
		f.Run(25 * Sec)
		for i := range 3 {
			if s := f.Sees(c.n-1, i); s != c.want {
				t.Errorf("of %d: n%d is %s after 20 s, want %s", c.n, i, s, c.want)
			}
		}
		if q := f.Nodes[c.n-1].Core.Quorum(); q != (c.want == membership.Gone) {
			t.Errorf("of %d with three killed: quorum %t", c.n, q)
		}
	}
}

// A rolling restart of all: each comes back as a new life, nobody else is ever given up.
func TestRollingRestart(t *testing.T) {
	f := New(7, 6, membership.Config{})
	wrong := 0
	f.Changes = func(at int, c membership.Change) {
		if c.To == membership.Gone {
			wrong++
		}
	}
	var plan []Fault
	for i := range 7 {
		plan = append(plan, Fault{Kind: "restart", At: 5000 + 2000*int64(i), For: 800, A: i})
	}
	calm := f.Apply(plan)
	f.Run(calm*Ms + 5*Sec)
	if why := f.Agreed(); why != "" || f.Broken != "" || wrong > 0 {
		t.Errorf("%s %s, %d given up", why, f.Broken, wrong)
	}
}

// Where members come and go they know two addresses at first and learn the others'; one that comes late is known to all, one that
// leaves makes room, and after both seeds were restarted all find together again.
func TestJoiningBySeeds(t *testing.T) {
	for seed := range uint64(5) {
		f := New(12, seed, membership.Config{FleetSize: 12})
		f.Seeds = 2
		f.At(Sec, func() { f.Kill(11) })
		f.Run(10 * Sec)
		if why := f.Agreed(); why != "" {
			t.Errorf("seed %d: %s", seed, why)
		}
		f.At(f.now, func() { f.Start(11) })
		f.At(f.now, func() { f.Leave(10) })
		f.Run(15 * Sec)
		if why := f.Agreed(); why != "" {
			t.Errorf("seed %d, after one came and one left: %s", seed, why)
		}
		f.Apply([]Fault{{Kind: "restart", At: 16000, For: 500, A: 0}, {Kind: "restart", At: 16000, For: 800, A: 1}})
		f.Run(30 * Sec)
		if why := f.Agreed(); why != "" || f.Broken != "" {
			t.Errorf("seed %d, after both seeds were restarted: %s %s", seed, why, f.Broken)
		}
	}
}
