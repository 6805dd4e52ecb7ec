package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Fault is a fault in a plan, the list of faults that a run injects.
type Fault struct {
	Kind               FaultKind
	BeginsAt, Duration Time
	Process            int // index of the affected process
	OtherProcess       int // index of a second process, for faultOneWay and faultHalves
	// Amount is below maxAmount. It is the probability of loss, the input of clockStep, or decides
	// whether a killed process loses its disk (see diskLossThreshold).
	Amount float64
}

// String returns the fault as an S-expression, with times in milliseconds.
func (f Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", f.Kind, f.BeginsAt/Ms, f.Duration/Ms, f.Process, f.OtherProcess, f.Amount)
}

// FaultKind is the kind of a Fault.
type FaultKind string

// Kinds of faults. In the comments, the process is Fault.Process.
const (
	faultPause     FaultKind = "pause"      // the process is paused
	faultKill      FaultKind = "kill"       // the process is killed, sometimes with the loss of its disk
	faultAllKilled FaultKind = "all-killed" // all processes are killed
	faultCut       FaultKind = "cut"        // all links of the process are cut
	faultOneWay    FaultKind = "one-way"    // the link from the process to OtherProcess is cut
	faultDeaf      FaultKind = "deaf"       // the process receives nothing
	faultMute      FaultKind = "mute"       // none of the process's messages arrive
	faultHalves    FaultKind = "halves"     // the fleet is split in two, after the lower of Process and OtherProcess
	faultLoss      FaultKind = "loss"       // messages of all processes are lost, duplicated and delayed
	faultHeldBack  FaultKind = "held-back"  // the process's messages arrive only after the fault has ended
	faultFull      FaultKind = "full"       // the process's disk is full
	faultCopyBack  FaultKind = "copy-back"  // the process's disk is copied, and replaced with the copy when the fault ends
	faultClock     FaultKind = "clock"      // the process's wall clock is stepped
	faultLeave     FaultKind = "leave"      // the process shuts down gracefully, and starts again when the fault ends
)

// FaultKinds lists the kinds that a plan may contain. Plan chooses kinds by their index, so the
// order is part of what a seed determines.
var FaultKinds = []FaultKind{faultPause, faultKill, faultAllKilled, faultCut, faultOneWay, faultDeaf, faultMute, faultHalves, faultLoss, faultHeldBack, faultFull, faultCopyBack, faultClock, faultLeave}

const (
	maxFaults           = 6 // in a plan
	minFaultDuration    = 100 * Ms
	faultDurationSpread = 8 * Sec // bound of the random time that is added to minFaultDuration
	maxAmount           = 0.4     // upper bound of Fault.Amount
	// One in longFaultDivisor faults lasts longFaultFactor times as long as it otherwise would.
	longFaultDivisor = 6
	longFaultFactor  = 4
)

// Plan returns a random plan of faults, in the order in which they begin.
func Plan(rng *rand.Rand, c Config) (plan []Fault) {
	n := 1 + rng.IntN(maxFaults)
	for range n {
		plan = append(plan, randomFault(rng, c))
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].BeginsAt < plan[j].BeginsAt })
	return plan
}

// randomFault returns a random fault. A fault of the disk in a fleet without disks, and a fault
// whose two processes are the same, becomes a pause.
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
