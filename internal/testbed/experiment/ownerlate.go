package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/fake"
)

// PlantedEnv has croftlock-experiment run as the program, with a fault that an experiment has to find.
const PlantedEnv = "CROFTLAB_PLANTED"

// lateTaken counts, in all lives' logs, effects of an older token that were taken after a newer one's, and refusals.
func (r *Rig) lateTaken() (late, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.all {
		top := map[string]uint64{}
		for _, l := range p.Log("event=drill_taken ") {
			job := field(l, "job")
			token, _ := strconv.ParseUint(field(l, "token"), 10, 64)
			if token < top[job] {
				late++
			}
			top[job] = max(top[job], token)
		}
		refused += len(p.Log("event=stale_effect_rejected "))
	}
	return late, refused
}

// ownerLate has owners wake up late: stopped between their look at the lease and their sending, with what they sent held back, and cut off in one
// direction, each way. jobs of them at a time, for half a minute each.
func ownerLate(e *Env, r *Report) error {
	const table = "late owners: five processes, three voters with disks"
	r.Head(table, "case", "fence", "late owners", "their effects taken after a newer one's", "refused", "without an owner, median, worst")
	for _, fence := range []bool{true, false} {
		for _, how := range []string{"stopped for 30 s after its look", "its datagrams held back for 30 s", "deaf for 30 s", "mute for 30 s"} {
			if !fence && how != "stopped for 30 s after its look" {
				continue
			}
			turns, late, refused, gaps, err := lateTurns(e, how, fence, 30*time.Second)
			if err != nil {
				return fmt.Errorf("%s: %w", how, err)
			}
			slices.Sort(gaps)
			mid, worst := time.Duration(0), time.Duration(0)
			if n := len(gaps); n > 0 {
				mid, worst = gaps[n/2], gaps[n-1]
			}
			r.Row(table, how, fence, turns, late, refused, fmt.Sprint(mid.Round(time.Millisecond), ", ", worst.Round(time.Millisecond)))
			if fence {
				r.Hold(late == 0 && turns >= 50, how+": 50 late owners and more, none of whose effects is taken after a newer one's", fmt.Sprintf("%d of %d", late, turns))
			} else {
				r.Hold(late > 0, "without the fence it is found", late)
			}
		}
	}
	return nil
}

// lateTurns has the owners of many jobs be late at once, on some rigs side by side.
func lateTurns(e *Env, how string, fence bool, lasts time.Duration) (turns, late, refused int, gaps []time.Duration, err error) {
	const rigs, jobs = 3, 100
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range rigs {
		all.Add(1)
		go func() {
			defer all.Done()
			n, l, f, g, fault := lateTurn(e, how, fence, lasts, jobs, uint64(k+1))
			mu.Lock()
			defer mu.Unlock()
			turns, late, refused, gaps = turns+n, late+l, refused+f, append(gaps, g...)
			if fault != nil {
				err = fault
			}
		}()
	}
	all.Wait()
	return turns, late, refused, gaps, err
}

func lateTurn(e *Env, how string, fence bool, lasts time.Duration, jobs int, seed uint64) (turns, late, refused int, gaps []time.Duration, err error) {
	o := RigOptions{N: 5, Seed: seed, Level: "debug", Sections: ownersFile(3, true, fmt.Sprintf("(drill %d) (drill_ms 500)", jobs))}
	env := *e
	if !fence {
		env.Croftlock, o.Env = e.Self, []string{PlantedEnv + "=forget"}
	}
	// Without a key: a seal would refuse what comes half a minute late by itself, and the fence is to be tried.
	r, err := NewRigWith(&env, o)
	if err != nil {
		return 0, 0, 0, nil, err
	}
	defer r.Close()
	who, err := r.AllOwned(jobs)
	if err != nil {
		return 0, 0, 0, nil, err
	}
	victim := int(seed) % 5
	var mine []string
	for job, i := range who {
		if i == victim {
			mine = append(mine, job)
		}
	}
	slices.Sort(mine)
	if len(mine) == 0 {
		return 0, 0, 0, nil, errors.New("the one that is to be late owns nothing")
	}
	links := func(change func(l *fake.Link, out bool)) {
		for j := range 5 {
			if j != victim {
				r.Mesh.Set(victim, j, func(l *fake.Link) { change(l, true) })
				r.Mesh.Set(j, victim, func(l *fake.Link) { change(l, false) })
			}
		}
	}
	began := time.Now()
	switch how {
	case "stopped for 30 s after its look":
		// One job stops the process between its look and its sending; the others sleep wherever they are.
		if _, err := r.Owners(victim, owneragent.Request{Do: "late", A: mine[0]}); err != nil {
			return 0, 0, 0, nil, err
		}
		time.Sleep(lasts)
		r.Procs[victim].Signal(syscall.SIGCONT)
	case "its datagrams held back for 30 s":
		links(func(l *fake.Link, out bool) {
			if out {
				l.Delay = lasts
			}
		})
		time.Sleep(600 * time.Millisecond) // a turn of each job is on its way for half a minute
		links(func(l *fake.Link, out bool) { l.Delay = 0; l.Cut = true })
		time.Sleep(lasts / 2)
		links(func(l *fake.Link, out bool) { l.Cut = false })
		time.Sleep(lasts/2 + time.Second)
	default:
		links(func(l *fake.Link, out bool) { l.Cut = out == (how == "mute for 30 s") })
		time.Sleep(lasts)
		links(func(l *fake.Link, out bool) { l.Cut = false })
	}
	time.Sleep(2 * time.Second)
	if _, err := r.AllOwned(jobs); err != nil {
		return 0, 0, 0, nil, err
	}
	if err := r.CheckTokens(); err != nil {
		return 0, 0, 0, nil, err
	}
	for _, g := range r.gaps(began, mine) {
		gaps = append(gaps, g)
	}
	late, refused = r.lateTaken()
	return len(mine), late, refused, gaps, nil
}
