package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"croftlock/internal/fleet/membership"
)

// Fault is a fault of a process, a link or the network, with a start and a duration. A plan is a list of
// them.
type Fault struct {
	Kind        string // see IsFaultKind
	StartMS     Time   // in milliseconds since the start of the run
	DurationMS  Time   // in milliseconds
	Process     int    // number of the affected process, or of the sending one for faults of a link
	Destination int    // number of the receiving process, for faults of a link; otherwise not used
	// Amount is the probability of loss or duplication. For a step of the wall clock, 0.2 means no step,
	// and each 0.1 more sets it 30 s ahead.
	Amount float64
}

// String returns the fault as an S-expression, the format of plan files.
func (p Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", p.Kind, p.StartMS, p.DurationMS, p.Process, p.Destination, p.Amount)
}

// Kinds of faults of a process, as plan files name them.
const (
	faultPause   = "pause"   // the process is stopped, as by SIGSTOP
	faultKill    = "kill"    // the process is ended at once
	faultRestart = "restart" // the process is ended at once, and restarted when the fault ends
	faultLeave   = "leave"   // the process shuts down gracefully
	faultDeaf    = "deaf"    // the process receives no datagrams
	faultMute    = "mute"    // the datagrams that the process sends are lost
	faultSlow    = "lame"    // the process gets only every second turn
	faultStep    = "step"    // the process's wall clock is ahead or behind, as set by Amount
)

// Kinds of faults of links and of the network. The last two are for real processes only and cannot be
// simulated.
const (
	faultCut         = "cut"     // Process is cut off from all others
	faultOneWay      = "one-way" // datagrams from Process to Destination are lost
	faultLoss        = "loss"    // datagrams are lost with probability Amount
	faultDuplication = "twice"   // datagrams arrive twice with probability Amount
	faultDelay       = "slow"    // datagrams have a jitter of 100 ms
	faultGarbage     = "garbage" // garbage arrives in place of sealed datagrams
	faultFullDisk    = "full"    // the disk is full
)

// simulatedFaults lists the kinds that RandomPlan chooses from. Their order must not change: it determines
// the plan that results from a seed.
var simulatedFaults = []string{faultPause, faultKill, faultRestart, faultLeave, faultCut, faultOneWay, faultDeaf, faultMute, faultLoss,
	faultDuplication, faultStep, faultSlow, faultDelay}

// IsFaultKind reports whether kind is a kind of fault, including those that only real processes can have.
func IsFaultKind(kind string) bool {
	return slices.Contains(simulatedFaults, kind) || kind == faultGarbage || kind == faultFullDisk
}

// RandomPlan returns a random plan of one to six faults for a fleet of n processes. All faults end within
// 26.1 s.
func RandomPlan(n int, seed uint64) []Fault {
	r := rand.New(rand.NewPCG(seed, 11)) // the second seed is arbitrary but fixed
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

// Apply schedules the faults of a plan. It returns the end of the last one in milliseconds since the start
// of the run, or 0 if the plan is empty.
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

// faultEffect returns functions that start and end a fault. It panics if the kind cannot be simulated.
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

// setDuringFault returns functions that set a flag at the start of a fault and clear it at the end.
func setDuringFault(flag *bool) (begin, end func()) {
	return func() { *flag = true }, func() { *flag = false }
}

// cutOff cuts all links of a process, or restores them if cut is false.
func (f *Fleet) cutOff(process int, cut bool) {
	for other := range f.Nodes {
		f.cutLink(process, other, cut)
		f.cutLink(other, process, cut)
	}
}

// cutLink cuts the link from one process to another, or restores it if cut is false. It ignores the link of
// a process to itself.
func (f *Fleet) cutLink(from, to int, cut bool) {
	if from != to {
		f.CutLinks[link{from, to}] = cut
	}
}

// SettleTime is the time after the end of the last fault within which all views must agree.
const SettleTime = 20 * Sec

// RunRandomPlan runs a random plan and returns the violated invariant, or a description of views that do
// not agree in time. It returns "" if there is neither. baseConfig is that of New.
func RunRandomPlan(seed uint64, baseConfig membership.Config) (plan []Fault, violation string) {
	n := 3 + int(seed%6) // number of processes, 3 to 8
	plan = RandomPlan(n, seed)
	f := New(n, seed, baseConfig)
	endMS := f.Apply(plan)
	f.Run(endMS*Ms + SettleTime)
	if f.Violation != "" {
		return plan, f.Violation
	}
	if 2*f.running() <= n {
		return plan, "" // without a majority no member is marked as gone, and the views may stay different
	}
	return plan, f.Disagreement()
}
