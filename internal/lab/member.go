package lab

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"croftlock/internal/members"
	"croftlock/internal/membership/virtual"
	"croftlock/internal/standin"
)

const (
	costLasts = 60 * virtual.Sec
	costTurns = 5
)

// memberCost plays each way to detect failures that was weighed, in virtual time.
func memberCost(e *Env, r *Report) error {
	ways := []struct {
		name string
		f    func(n int, loss float64, lasts virtual.Time, seed uint64) virtual.Cost
	}{{"suspicion, heard by anybody", virtual.Measure}, {"heartbeats to all, phi 8", virtual.Heartbeats}, {"ten observers that agree", virtual.Observers}}
	const table = "a second an instance; time until 99 in 100 know of a death; false alarms an hour in the whole fleet"
	r.Head(table, "way", "members", "loss", "messages", "bytes", "known ms (median, worst of 5)", "false alarms")
	type job struct {
		way, n, turns int
		loss          float64
		lasts         virtual.Time
		got           []virtual.Cost
	}
	var jobs []*job
	for _, n := range []int{1000, 300, 100, 10, 3} { // the longest first
		for way := range ways {
			for _, loss := range []float64{0, 0.05, 0.2} {
				x := &job{way: way, n: n, turns: costTurns, loss: loss, lasts: costLasts}
				if n >= 300 {
					x.turns, x.lasts = 1, 20*virtual.Sec
				}
				jobs = append(jobs, x)
			}
		}
	}
	next := make(chan *job)
	var busy sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		busy.Add(1)
		go func() {
			defer busy.Done()
			for x := range next {
				for seed := range x.turns {
					x.got = append(x.got, ways[x.way].f(x.n, x.loss, x.lasts, uint64(seed+1)))
				}
				e.Say("%s, %d members, loss %.2f: %+v", ways[x.way].name, x.n, x.loss, x.got[0])
			}
		}()
	}
	for _, x := range jobs {
		next <- x
	}
	close(next)
	busy.Wait()
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Or(a.way-b.way, a.n-b.n) })
	var at3, at1000 float64
	for _, x := range jobs {
		var known []virtual.Time
		alarms := 0.0
		for _, c := range x.got {
			if c.Known < 0 {
				c.Known = 1 << 62
			}
			known = append(known, c.Known)
			alarms += c.FalseAlarms / float64(x.turns)
		}
		slices.Sort(known)
		took := func(t virtual.Time) string {
			if t == 1<<62 {
				return "over 15000"
			}
			return fmt.Sprint(t / virtual.Ms)
		}
		r.Row(table, ways[x.way].name, x.n, x.loss, fmt.Sprintf("%.1f", x.got[0].Messages), fmt.Sprintf("%.0f", x.got[0].Bytes),
			took(known[len(known)/2])+", "+took(known[len(known)-1]), fmt.Sprintf("%.1f", alarms))
		if x.way == 0 && x.loss == 0 && x.n == 3 {
			at3 = x.got[0].Messages
		} else if x.way == 0 && x.loss == 0 && x.n == 1000 {
			at1000 = x.got[0].Messages
		}
	}
	rig, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, ok := rig.Whole(30 * time.Second); !ok {
		return errors.New("five processes: not whole after 30 s")
	}
	before := rig.Procs[0].CPU()
	time.Sleep(10 * time.Second)
	cpu := float64(rig.Procs[0].CPU()-before) / float64(10*time.Second)
	r.Hold(cpu < 0.003, "CPU of an idle process of five with membership on, under 0.003 of a core", fmt.Sprintf("%.4f", cpu))
	r.Hold(at1000 < 2*at3, "messages an instance at 1,000 members under twice those at 3", fmt.Sprintf("%.1f, %.1f", at1000, at3))
	return nil
}

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
				rig.Mesh.Set(i, j, func(l *standin.Link) { l.Loss = 0.2 })
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

// memberCut cuts links in one direction, makes one deaf and one mute, and cuts two off from three.
func memberCut(e *Env, r *Report) error {
	rig, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	defer rig.Close()
	const table = "cuts among five, 8 s each"
	r.Head(table, "cut", "held for unreachable, not meant", "link named after", "views alike after healing")
	for _, c := range []struct {
		name string
		cut  func(i, j int) bool
		lost []int // whom the others may hold for unreachable
		by   int   // who is to say that it does not hear
	}{
		{"1 to 2", func(i, j int) bool { return i == 1 && j == 2 }, nil, 2},
		{"1 deaf", func(i, j int) bool { return j == 1 }, nil, 1},
		{"1 mute", func(i, j int) bool { return i == 1 }, []int{1}, -1},
		{"0, 1 from 2, 3, 4", func(i, j int) bool { return (i < 2) != (j < 2) }, []int{0, 1}, -1},
	} {
		if _, ok := rig.Whole(30 * time.Second); !ok {
			return fmt.Errorf("%s: not whole before", c.name)
		}
		set := func(on bool) {
			for i := range 5 {
				for j := range 5 {
					if i != j && c.cut(i, j) {
						rig.Mesh.Set(i, j, func(l *standin.Link) { l.Cut = on })
					}
				}
			}
		}
		set(true)
		began, named, wrong := time.Now(), time.Duration(-1), 0
		for time.Since(began) < 8*time.Second {
			rep, err := rig.Ask(3)
			if err != nil {
				return err
			}
			for _, m := range rep.Members {
				if m.Slot == c.by && len(m.Unheard) > 0 && named < 0 {
					named = time.Since(began)
				}
				if (m.State == "unreachable" || m.State == "gone") && !slices.Contains(c.lost, m.Slot) {
					wrong++
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		set(false)
		heal, ok := rig.Whole(20 * time.Second)
		if !ok {
			return fmt.Errorf("%s: not whole 20 s after healing", c.name)
		}
		r.Row(table, c.name, wrong, named, heal)
		r.Hold(wrong == 0, c.name+": the majority gives nobody up whom it hears", wrong)
		r.Hold(heal < 3*time.Second, c.name+": views alike within 3 s of healing", heal)
		if c.by >= 0 {
			r.Hold(named >= 0 && named < 3*time.Second, c.name+": the cut is named within 3 s", named)
		}
	}
	return nil
}

// membersCommand asks a running proxy who is there.
func membersCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "members SOCKET", Short: "Ask a running proxy which others are there", Args: cobra.ExactArgs(1),
		Long:    "Asks over the Unix socket that the operators' file names: (membership (socket \"/run/croftlock/members.sock\")).",
		Example: "  croftlab members /run/croftlock/members.sock --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			rep, err := members.Ask(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(rep)
			}
			return rep.Print(cmd.OutOrStdout())
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
