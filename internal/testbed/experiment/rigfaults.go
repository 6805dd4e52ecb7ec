package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/testbed/fake"
)

// planStep starts or ends one fault of a plan.
type planStep struct {
	startsAt time.Duration // since the start of the plan
	run      func() error
}

// PlayFaults injects the faults of a plan at their times and returns once the last one has ended.
// It stops at the first error.
func (r *Rig) PlayFaults(plan []simulation.Fault) error {
	var steps []planStep
	for _, f := range plan {
		begin, end, err := r.faultEffect(f)
		if err != nil {
			return err
		}
		steps = append(steps, planStep{time.Duration(f.StartMS) * time.Millisecond, begin},
			planStep{time.Duration(f.StartMS+f.DurationMS) * time.Millisecond, end})
	}
	slices.SortStableFunc(steps, func(a, b planStep) int { return cmp.Compare(a.startsAt, b.startsAt) })
	startedAt := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(startedAt.Add(s.startsAt)))
		if err := s.run(); err != nil {
			return err
		}
	}
	return nil
}

// faultEffect returns the functions that start and end a fault. It returns an error for a fault
// that only the simulation supports.
func (r *Rig) faultEffect(f simulation.Fault) (begin, end func() error, err error) {
	if begin, end = r.processEffect(f); begin != nil {
		return begin, end, nil
	}
	affects, change := linkEffect(f)
	if change == nil {
		return nil, nil, fmt.Errorf("fault %s can only be simulated", f.Kind)
	}
	set := func(on bool) func() error {
		return func() error {
			r.applyToLinks(affects, func(l *fake.Link) { change(l, on) })
			return nil
		}
	}
	return set(true), set(false), nil
}

// processEffect returns the functions that start and end a fault of one process, or nil for other
// kinds of faults.
func (r *Rig) processEffect(f simulation.Fault) (begin, end func() error) {
	doNothing := func() error { return nil }
	signal := func(s syscall.Signal) func() error {
		return func() error { r.Procs[f.Process].Signal(s); return nil }
	}
	kill := func() error { r.Procs[f.Process].Kill(); return nil }
	switch f.Kind {
	case "pause":
		return signal(syscall.SIGSTOP), signal(syscall.SIGCONT)
	case "full":
		return r.limitFileSize(f.Process, 0), r.limitFileSize(f.Process, unix.RLIM_INFINITY)
	case "kill":
		return kill, doNothing
	case "restart":
		return kill, func() error { return r.Start(f.Process) }
	case "leave":
		return func() error { return r.Procs[f.Process].Stop() }, doNothing
	}
	return nil, nil
}

// limitFileSize returns a function that limits the size of files that process i may write, in
// bytes. The limit simulates a full disk, because writes beyond it fail, and needs no privileges.
func (r *Rig) limitFileSize(i int, maxBytes uint64) func() error {
	return func() error {
		return unix.Prlimit(r.Procs[i].cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: maxBytes, Max: unix.RLIM_INFINITY}, nil)
	}
}

// slowJitter is the maximum delay that the fault "slow" adds to a datagram.
const slowJitter = 100 * time.Millisecond

// linkEffect returns a function that reports whether a fault affects a link, and one that starts (if
// on is true) or ends the fault at a link. Both are nil for faults that do not affect links.
func linkEffect(f simulation.Fault) (affects func(from, to int) bool, change func(l *fake.Link, on bool)) {
	cut := func(l *fake.Link, on bool) { l.Cut = on }
	all := func(int, int) bool { return true }
	amount := func(on bool) float64 {
		if on {
			return f.Amount
		}
		return 0
	}
	switch f.Kind {
	case "cut":
		return func(from, to int) bool { return from == f.Process || to == f.Process }, cut
	case "one-way":
		return func(from, to int) bool { return from == f.Process && to == f.Destination }, cut
	case "deaf":
		return func(_, to int) bool { return to == f.Process }, cut
	case "mute":
		return func(from, _ int) bool { return from == f.Process }, cut
	case "loss":
		return all, func(l *fake.Link, on bool) { l.Loss = amount(on) }
	case "twice":
		return all, func(l *fake.Link, on bool) { l.Duplicates = amount(on) }
	case "garbage":
		return all, func(l *fake.Link, on bool) { l.Corruption = amount(on) }
	case "slow":
		return all, func(l *fake.Link, on bool) {
			if l.Jitter = 0; on {
				l.Jitter = slowJitter
			}
		}
	}
	return nil, nil
}

// applyToLinks applies change to the links for which selects returns true.
func (r *Rig) applyToLinks(selects func(from, to int) bool, change func(l *fake.Link)) {
	for i := range r.Procs {
		for j := range r.Procs {
			if i != j && selects(i, j) {
				r.Mesh.UpdateLink(i, j, change)
			}
		}
	}
}

// SetCutOff cuts process i off from all others in both directions, or reconnects it.
func (r *Rig) SetCutOff(i int, on bool) {
	r.applyToLinks(func(from, to int) bool { return from == i || to == i }, func(l *fake.Link) { l.Cut = on })
}

// FillDisk returns the functions that start and end the simulation of a full disk at process i.
func (r *Rig) FillDisk(i int) (begin, end func() error) {
	return r.limitFileSize(i, 0), r.limitFileSize(i, unix.RLIM_INFINITY)
}
