package experiment

import (
	"bytes"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/operations/settings"
	"croftlock/internal/testbed/fake"
)

// ReadPlan reads a plan: S-expressions as virtual.Fault prints them, times in milliseconds.
func ReadPlan(name string, data []byte, processes int) ([]simulation.Fault, error) {
	root, faults := settings.Parse(name, data)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	var plan []simulation.Fault
	for _, line := range root.Values() {
		bad := func(what string) error { return fmt.Errorf("%s:%v: %s", name, line.Pos, what) }
		v := line.Values()
		if len(v) == 0 || len(v[0].Values()) > 0 {
			return nil, bad("expected (KIND (at MS) (for MS) (a N) ...)")
		}
		p := simulation.Fault{Kind: v[0].Text}
		if !simulation.IsFault(p.Kind) {
			return nil, bad(fmt.Sprintf("no fault %q", p.Kind))
		}
		for _, field := range v[1:] {
			w := field.Values()
			if len(w) != 2 {
				return nil, bad("expected (NAME NUMBER)")
			}
			x, err := strconv.ParseFloat(w[1].Text, 64)
			if err != nil || x < 0 || x > 1e9 {
				return nil, bad(fmt.Sprintf("%s: %q is no number from 0 to 1e9", w[0].Text, w[1].Text))
			}
			switch w[0].Text {
			case "at":
				p.StartMS = int64(x)
			case "for":
				p.DurationMS = int64(x)
			case "a":
				p.Process = int(x)
			case "b":
				p.Peer = int(x)
			case "part":
				p.Amount = x
			default:
				return nil, bad(fmt.Sprintf("no field %q", w[0].Text))
			}
		}
		if p.Process >= processes || p.Peer >= processes || p.Amount > 1 {
			return nil, bad(fmt.Sprintf("a process under %d and a part up to 1 are possible", processes))
		}
		plan = append(plan, p)
	}
	return plan, nil
}

// Play has a plan's faults happen to real processes, and returns once the last one has ended.
func (r *Rig) Play(plan []simulation.Fault) error {
	type step struct {
		at time.Duration
		do func() error
	}
	var steps []step
	for _, p := range plan {
		begin, end, err := r.effect(p)
		if err != nil {
			return err
		}
		steps = append(steps, step{time.Duration(p.StartMS) * time.Millisecond, begin}, step{time.Duration(p.StartMS+p.DurationMS) * time.Millisecond, end})
	}
	began := time.Now()
	for len(steps) > 0 {
		next := 0
		for i := range steps {
			if steps[i].at < steps[next].at {
				next = i
			}
		}
		time.Sleep(time.Until(began.Add(steps[next].at)))
		if err := steps[next].do(); err != nil {
			return err
		}
		steps = append(steps[:next], steps[next+1:]...)
	}
	return nil
}

func (r *Rig) effect(p simulation.Fault) (begin, end func() error, err error) {
	n := len(r.Procs)
	nothing := func() error { return nil }
	links := func(which func(i, j int) bool, change func(l *fake.Link, on bool)) (func() error, func() error) {
		set := func(on bool) func() error {
			return func() error {
				for i := range n {
					for j := range n {
						if i != j && which(i, j) {
							r.Mesh.Set(i, j, func(l *fake.Link) { change(l, on) })
						}
					}
				}
				return nil
			}
		}
		return set(true), set(false)
	}
	cut := func(l *fake.Link, on bool) { l.Cut = on }
	part := func(on bool) float64 {
		if on {
			return p.Amount
		}
		return 0
	}
	all := func(int, int) bool { return true }
	switch p.Kind {
	case "pause":
		return func() error { r.Procs[p.Process].Signal(syscall.SIGSTOP); return nil }, func() error { r.Procs[p.Process].Signal(syscall.SIGCONT); return nil }, nil
	case "full":
		// A limit on the size of files stands for a disk that is full: each write to one fails at once. It needs no privileges.
		limit := func(most uint64) func() error {
			return func() error {
				return unix.Prlimit(r.Procs[p.Process].cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil)
			}
		}
		return limit(0), limit(unix.RLIM_INFINITY), nil
	case "kill":
		return func() error { r.Procs[p.Process].Kill(); return nil }, nothing, nil
	case "restart":
		return func() error { r.Procs[p.Process].Kill(); return nil }, func() error { return r.Start(p.Process) }, nil
	case "leave":
		return func() error { return r.Procs[p.Process].Stop() }, nothing, nil
	case "cut":
		begin, end = links(func(i, j int) bool { return i == p.Process || j == p.Process }, cut)
	case "one-way":
		begin, end = links(func(i, j int) bool { return i == p.Process && j == p.Peer }, cut)
	case "deaf":
		begin, end = links(func(i, j int) bool { return j == p.Process }, cut)
	case "mute":
		begin, end = links(func(i, j int) bool { return i == p.Process }, cut)
	case "loss":
		begin, end = links(all, func(l *fake.Link, on bool) { l.Loss = part(on) })
	case "twice":
		begin, end = links(all, func(l *fake.Link, on bool) { l.Twice = part(on) })
	case "garbage":
		begin, end = links(all, func(l *fake.Link, on bool) { l.Garbage = part(on) })
	case "slow":
		begin, end = links(all, func(l *fake.Link, on bool) {
			if l.Jitter = 0; on {
				l.Jitter = 100 * time.Millisecond
			}
		})
	default:
		return nil, nil, fmt.Errorf("%s happens in virtual time only", p.Kind)
	}
	return begin, end, nil
}

// PlanText is a plan as ReadPlan reads it.
func PlanText(plan []simulation.Fault) string {
	var b bytes.Buffer
	for _, p := range plan {
		fmt.Fprintln(&b, p)
	}
	return b.String()
}
