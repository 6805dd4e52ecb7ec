package simulation

import (
	"math"
	"slices"

	"croftlock/internal/fleet/membership"
)

// Cost is the traffic of a failure detector and the quality of its detection.
type Cost struct {
	Messages, Bytes float64 // sent per second and process
	// DetectionTime is the time from a death until 99 % of the survivors see the member as unreachable or
	// gone, or -1 if that did not happen within the run.
	DetectionTime Time
	// FalseAlarms is the number of living members, per hour and in the whole fleet, that some
	// process sees as unreachable or gone. A member counts only once in a run, however often it is
	// seen so.
	FalseAlarms float64
}

// observation collects the conclusions of the processes of a run. The victim is the process that Measure
// kills.
type observation struct {
	diedAt        Time         // when the victim died; zero while the victim is alive
	alarms        map[int]bool // member IDs of living members that some process saw as unreachable or gone
	detectedAfter map[int]Time // time from the death until a process saw the victim as unreachable or gone, by the number of that process
}

// Measure returns the cost of the failure detector of package membership in a fleet of n processes.
// loss is the probability that a datagram is lost. After a warm-up, the fleet runs for duration
// without faults other than this loss. Then the process with the number seed modulo n, the victim,
// dies, and the fleet runs for another 15 s.
func Measure(n int, loss float64, duration Time, seed uint64) Cost {
	f := New(n, seed, membership.Config{})
	f.Loss, f.SkipChecks = loss, true
	victim := int(seed) % n
	observed := observation{alarms: map[int]bool{}, detectedAfter: map[int]Time{}}
	f.OnChange = func(observer int, c membership.Change) {
		if c.NewState != membership.Unreachable && c.NewState != membership.Gone {
			return
		}
		if c.ID != membership.ID(Name(victim)) || observed.diedAt == 0 {
			observed.alarms[int(c.ID)] = true
		} else if _, known := observed.detectedAfter[observer]; !known {
			observed.detectedAfter[observer] = f.now - observed.diedAt
		}
	}
	// In a large fleet it takes longer until all processes know each other.
	warmUp := 10*Sec + Time(n)*Sec/12
	f.Run(warmUp)
	sentBefore, bytesBefore := f.traffic()
	clear(observed.alarms)
	f.Run(warmUp + duration)
	sent, bytes := f.traffic()
	c := Cost{
		Messages:    float64(sent-sentBefore) / float64(n) * 1e9 / float64(duration),
		Bytes:       float64(bytes-bytesBefore) / float64(n) * 1e9 / float64(duration),
		FalseAlarms: float64(len(observed.alarms)) * 3600e9 / float64(duration),
	}
	observed.diedAt = f.now
	f.Kill(victim)
	f.Run(f.now + 15*Sec)
	c.DetectionTime = detectionTime(observed.detectedAfter, n-1)
	return c
}

// detectionTime returns the time after which 99 % of the survivors had detected a death, or -1 if fewer did.
// detectedAfter holds the times of those that did, by process number.
func detectionTime(detectedAfter map[int]Time, survivors int) Time {
	var delays []Time
	for _, t := range detectedAfter {
		delays = append(delays, t)
	}
	slices.Sort(delays)
	required := int(math.Ceil(0.99 * float64(survivors)))
	if len(delays) < required {
		return -1
	}
	return delays[required-1]
}

// traffic returns the number of datagrams and bytes that all processes have sent so far.
func (f *Fleet) traffic() (sent, bytes int) {
	for _, n := range f.Nodes {
		counts := n.Core.Counts()
		sent += counts.Sent
		bytes += counts.Bytes
	}
	return sent, bytes
}
