package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"croftlock/internal/fleet/membership/simulation"
)

// memberCost plays each way to detect failures that was weighed, in virtual time.
func memberCost(e *Env, r *Report) error {
	ways := []struct {
		name string
		f    func(n int, loss float64, lasts simulation.Time, seed uint64) simulation.Cost
	}{{"suspicion, heard by anybody", simulation.Measure}, {"heartbeats to all, phi 8", simulation.Heartbeats}, {"ten observers that agree", simulation.Observers}}
	const table = "a second an instance; time until 99 in 100 know of a death; false alarms an hour in the whole fleet"
	r.Head(table, "way", "members", "loss", "messages", "bytes", "known ms (median, worst of 5)", "false alarms")
	type job struct {
		way, n, turns int
		loss          float64
		lasts         simulation.Time
		got           []simulation.Cost
	}
	var jobs []*job
	for _, n := range []int{1000, 300, 100, 10, 3} { // the longest first
		for way := range ways {
			for _, loss := range []float64{0, 0.05, 0.2} {
				x := &job{way: way, n: n, turns: costTurns, loss: loss, lasts: costLasts}
				if n >= 300 {
					x.turns, x.lasts = 1, 20*simulation.Sec
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
		var known []simulation.Time
		alarms := 0.0
		for _, c := range x.got {
			if c.Known < 0 {
				c.Known = 1 << 62
			}
			known = append(known, c.Known)
			alarms += c.FalseAlarms / float64(x.turns)
		}
		slices.Sort(known)
		took := func(t simulation.Time) string {
			if t == 1<<62 {
				return "over 15000"
			}
			return fmt.Sprint(t / simulation.Ms)
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
