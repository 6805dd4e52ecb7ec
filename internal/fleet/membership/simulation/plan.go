package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"croftlock/internal/fleet/membership"
)

// Fault is one line of a plan. Times are milliseconds.
type Fault struct {
	Kind    string
	At, For Time
	A, B    int
	Part    float64
}

// String is the fault as an S-expression, as plans are kept and printed.
func (p Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", p.Kind, p.At, p.For, p.A, p.B, p.Part)
}

// kinds of fault that a random plan draws from.
var kinds = []string{"pause", "kill", "restart", "leave", "cut", "one-way", "deaf", "mute", "loss", "twice", "step", "lame", "slow"}

// Draw makes a plan of some faults within 20 s, from a seed.
func Draw(n int, seed uint64) []Fault {
	r := rand.New(rand.NewPCG(seed, 11))
	plan := make([]Fault, 1+r.IntN(6))
	for i := range plan {
		plan[i] = Fault{Kind: kinds[r.IntN(len(kinds))], At: 3000 + r.Int64N(15000), For: 100 + r.Int64N(8000), A: r.IntN(n), B: r.IntN(n),
			Part: 0.05 + 0.35*r.Float64()}
	}
	return plan
}

// Apply has a plan's faults happen. It gives the time in milliseconds at which the last one has ended.
func (f *Fleet) Apply(plan []Fault) (calm Time) {
	for _, p := range plan {
		calm = max(calm, p.At+p.For)
		begin, end := f.effect(p)
		f.At(p.At*Ms, begin)
		f.At((p.At+p.For)*Ms, end)
	}
	return calm
}

func (f *Fleet) effect(p Fault) (begin, end func()) {
	n := f.Nodes[p.A]
	set := func(to *bool) (func(), func()) { return func() { *to = true }, func() { *to = false } }
	links := func(on bool, both bool) func() {
		return func() {
			for j := range f.Nodes {
				if j != p.A && (p.Kind == "cut" || j == p.B) {
					f.Cut[[2]int{p.A, j}] = on
					if both {
						f.Cut[[2]int{j, p.A}] = on
					}
				}
			}
		}
	}
	nothing := func() {}
	switch p.Kind {
	case "pause":
		return func() { f.Pause(p.A) }, func() { f.Wake(p.A) }
	case "kill":
		return func() { f.Kill(p.A) }, nothing
	case "restart":
		return func() { f.Kill(p.A) }, func() { f.Start(p.A) }
	case "leave":
		return func() { f.Leave(p.A) }, nothing
	case "cut":
		return links(true, true), links(false, true)
	case "one-way":
		return links(true, false), links(false, false)
	case "deaf":
		return set(&n.Deaf)
	case "mute":
		return set(&n.Mute)
	case "lame":
		return set(&n.Lame)
	case "loss":
		return func() { f.Loss = p.Part }, func() { f.Loss = 0 }
	case "twice":
		return func() { f.Twice = p.Part }, func() { f.Twice = 0 }
	case "slow":
		return func() { f.Jitter = 100 * Ms }, func() { f.Jitter = 2 * Ms }
	case "step":
		return func() { n.Step = Time((p.Part - 0.2) * 300 * float64(Sec)) }, func() { n.Step = 0 }
	}
	panic("no such fault: " + p.Kind)
}

// Settle is how long after the last fault all views are alike at the latest, whatever came before.
const Settle = 20 * Sec

// Play plays a random plan from a seed and tells what went wrong: what may never happen, or views that do not agree in time.
func Play(seed uint64, plant membership.Config) (plan []Fault, broken string) {
	n := 3 + int(seed%6)
	plan = Draw(n, seed)
	f := New(n, seed, plant)
	calm := f.Apply(plan)
	f.Run(calm*Ms + Settle)
	if f.Broken != "" {
		return plan, f.Broken
	}
	if up := f.up(); 2*up <= n {
		return plan, "" // with the majority dead nobody is given up for good, and views rest on what each saw last
	}
	return plan, f.Agreed()
}

func (f *Fleet) up() (n int) {
	for _, x := range f.Nodes {
		if x.Up {
			n++
		}
	}
	return n
}

// Known tells whether there is such a fault. Spoilt datagrams (garbage) and a full disk (full) are for real processes only, whose
// datagrams can be sealed and who have a disk.
func Known(kind string) bool {
	return slices.Contains(kinds, kind) || kind == "garbage" || kind == "full"
}
