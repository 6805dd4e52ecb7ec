package experiment

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"croftlock/internal/testbed/fake"
)

// killTurns is how often each kind of death is played.
const killTurns = 20

// memberKill kills one, and a third, among 5 and 15 processes.
func memberKill(e *Env, r *Report) error {
	const table = "from SIGKILL until all survivors hold the killed for unreachable or gone"
	r.Columns(table, "processes", "killed", "turns", "median", "p99", "back as a new life, median")
	for _, n := range []int{5, 15} {
		rig, err := NewRig(e, n, 1, sealKey)
		if err != nil {
			return err
		}
		defer rig.Close()
		for _, kill := range []int{1, n / 3} {
			known, back, err := rig.killTurns(kill)
			if err != nil {
				return err
			}
			p99 := known[len(known)-1]
			r.Row(table, n, kill, len(known), known[len(known)/2], p99, back[len(back)/2])
			r.Check(p99 < 3*time.Second, fmt.Sprintf("%d of %d killed: all know within 3 s", kill, n), p99)
		}
		rig.Close()
	}
	return nil
}

// killTurns kills so many processes again and again, others each time, and gives, sorted, how long the survivors took to know, and
// all to see one another alive again.
func (r *Rig) killTurns(kill int) (known, back []time.Duration, err error) {
	n := len(r.Procs)
	for turn := range killTurns {
		if _, ok := r.AllAlive(30 * time.Second); !ok {
			return nil, nil, fmt.Errorf("%d processes, turn %d: not whole after 30 s", n, turn)
		}
		var dead, alive []int
		for i := range n {
			if (i+turn)%n < kill {
				dead = append(dead, i)
			} else {
				alive = append(alive, i)
			}
		}
		took, err := r.killAndAwait(dead, alive)
		if err != nil {
			return nil, nil, fmt.Errorf("%d processes, turn %d: %w", n, turn, err)
		}
		known = append(known, took)
		for _, i := range dead {
			<-r.Procs[i].done
			if err := r.Start(i); err != nil {
				return nil, nil, err
			}
		}
		took, ok := r.AllAlive(30 * time.Second)
		if !ok {
			return nil, nil, fmt.Errorf("%d processes, turn %d: not whole 30 s after the restart", n, turn)
		}
		back = append(back, took)
	}
	slices.Sort(known)
	slices.Sort(back)
	return known, back, nil
}

// killAndAwait kills processes, and gives how long it takes until each other one knows.
func (r *Rig) killAndAwait(dead, alive []int) (took time.Duration, err error) {
	for _, i := range dead {
		r.Procs[i].cmd.Process.Kill()
	}
	for _, i := range dead {
		t, ok := r.AllSee(20*time.Second, alive, i, "unreachable", "gone")
		if !ok {
			return 0, fmt.Errorf("n%d is not missed after 20 s", i)
		}
		took += t // one after the other: together the whole wait
	}
	return took, nil
}

// sealKey seals the datagrams of rigs.
const sealKey = "0123456789abcdef0123456789abcdef"

// memberPause stops one of five for times under 2 s, and for 10 s.
func memberPause(e *Env, r *Report) error {
	rig, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	const table, sleeper = "a process that sleeps", 1
	others := []int{0, 2, 3, 4}
	r.Columns(table, "pause", "held for unreachable by", "alive again to all after", "the sleeper accuses")
	for _, pause := range []time.Duration{200 * time.Millisecond, time.Second, 1900 * time.Millisecond, 10 * time.Second} {
		if _, ok := rig.AllAlive(30 * time.Second); !ok {
			return fmt.Errorf("not whole before a pause of %v", pause)
		}
		givenUpBefore, accusedBefore := rig.logLines("to=unreachable", others...), rig.accusations(sleeper)
		rig.Procs[sleeper].Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		rig.Procs[sleeper].Signal(syscall.SIGCONT)
		back, ok := rig.AllSee(20*time.Second, others, sleeper, "alive")
		if !ok {
			return fmt.Errorf("not alive to all 20 s after a pause of %v", pause)
		}
		time.Sleep(2 * time.Second)
		givenUp, accused := rig.logLines("to=unreachable", others...)-givenUpBefore, rig.accusations(sleeper)-accusedBefore
		r.Row(table, pause, givenUp, back, accused)
		if pause < 2*time.Second {
			r.Check(givenUp == 0, fmt.Sprintf("a pause of %v removes nobody", pause), givenUp)
		} else {
			r.Check(givenUp == 4, "a pause of 10 s is noticed by all", givenUp)
		}
		r.Check(back < time.Second, fmt.Sprintf("%v: refuted within 1 s", pause), back)
		r.Check(accused == 0, fmt.Sprintf("%v: the sleeper accuses nobody", pause), accused)
	}
	return nil
}

// logLines counts the lines of some processes' logs that hold what.
func (r *Rig) logLines(what string, of ...int) (n int) {
	for _, i := range of {
		n += len(r.Procs[i].Log(what))
	}
	return n
}

// accusations are how often a process suspected others or gave them up.
func (r *Rig) accusations(i int) int {
	return r.logLines("to=suspect", i) + r.logLines("to=unreachable", i)
}

// memberLoss loses a fifth of all datagrams for five minutes, then one process dies.
func memberLoss(e *Env, r *Report) error {
	const lasts = 5 * time.Minute
	rig, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, ok := rig.AllAlive(30 * time.Second); !ok {
		return errors.New("not whole after 30 s")
	}
	rig.setLinks(func(int, int) bool { return true }, func(l *fake.Link) { l.Loss = 0.2 })
	time.Sleep(lasts)
	gone, unreachable := 0, 0
	for _, p := range rig.Procs {
		gone += len(p.Log("to=gone"))
		unreachable += len(p.Log("to=unreachable"))
	}
	rig.Procs[2].Kill()
	took, ok := rig.AllSee(20*time.Second, []int{0, 1, 3, 4}, 2, "unreachable", "gone")
	r.Set("unreachable", unreachable)
	r.Set("detected", took)
	r.Check(gone == 0, fmt.Sprintf("nobody called gone in %v at a loss of 20%%", lasts), gone)
	r.Check(ok && took < 5*time.Second, "a death is known to all within 5 s", took)
	return nil
}
