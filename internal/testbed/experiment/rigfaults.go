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

// planStep is the beginning or the end of one fault.
type planStep struct {
	startsAt time.Duration // since the plan's beginning
	run      func() error
}

// PlayFaults plays a plan's faults on the processes, and returns once the last one has ended.
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

// faultEffect returns what begins and what ends a fault.
func (r *Rig) faultEffect(f simulation.Fault) (begin, end func() error, err error) {
	if begin, end = r.processEffect(f); begin != nil {
		return begin, end, nil
	}
	which, change := linkEffect(f)
	if change == nil {
		return nil, nil, fmt.Errorf("fault %s can only be simulated", f.Kind)
	}
	set := func(on bool) func() error {
		return func() error {
			r.applyToLinks(which, func(l *fake.Link) { change(l, on) })
			return nil
		}
	}
	return set(true), set(false), nil
}

// processEffect is the effect of a fault of one process; nil for another kind of fault.
func (r *Rig) processEffect(f simulation.Fault) (begin, end func() error) {
	nothing := func() error { return nil }
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
		return kill, nothing
	case "restart":
		return kill, func() error { return r.Start(f.Process) }
	case "leave":
		return func() error { return r.Procs[f.Process].Stop() }, nothing
	}
	return nil, nil
}

// limitFileSize limits the size of files that process i may write, in bytes. It stands for a full disk: writes beyond the limit fail. It needs
// no privileges.
func (r *Rig) limitFileSize(i int, maxBytes uint64) func() error {
	return func() error {
		return unix.Prlimit(r.Procs[i].cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: maxBytes, Max: unix.RLIM_INFINITY}, nil)
	}
}

// slowJitter is the most by which the fault "slow" delays a datagram.
const slowJitter = 100 * time.Millisecond

// linkEffect is the effect of a fault of links: the links that it affects, and the change of each at its beginning and end. nil for another
// kind of fault.
func linkEffect(f simulation.Fault) (which func(from, to int) bool, change func(l *fake.Link, on bool)) {
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

// applyToLinks changes the links that which selects.
func (r *Rig) applyToLinks(which func(from, to int) bool, change func(l *fake.Link)) {
	for i := range r.Procs {
		for j := range r.Procs {
			if i != j && which(i, j) {
				r.Mesh.UpdateLink(i, j, change)
			}
		}
	}
}

// SetCutOff cuts a process off from all others, in both directions, or ends that.
func (r *Rig) SetCutOff(i int, on bool) {
	r.applyToLinks(func(from, to int) bool { return from == i || to == i }, func(l *fake.Link) { l.Cut = on })
}

// FillDisk returns what makes a process's disk full, and what ends that.
func (r *Rig) FillDisk(i int) (begin, end func() error) {
	return r.limitFileSize(i, 0), r.limitFileSize(i, unix.RLIM_INFINITY)
}
