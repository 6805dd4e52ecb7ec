package experiment

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"croftlock/internal/testbed/fake"
)

// killRounds is the number of rounds for each number of killed processes.
const killRounds = 20

// memberKill kills one and then a third of 5 and of 15 processes, and measures how long the survivors
// take to detect it.
func memberKill(e *Env, r *Report) error {
	const table = "from SIGKILL until all survivors have the killed as unreachable or gone"
	r.StartTable(table, "processes", "killed", "turns", "median", "p99", "alive as new incarnations, median")
	for _, n := range []int{5, 15} {
		rig, err := NewRig(e, n, 1, sealKey)
		if err != nil {
			return err
		}
		defer rig.Close()
		for _, killed := range []int{1, n / 3} {
			detected, recovered, err := rig.killRepeatedly(killed)
			if err != nil {
				return err
			}
			p99 := detected[len(detected)-1] // the p99 of killRounds times is the longest of them
			r.AddRow(table, n, killed, len(detected), detected[len(detected)/2], p99, recovered[len(recovered)/2])
			r.Check(p99 < 3*time.Second, fmt.Sprintf("%d of %d killed: all know within 3 s", killed, n), p99)
		}
		rig.Close()
	}
	return nil
}

// killRepeatedly kills and restarts a number of processes in each round, a different selection each
// time. It returns, sorted, the times until the survivors detected the deaths and the times until all
// processes saw one another alive again.
func (r *Rig) killRepeatedly(killed int) (detected, recovered []time.Duration, err error) {
	n := len(r.Procs)
	for round := range killRounds {
		if _, ok := r.AwaitAllAlive(30 * time.Second); !ok {
			return nil, nil, fmt.Errorf("%d processes, round %d: not all alive after 30 s", n, round)
		}
		var dead, alive []int
		for i := range n {
			if (i+round)%n < killed {
				dead = append(dead, i)
			} else {
				alive = append(alive, i)
			}
		}
		took, err := r.killAndAwait(dead, alive)
		if err != nil {
			return nil, nil, fmt.Errorf("%d processes, round %d: %w", n, round, err)
		}
		detected = append(detected, took)
		for _, i := range dead {
			<-r.Procs[i].done
			if err := r.Start(i); err != nil {
				return nil, nil, err
			}
		}
		took, ok := r.AwaitAllAlive(30 * time.Second)
		if !ok {
			return nil, nil, fmt.Errorf("%d processes, round %d: not all alive 30 s after the restart", n, round)
		}
		recovered = append(recovered, took)
	}
	slices.Sort(detected)
	slices.Sort(recovered)
	return detected, recovered, nil
}

// killAndAwait kills the dead processes and returns the time until all alive ones have detected it.
func (r *Rig) killAndAwait(dead, alive []int) (took time.Duration, err error) {
	for _, i := range dead {
		r.Procs[i].cmd.Process.Kill()
	}
	for _, i := range dead {
		t, ok := r.AwaitMemberState(20*time.Second, alive, i, "unreachable", "gone")
		if !ok {
			return 0, fmt.Errorf("the death of n%d is not detected after 20 s", i)
		}
		took += t // the waits are sequential
	}
	return took, nil
}

// sealKey is the key that seals the datagrams between a rig's processes.
const sealKey = "0123456789abcdef0123456789abcdef"

// memberPause pauses one of five processes for less than 2 s, which must not remove it, and for 10 s,
// which all others must detect.
func memberPause(e *Env, r *Report) error {
	rig, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	const table, paused = "a paused process", 1
	others := []int{0, 2, 3, 4}
	r.StartTable(table, "pause", "unreachable at processes", "alive at all after", "accusations by the paused one")
	for _, pause := range []time.Duration{200 * time.Millisecond, time.Second, 1900 * time.Millisecond, 10 * time.Second} {
		if _, ok := rig.AwaitAllAlive(30 * time.Second); !ok {
			return fmt.Errorf("not all processes are alive after 30 s, before a pause of %v", pause)
		}
		unreachableBefore, suspicionsBefore := rig.logLines("to=unreachable", others...), rig.suspicions(paused)
		rig.Procs[paused].Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		rig.Procs[paused].Signal(syscall.SIGCONT)
		refutedAfter, ok := rig.AwaitMemberState(20*time.Second, others, paused, "alive")
		if !ok {
			return fmt.Errorf("not all others see the process alive 20 s after a pause of %v", pause)
		}
		time.Sleep(2 * time.Second)
		unreachable, suspicionCount := rig.logLines("to=unreachable", others...)-unreachableBefore, rig.suspicions(paused)-suspicionsBefore
		r.AddRow(table, pause, unreachable, refutedAfter, suspicionCount)
		if pause < 2*time.Second {
			r.Check(unreachable == 0, fmt.Sprintf("a pause of %v removes no member", pause), unreachable)
		} else {
			r.Check(unreachable == 4, "a pause of 10 s is noticed by all", unreachable)
		}
		r.Check(refutedAfter < time.Second, fmt.Sprintf("%v: refuted within 1 s", pause), refutedAfter)
		r.Check(suspicionCount == 0, fmt.Sprintf("%v: the paused process accuses no other", pause), suspicionCount)
	}
	return nil
}

// logLines returns the number of lines that contain text in the logs of the given processes.
func (r *Rig) logLines(text string, processes ...int) (n int) {
	for _, i := range processes {
		n += len(r.Procs[i].LogLines(text))
	}
	return n
}

// suspicions returns how often process i reported another member as suspect or unreachable.
func (r *Rig) suspicions(i int) int {
	return r.logLines("to=suspect", i) + r.logLines("to=unreachable", i)
}

// memberLoss drops a fifth of all datagrams for five minutes, then kills one process under the same
// loss.
func memberLoss(e *Env, r *Report) error {
	const duration = 5 * time.Minute
	rig, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, ok := rig.AwaitAllAlive(30 * time.Second); !ok {
		return errors.New("not all alive after 30 s")
	}
	rig.applyToLinks(func(int, int) bool { return true }, func(l *fake.Link) { l.Loss = 0.2 })
	time.Sleep(duration)
	gone, unreachable := 0, 0
	for _, p := range rig.Procs {
		gone += len(p.LogLines("to=gone"))
		unreachable += len(p.LogLines("to=unreachable"))
	}
	rig.Procs[2].Kill()
	took, ok := rig.AwaitMemberState(20*time.Second, []int{0, 1, 3, 4}, 2, "unreachable", "gone")
	r.AddValue("unreachable", unreachable)
	r.AddValue("detected", took)
	r.Check(gone == 0, fmt.Sprintf("no member gone in %v at a loss of 20%%", duration), gone)
	r.Check(ok && took < 5*time.Second, "a death is known to all within 5 s", took)
	return nil
}
