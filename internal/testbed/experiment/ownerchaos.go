package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// ownerChaos has a fault every 2 s for two minutes, with clients placed throughout.
func ownerChaos(e *Env, r *Report) error { return chaos(e, r, 120*time.Second, 200) }

func chaos(e *Env, r *Report, lasts time.Duration, rate float64) error {
	const table = "placement, clients at a rate throughout"
	r.Head(table, "run", "clients", "served", "failed", "p50 ms", "p99 ms")
	var p99 [2]float64
	for i, on := range []bool{false, true} {
		f, err := newFleet(e, 3, false)
		if err != nil {
			return err
		}
		rig, err := NewRigWith(e, RigOptions{N: 5, Seed: 7, Key: labKey, Level: "debug", Fleet: f, Sections: ownersFile(3, true, "(drill 20) (hosts on)")})
		if err != nil {
			return err
		}
		defer rig.Close()
		if _, err := rig.AllOwned(21); err != nil {
			return err
		}
		h := &history{rig: rig, stop: make(chan struct{})}
		rng := rand.New(rand.NewPCG(11, 11))
		var faults sync.WaitGroup
		if on {
			faults.Add(1)
			go func() {
				defer faults.Done()
				h.faults(rng, lasts)
			}()
			h.begin(3)
		}
		got := newTally()
		// Clients go to the processes that faults leave alone: those kill proxies with all that they carry, which is no matter of owners.
		var next atomic.Int64
		arrivals(rate, lasts, func(int) {
			p := rig.Procs[3+int(next.Add(1))%2]
			c, a, err := fake.Open(p.Addr, class, "", 2*time.Second)
			if err != nil {
				a.Kind = "NONE"
			}
			got.add(a, 2*time.Second)
			if c != nil {
				time.Sleep(time.Second)
				c.Close()
			}
		})
		faults.Wait()
		name := "no faults"
		if on {
			name = "a fault every 2 s"
		}
		all := 0
		for _, n := range got.kinds {
			all += n
		}
		p99[i] = got.took.quantile(0.99)
		r.Row(table, name, all, got.count("UP"), all-got.count("UP"), got.took.quantile(0.5), p99[i])
		if !on {
			rig.Close()
			continue
		}
		r.Hold(all == got.count("UP"), "no client fails by it", all-got.count("UP"))
		r.Hold(p99[1] <= 1.1*p99[0], "p99 of placement within a tenth of the run without faults", fmt.Sprintf("%.2f, %.2f ms", p99[1], p99[0]))
		if _, err := rig.AllOwned(21); err != nil {
			return err
		}
		h.end()
		late, refused := rig.lateTaken()
		r.Hold(late == 0, "no effect of an older token is taken after a newer one's", fmt.Sprintf("%d; %d refused", late, refused))
		err = rig.CheckTokens()
		r.Hold(err == nil, "each token is one process's", err)
		ok, n, unknown := h.check()
		r.Hold(ok && n > 20, "the history of hosts out by hand is linearizable", fmt.Sprintf("%d calls, %d of them unknown, %d faults", n, unknown, h.count))
		gaps := rig.jobGaps()
		slices.Sort(gaps)
		if n := len(gaps); n > 0 {
			r.Hold(gaps[n*99/100] <= 5*time.Second, "a job without an owner for no more than 5 s at p99", fmt.Sprintf("median %v, p99 %v, worst %v of %d", gaps[n/2].Round(time.Millisecond),
				gaps[n*99/100].Round(time.Millisecond), gaps[n-1].Round(time.Millisecond), n))
		}
		rig.Close()
	}
	return nil
}

// jobGaps are how long each job was without effects, over all changes of owner: from the last effect of one token at anybody to the next token's first.
func (r *Rig) jobGaps() (gaps []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type span struct{ first, last time.Time }
	spans := map[string]map[uint64]span{}
	for _, p := range r.all {
		for _, l := range p.Log("event=drill_taken ") {
			job, at := field(l, "job"), logTime(l)
			token, _ := strconv.ParseUint(field(l, "token"), 10, 64)
			if spans[job] == nil {
				spans[job] = map[uint64]span{}
			}
			s, seen := spans[job][token]
			if !seen || at.Before(s.first) {
				s.first = at
			}
			if at.After(s.last) {
				s.last = at
			}
			spans[job][token] = s
		}
	}
	for _, tokens := range spans {
		var order []uint64
		for t := range tokens {
			order = append(order, t)
		}
		slices.Sort(order)
		for i := 1; i < len(order); i++ {
			gaps = append(gaps, max(0, tokens[order[i]].first.Sub(tokens[order[i-1]].last)))
		}
	}
	return gaps
}
