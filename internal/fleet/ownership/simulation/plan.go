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
	A, B    int     // processes
	Part    float64 // of loss, or how far a clock is set
}

// String gives the fault as an S-expression, times in milliseconds.
func (f Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", f.Kind, f.At/Ms, f.For/Ms, f.A, f.B, f.Part)
}

// Kinds of faults.
const (
	faultPause     = "pause"      // A sleeps
	faultKill      = "kill"       // A dies, now and then with its disk
	faultAllKilled = "all-killed" // all die
	faultCut       = "cut"        // A's links are cut
	faultOneWay    = "one-way"    // the link from A to B is cut
	faultDeaf      = "deaf"       // A hears nobody
	faultMute      = "mute"       // nobody hears A
	faultHalves    = "halves"     // the fleet falls in two
	faultLoss      = "loss"       // messages are lost, doubled and late
	faultHeldBack  = "held-back"  // A's messages arrive at the end
	faultFull      = "full"       // A's disk is full
	faultCopyBack  = "copy-back"  // A's disk is copied, and put back at the end
	faultClock     = "clock"      // A's wall clock is set
	faultLeave     = "leave"      // A ends in order
)

// Kinds are the faults that a plan may hold, in the order in which they are drawn.
var Kinds = []string{faultPause, faultKill, faultAllKilled, faultCut, faultOneWay, faultDeaf, faultMute, faultHalves, faultLoss, faultHeldBack, faultFull, faultCopyBack, faultClock, faultLeave}

const (
	maxFaults      = 6
	minFaultTime   = 100 * Ms
	faultTimeRange = 8 * Sec
	maxPart        = 0.4
	// longOneIn of the faults last longTimes as long.
	longOneIn = 6
	longTimes = 4
)

// Plan draws faults, in the order of their begin.
func Plan(rng *rand.Rand, c Config) (plan []Fault) {
	n := 1 + rng.IntN(maxFaults)
	for range n {
		plan = append(plan, drawFault(rng, c))
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

func drawFault(rng *rand.Rand, c Config) Fault {
	f := Fault{
		Kind: Kinds[rng.IntN(len(Kinds))],
		At:   rng.Int64N(c.Lasts),
		For:  minFaultTime + rng.Int64N(faultTimeRange),
		A:    rng.IntN(c.Processes),
		B:    rng.IntN(c.Processes),
		Part: rng.Float64() * maxPart,
	}
	needsDisk := f.Kind == faultCopyBack || f.Kind == faultFull
	if needsDisk && !c.Disks || f.A == f.B {
		f.Kind = faultPause
	}
	if rng.IntN(longOneIn) == 0 {
		f.For *= longTimes
	}
	return f
}
