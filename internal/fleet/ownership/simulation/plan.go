package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Fault is one in a plan.
type Fault struct {
	Kind    string
	At, For Time
	A, B    int
	Part    float64
}

func (f Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", f.Kind, f.At/Ms, f.For/Ms, f.A, f.B, f.Part)
}

// Kinds are the faults that a plan may hold.
var Kinds = []string{"pause", "kill", "all-killed", "cut", "one-way", "deaf", "mute", "halves", "loss", "held-back", "full", "copy-back", "clock", "leave"}

// Plan draws one.
func Plan(rng *rand.Rand, c Config) (plan []Fault) {
	n := 1 + rng.IntN(6)
	for range n {
		f := Fault{Kind: Kinds[rng.IntN(len(Kinds))], At: rng.Int64N(c.Lasts), For: 100*Ms + rng.Int64N(8*Sec), A: rng.IntN(c.Processes), B: rng.IntN(c.Processes), Part: rng.Float64() * 0.4}
		if f.Kind == "copy-back" && !c.Disks || f.Kind == "full" && !c.Disks || f.A == f.B {
			f.Kind = "pause"
		}
		if rng.IntN(6) == 0 {
			f.For *= 4
		}
		plan = append(plan, f)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}
