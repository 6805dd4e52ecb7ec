package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Fault is one in a plan.
type Fault struct {
	Kind               FaultKind
	BeginsAt, Duration Time
	Process            int     // that it hits
	OtherProcess       int     // at the other end of a link, or of a half of the fleet
	Amount             float64 // probability of loss, or how far a clock is set
}

// String gives the fault as an S-expression, times in milliseconds.
func (f Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", f.Kind, f.BeginsAt/Ms, f.Duration/Ms, f.Process, f.OtherProcess, f.Amount)
}

// FaultKind is what happens to Process, and to OtherProcess where the kind names it.
type FaultKind string

const (
	faultPause     FaultKind = "pause"      // is paused
	faultKill      FaultKind = "kill"       // is killed, now and then with the loss of its disk
	faultAllKilled FaultKind = "all-killed" // all processes are killed
	faultCut       FaultKind = "cut"        // all its links are cut
	faultOneWay    FaultKind = "one-way"    // the link to OtherProcess is cut
	faultDeaf      FaultKind = "deaf"       // receives nothing
	faultMute      FaultKind = "mute"       // sends nothing that arrives
	faultHalves    FaultKind = "halves"     // the fleet is partitioned in two
	faultLoss      FaultKind = "loss"       // messages are lost, duplicated and late
	faultHeldBack  FaultKind = "held-back"  // its messages arrive when the fault ends
	faultFull      FaultKind = "full"       // its disk is full
	faultCopyBack  FaultKind = "copy-back"  // its disk is copied, and replaced by that copy when the fault ends
	faultClock     FaultKind = "clock"      // its wall clock is stepped
	faultLeave     FaultKind = "leave"      // shuts down gracefully
)

// FaultKinds are the faults that a plan may hold, in the order in which they are drawn.
var FaultKinds = []FaultKind{faultPause, faultKill, faultAllKilled, faultCut, faultOneWay, faultDeaf, faultMute, faultHalves, faultLoss, faultHeldBack, faultFull, faultCopyBack, faultClock, faultLeave}

const (
	maxFaults           = 6
	minFaultDuration    = 100 * Ms
	faultDurationSpread = 8 * Sec
	maxAmount           = 0.4
	// longFaultDivisor of the faults last longTimes as long.
	longFaultDivisor = 6
	longFaultFactor  = 4
)

// Plan draws faults, in the order in which they begin.
func Plan(rng *rand.Rand, c Config) (plan []Fault) {
	n := 1 + rng.IntN(maxFaults)
	for range n {
		plan = append(plan, randomFault(rng, c))
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].BeginsAt < plan[j].BeginsAt })
	return plan
}

func randomFault(rng *rand.Rand, c Config) Fault {
	f := Fault{
		Kind:         FaultKinds[rng.IntN(len(FaultKinds))],
		BeginsAt:     rng.Int64N(c.FaultPeriod),
		Duration:     minFaultDuration + rng.Int64N(faultDurationSpread),
		Process:      rng.IntN(c.Processes),
		OtherProcess: rng.IntN(c.Processes),
		Amount:       rng.Float64() * maxAmount,
	}
	needsDisk := f.Kind == faultCopyBack || f.Kind == faultFull
	if needsDisk && !c.Disks || f.Process == f.OtherProcess {
		f.Kind = faultPause
	}
	if rng.IntN(longFaultDivisor) == 0 {
		f.Duration *= longFaultFactor
	}
	return f
}
