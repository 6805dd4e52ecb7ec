package simulation

import (
	"math"
	"math/rand/v2"
	"sort"

	"croftlock/internal/fleet/membership"
)

// Cost is what a way to detect failures costs, and what it gives.
type Cost struct {
	Messages, Bytes float64 // a second an instance
	Known           Time    // from a death until 99 in 100 survivors hold the member for unreachable or gone; -1: not within the run
	FalseAlarms     float64 // an hour, in the whole fleet: a member that is there held for unreachable by somebody
}

// Measure plays this package's own part: n processes, at a loss, for a time in which nothing happens but one death in the middle.
func Measure(n int, loss float64, lasts Time, seed uint64) Cost {
	f := New(n, seed, membership.Config{})
	f.Loss, f.Unchecked = loss, true
	victim, begun := int(seed)%n, Time(0)
	alarms := map[int]bool{}
	knows := map[int]Time{}
	f.Changes = func(at int, c membership.Change) {
		if c.To != membership.Unreachable && c.To != membership.Gone {
			return
		}
		if id := membership.ID(Name(victim)); c.ID == id && begun > 0 {
			if _, ok := knows[at]; !ok {
				knows[at] = f.now - begun
			}
		} else {
			alarms[int(c.ID)] = true
		}
	}
	// A large fleet takes a while to hear of itself.
	warm := 10*Sec + Time(n)*Sec/12
	f.Run(warm)
	sent, bytes := f.traffic()
	clear(alarms)
	f.Run(warm + lasts)
	s2, b2 := f.traffic()
	c := Cost{Messages: float64(s2-sent) / float64(n) * 1e9 / float64(lasts), Bytes: float64(b2-bytes) / float64(n) * 1e9 / float64(lasts),
		FalseAlarms: float64(len(alarms)) * 3600e9 / float64(lasts), Known: -1}
	begun = f.now
	f.Kill(victim)
	f.Run(f.now + 15*Sec)
	var took []Time
	for _, t := range knows {
		took = append(took, t)
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if need := int(math.Ceil(0.99 * float64(n-1))); len(took) >= need {
		c.Known = took[need-1]
	}
	return c
}

func (f *Fleet) traffic() (sent, bytes int) {
	for _, n := range f.Nodes {
		k := n.Core.Counts()
		sent += k.Sent
		bytes += k.Bytes
	}
	return sent, bytes
}

// beat is how often the heartbeats of the ways not taken are sent, and beatBytes what one weighs.
const (
	beat      = 500 * Ms
	beatBytes = 40
)

// Heartbeats is the way not taken of a heartbeat from all to all with a phi-accrual detector at each: phi 8 over a window of 100
// intervals, as in Hayashibara's paper.
func Heartbeats(n int, loss float64, lasts Time, seed uint64) Cost {
	r := rand.New(rand.NewPCG(seed, 13))
	// Each link is alike: one observer of one member is played, for as long as the time times a bounded number of links.
	links := min(n*(n-1), 2000)
	alarms := 0
	var took []Time
	for range links {
		var gaps []float64
		last := 0.0
		now := 0.0
		wait := func() float64 { // the silence at which phi comes to 8
			mean, sd := 0.0, 0.0
			for _, g := range gaps {
				mean += g
			}
			mean /= float64(len(gaps))
			for _, g := range gaps {
				sd += (g - mean) * (g - mean)
			}
			sd = math.Max(math.Sqrt(sd/float64(len(gaps))), 0.05)
			return mean + 5.61*sd // 1e-8 of a normal distribution lies beyond
		}
		for now < float64(lasts)/1e9 {
			now += float64(beat) / 1e9
			if r.Float64() < loss {
				continue
			}
			at := now + 0.002 + 0.002*r.Float64()
			if len(gaps) >= 20 && at-last > wait() {
				alarms++
			}
			if last > 0 {
				gaps = append(gaps, at-last)
				if len(gaps) > 100 {
					gaps = gaps[1:]
				}
			}
			last = at
		}
		took = append(took, Time((last+wait()-now-r.Float64()*float64(beat)/1e9)*1e9))
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	each := float64(n-1) * 1e9 / float64(beat)
	return Cost{each, each * beatBytes, took[(99*len(took)-1)/100], float64(alarms) / float64(links) * float64(n*(n-1)) * 3600e9 / float64(lasts)}
}

// Observers is the way not taken of a fixed set of observers for each member, an alarm once enough of them agree, and a vote of all
// on the change of view (Rapid): ten observers that probe each second, nine of whom must have missed three in a row.
func Observers(n int, loss float64, lasts Time, seed uint64) Cost {
	const probe, misses = Sec, 3
	r := rand.New(rand.NewPCG(seed, 17))
	k := min(10, n-1)
	need := max(1, k-1)
	lost := 1 - (1-loss)*(1-loss) // there or back
	alarms := 0
	rounds := int(lasts / probe)
	members := min(n, 200)
	for range members {
		missed := make([]int, k)
		alarmed := false
		for range rounds {
			bad := 0
			for i := range missed {
				if r.Float64() < lost {
					missed[i]++
				} else {
					missed[i] = 0
				}
				if missed[i] >= misses {
					bad++
				}
			}
			if bad >= need && !alarmed {
				alarms++
			}
			alarmed = bad >= need
		}
	}
	// The slowest of the observers that are needed, and a vote that goes from all to all once.
	var took []Time
	for range 1000 {
		at := make([]float64, k)
		for i := range at {
			at[i] = r.Float64() + float64(misses)
		}
		sort.Float64s(at)
		took = append(took, Time(at[need-1]*1e9)+100*Ms)
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return Cost{2 * float64(k), 2 * float64(k) * beatBytes, took[989], float64(alarms) / float64(members) * float64(n) * 3600e9 / float64(lasts)}
}
