package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"croftlock/internal/fleet/membership"
)

// Fault is one line of a plan: something that happens to a process, a link or the network, for a time.
type Fault struct {
	Kind        string  // see IsFaultKind
	StartMS     Time    // in milliseconds
	DurationMS  Time    // in milliseconds
	Process     int     // to which it happens
	Destination int     // the process at the other end, for faults of a link
	Amount      float64 // loss, duplication: the probability; step: 0.2 is none, each 0.1 more is 30 s ahead
}

// String is the fault as an S-expression, as plan files hold it.
func (p Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", p.Kind, p.StartMS, p.DurationMS, p.Process, p.Destination, p.Amount)
}

// The kinds of fault, as plan files name them. Processes:
const (
	faultPause   = "pause"   // stopped as by SIGSTOP
	faultKill    = "kill"    // ended at once
	faultRestart = "restart" // ended at once, and started again at the end
	faultLeave   = "leave"   // shut down in order
	faultDeaf    = "deaf"    // receives nothing
	faultMute    = "mute"    // sends nothing
	faultSlow    = "lame"    // gets each second turn only
	faultStep    = "step"    // its wall clock is off
)

// Faults of links and of the network, and two that only real processes can have: garbage in place of sealed datagrams, and a full disk.
const (
	faultCut         = "cut"     // a process is cut off from all others
	faultOneWay      = "one-way" // nothing arrives from Process at Destination
	faultLoss        = "loss"
	faultDuplication = "twice"
	faultDelay       = "slow" // datagrams have a jitter of 100 ms
	faultGarbage     = "garbage"
	faultFullDisk    = "full"
)

// simulatedFaults are those that RandomPlan draws from. A seed gives the same plan as long as their order stays.
var simulatedFaults = []string{faultPause, faultKill, faultRestart, faultLeave, faultCut, faultOneWay, faultDeaf, faultMute, faultLoss,
	faultDuplication, faultStep, faultSlow, faultDelay}

// IsFaultKind says whether there is such a kind of fault, in this simulation or for real processes.
func IsFaultKind(kind string) bool {
	return slices.Contains(simulatedFaults, kind) || kind == faultGarbage || kind == faultFullDisk
}

// RandomPlan draws a plan of one to six faults within 26 s for a fleet of n.
func RandomPlan(n int, seed uint64) []Fault {
	r := rand.New(rand.NewPCG(seed, 11))
	plan := make([]Fault, 1+r.IntN(6))
	for i := range plan {
		plan[i] = Fault{
			Kind:        simulatedFaults[r.IntN(len(simulatedFaults))],
			StartMS:     3000 + r.Int64N(15000),
			DurationMS:  100 + r.Int64N(8000),
			Process:     r.IntN(n),
			Destination: r.IntN(n),
			Amount:      0.05 + 0.35*r.Float64(),
		}
	}
	return plan
}

// Apply schedules a plan's faults and returns when the last one ends, in milliseconds.
func (f *Fleet) Apply(plan []Fault) (endMS Time) {
	for _, p := range plan {
		end := p.StartMS + p.DurationMS
		endMS = max(endMS, end)
		begin, finish := f.faultEffect(p)
		f.Schedule(p.StartMS*Ms, begin)
		f.Schedule(end*Ms, finish)
	}
	return endMS
}

// faultEffect is what begins and what ends a fault.
func (f *Fleet) faultEffect(p Fault) (begin, end func()) {
	n := f.Nodes[p.Process]
	nothing := func() {}
	switch p.Kind {
	case faultPause:
		return func() { f.Pause(p.Process) }, func() { f.Resume(p.Process) }
	case faultKill:
		return func() { f.Kill(p.Process) }, nothing
	case faultRestart:
		return func() { f.Kill(p.Process) }, func() { f.Start(p.Process) }
	case faultLeave:
		return func() { f.Leave(p.Process) }, nothing
	case faultCut:
		return func() { f.cutOff(p.Process, true) }, func() { f.cutOff(p.Process, false) }
	case faultOneWay:
		return func() { f.cutLink(p.Process, p.Destination, true) }, func() { f.cutLink(p.Process, p.Destination, false) }
	case faultDeaf:
		return setDuringFault(&n.Deaf)
	case faultMute:
		return setDuringFault(&n.Mute)
	case faultSlow:
		return setDuringFault(&n.Slow)
	case faultLoss:
		return func() { f.Loss = p.Amount }, func() { f.Loss = 0 }
	case faultDuplication:
		return func() { f.Duplication = p.Amount }, func() { f.Duplication = 0 }
	case faultDelay:
		return func() { f.Jitter = 100 * Ms }, func() { f.Jitter = defaultJitter }
	case faultStep:
		return func() { n.WallStep = Time((p.Amount - 0.2) * 300 * float64(Sec)) }, func() { n.WallStep = 0 }
	}
	panic("no such fault: " + p.Kind)
}

// setDuringFault sets a flag for as long as a fault lasts.
func setDuringFault(flag *bool) (begin, end func()) {
	return func() { *flag = true }, func() { *flag = false }
}

// cutOff cuts all links of a process, or mends them.
func (f *Fleet) cutOff(process int, cut bool) {
	for other := range f.Nodes {
		f.cutLink(process, other, cut)
		f.cutLink(other, process, cut)
	}
}

// cutLink cuts one direction of a link, or mends it; a process has no link to itself.
func (f *Fleet) cutLink(from, to int, cut bool) {
	if from != to {
		f.CutLinks[link{from, to}] = cut
	}
}

// SettleTime is within which all views agree after the last fault.
const SettleTime = 20 * Sec

// RunRandomPlan runs a random plan and returns the violated invariant, or the views that do not agree in time; "": neither.
func RunRandomPlan(seed uint64, planted membership.Config) (plan []Fault, violation string) {
	n := 3 + int(seed%6)
	plan = RandomPlan(n, seed)
	f := New(n, seed, planted)
	endMS := f.Apply(plan)
	f.Run(endMS*Ms + SettleTime)
	if f.Violation != "" {
		return plan, f.Violation
	}
	if 2*f.running() <= n {
		return plan, "" // without a majority nobody is gone, and each view keeps what its process heard last
	}
	return plan, f.Disagreement()
}
