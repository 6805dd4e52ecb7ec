package simulation

import (
	"math"
	"slices"

	"croftlock/internal/fleet/membership"
)

// Cost is what a failure detector costs, and how well it detects.
type Cost struct {
	Messages, Bytes float64 // per second and process
	DetectionTime   Time    // from a death until 99 in 100 survivors see the member as unreachable or gone; -1: not within the run
	FalseAlarms     float64 // per hour in the fleet: a living member that some process sees as unreachable
}

// observation collects what the processes of a run conclude.
type observation struct {
	diedAt        Time         // 0: the victim is alive
	alarms        map[int]bool // members that were given up, the dead victim aside
	detectedAfter map[int]Time // by process: how long after the death it saw the victim as unreachable
}

// Measure runs package membership: n processes that lose a part of all datagrams, for a duration without a fault, and then one death.
func Measure(n int, loss float64, duration Time, seed uint64) Cost {
	f := New(n, seed, membership.Config{})
	f.Loss, f.SkipChecks = loss, true
	victim := int(seed) % n
	seen := observation{alarms: map[int]bool{}, detectedAfter: map[int]Time{}}
	f.OnChange = func(at int, c membership.Change) {
		if c.NewState != membership.Unreachable && c.NewState != membership.Gone {
			return
		}
		if c.ID != membership.ID(Name(victim)) || seen.diedAt == 0 {
			seen.alarms[int(c.ID)] = true
		} else if _, known := seen.detectedAfter[at]; !known {
			seen.detectedAfter[at] = f.now - seen.diedAt
		}
	}
	// A large fleet takes a while to learn of itself.
	warmUp := 10*Sec + Time(n)*Sec/12
	f.Run(warmUp)
	sentBefore, bytesBefore := f.traffic()
	clear(seen.alarms)
	f.Run(warmUp + duration)
	sent, bytes := f.traffic()
	c := Cost{
		Messages:    float64(sent-sentBefore) / float64(n) * 1e9 / float64(duration),
		Bytes:       float64(bytes-bytesBefore) / float64(n) * 1e9 / float64(duration),
		FalseAlarms: float64(len(seen.alarms)) * 3600e9 / float64(duration),
	}
	seen.diedAt = f.now
	f.Kill(victim)
	f.Run(f.now + 15*Sec)
	c.DetectionTime = detectionTime(seen.detectedAfter, n-1)
	return c
}

// detectionTime is the time by which 99 in 100 of the survivors knew of a death; -1: fewer did.
func detectionTime(knows map[int]Time, survivors int) Time {
	var delays []Time
	for _, t := range knows {
		delays = append(delays, t)
	}
	slices.Sort(delays)
	need := int(math.Ceil(0.99 * float64(survivors)))
	if len(delays) < need {
		return -1
	}
	return delays[need-1]
}

// traffic is what all processes have sent so far.
func (f *Fleet) traffic() (sent, bytes int) {
	for _, n := range f.Nodes {
		counts := n.Core.Counts()
		sent += counts.Sent
		bytes += counts.Bytes
	}
	return sent, bytes
}
