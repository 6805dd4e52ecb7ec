package experiment

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/testbed/fake"
)

const (
	costLasts = 60 * simulation.Sec
	costTurns = 5
)

// memberKill kills one, and a third, among 5 and 15 processes.
func memberKill(e *Env, r *Report) error {
	const table = "from SIGKILL until all survivors hold the killed for unreachable or gone"
	r.Head(table, "processes", "killed", "turns", "median", "p99", "back as a new life, median")
	for _, n := range []int{5, 15} {
		rig, err := NewRig(e, n, 1, labKey)
		if err != nil {
			return err
		}
		defer rig.Close()
		for _, k := range []int{1, n / 3} {
			var took, back []time.Duration
			for turn := range memberTurns {
				if _, ok := rig.Whole(30 * time.Second); !ok {
					return fmt.Errorf("%d processes, turn %d: not whole after 30 s", n, turn)
				}
				var dead, alive []int
				for i := range n {
					if (i+turn)%n < k {
						dead = append(dead, i)
					} else {
						alive = append(alive, i)
					}
				}
				for _, i := range dead {
					rig.Procs[i].cmd.Process.Kill()
				}
				slowest := time.Duration(0)
				for _, i := range dead {
					t, ok := rig.AllSee(20*time.Second, alive, i, "unreachable", "gone")
					if !ok {
						return fmt.Errorf("%d processes, turn %d: n%d is not missed after 20 s", n, turn, i)
					}
					slowest += t // one after the other: together the whole wait
				}
				took = append(took, slowest)
				for _, i := range dead {
					<-rig.Procs[i].done
					if err := rig.Start(i); err != nil {
						return err
					}
				}
				t, ok := rig.Whole(30 * time.Second)
				if !ok {
					return fmt.Errorf("%d processes, turn %d: not whole 30 s after the restart", n, turn)
				}
				back = append(back, t)
			}
			slices.Sort(took)
			slices.Sort(back)
			p99 := took[len(took)-1]
			r.Row(table, n, k, len(took), took[len(took)/2], p99, back[len(back)/2])
			r.Hold(p99 < 3*time.Second, fmt.Sprintf("%d of %d killed: all know within 3 s", k, n), p99)
		}
		rig.Close()
	}
	return nil
}

const (
	memberTurns = 20
	labKey      = "0123456789abcdef0123456789abcdef"
)

// memberPause stops one of five for times under 2 s, and for 10 s.
func memberPause(e *Env, r *Report) error {
	rig, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	const table = "a process that sleeps"
	r.Head(table, "pause", "held for unreachable by", "alive again to all after", "the sleeper accuses")
	for _, pause := range []time.Duration{200 * time.Millisecond, time.Second, 1900 * time.Millisecond, 10 * time.Second} {
		if _, ok := rig.Whole(30 * time.Second); !ok {
			return fmt.Errorf("not whole before a pause of %v", pause)
		}
		lines := func(what string, of ...int) (n int) {
			for _, i := range of {
				n += len(rig.Procs[i].Log(what))
			}
			return n
		}
		others := []int{0, 2, 3, 4}
		given, accused := lines("to=unreachable", others...), lines("to=suspect", 1)+lines("to=unreachable", 1)
		rig.Procs[1].Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		rig.Procs[1].Signal(syscall.SIGCONT)
		back, ok := rig.AllSee(20*time.Second, others, 1, "alive")
		if !ok {
			return fmt.Errorf("not alive to all 20 s after a pause of %v", pause)
		}
		time.Sleep(2 * time.Second)
		given, accused = lines("to=unreachable", others...)-given, lines("to=suspect", 1)+lines("to=unreachable", 1)-accused
		r.Row(table, pause, given, back, accused)
		if pause < 2*time.Second {
			r.Hold(given == 0, fmt.Sprintf("a pause of %v removes nobody", pause), given)
		} else {
			r.Hold(given == 4, "a pause of 10 s is noticed by all", given)
		}
		r.Hold(back < time.Second, fmt.Sprintf("%v: refuted within 1 s", pause), back)
		r.Hold(accused == 0, fmt.Sprintf("%v: the sleeper accuses nobody", pause), accused)
	}
	return nil
}

// memberLoss loses a fifth of all for five minutes, then one dies.
func memberLoss(e *Env, r *Report) error { return loss(e, r, 5*time.Minute) }

func loss(e *Env, r *Report, lasts time.Duration) error {
	rig, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, ok := rig.Whole(30 * time.Second); !ok {
		return errors.New("not whole after 30 s")
	}
	for i := range 5 {
		for j := range 5 {
			if i != j {
				rig.Mesh.Set(i, j, func(l *fake.Link) { l.Loss = 0.2 })
			}
		}
	}
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
	r.Hold(gone == 0, fmt.Sprintf("nobody called gone in %v at a loss of 20%%", lasts), gone)
	r.Hold(ok && took < 5*time.Second, "a death is known to all within 5 s", took)
	return nil
}
