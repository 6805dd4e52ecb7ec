package simulation

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// heartbeatInterval is the time between two heartbeats of a process, and heartbeatBytes the length
	// of one.
	heartbeatInterval = 500 * Ms
	heartbeatBytes    = 40
	// maxLinks is the maximum number of links that are simulated, as all links are alike.
	maxLinks = 2000
)

// arrivalHistory holds the recent intervals between heartbeats on one link, as a phi-accrual failure
// detector records them.
type arrivalHistory struct {
	last      float64   // time of the last heartbeat in seconds; zero if there was none
	intervals []float64 // in seconds
}

const (
	phiWindow       = 100  // maximum number of recorded intervals
	phiMinIntervals = 20   // intervals that must be recorded before the detector suspects a process
	phiMinDeviation = 0.05 // minimum standard deviation, in seconds
	phi8Deviations  = 5.61 // standard deviations beyond which 1e-8 of a normal distribution lies
)

// suspectAfter returns the silence in seconds at which phi reaches 8.
func (a *arrivalHistory) suspectAfter() float64 {
	mean, deviation := 0.0, 0.0
	for _, interval := range a.intervals {
		mean += interval
	}
	mean /= float64(len(a.intervals))
	for _, interval := range a.intervals {
		deviation += (interval - mean) * (interval - mean)
	}
	deviation = math.Max(math.Sqrt(deviation/float64(len(a.intervals))), phiMinDeviation)
	return mean + phi8Deviations*deviation
}

// recordArrival records a heartbeat that arrived at the time at, in seconds, and reports whether the
// silence before it was so long that the detector suspected the sender, which is a false alarm.
func (a *arrivalHistory) recordArrival(at float64) (alarm bool) {
	alarm = len(a.intervals) >= phiMinIntervals && at-a.last > a.suspectAfter()
	if a.last > 0 {
		a.intervals = append(a.intervals, at-a.last)
		if len(a.intervals) > phiWindow {
			a.intervals = a.intervals[1:]
		}
	}
	a.last = at
	return alarm
}

// Heartbeats returns the cost of an alternative design: each process sends heartbeats to all others and
// runs a phi-accrual failure detector (Hayashibara), with phi 8 over a window of 100 intervals. The
// parameters are those of Measure.
func Heartbeats(n int, loss float64, duration Time, seed uint64) Cost {
	r := rand.New(rand.NewPCG(seed, 13)) // the second seed is arbitrary but fixed
	links := min(n*(n-1), maxLinks)
	alarms := 0
	var delays []Time
	for range links {
		var link arrivalHistory
		now := 0.0
		for now < float64(duration)/1e9 {
			now += float64(heartbeatInterval) / 1e9 // in seconds
			if r.Float64() < loss {
				continue
			}
			// A heartbeat arrives after 2 to 4 ms, as a datagram in a Fleet does.
			if link.recordArrival(now + 0.002 + 0.002*r.Float64()) {
				alarms++
			}
		}
		// The sender dies at a random time within the interval after its last heartbeat.
		delays = append(delays, Time((link.last+link.suspectAfter()-now-r.Float64()*float64(heartbeatInterval)/1e9)*1e9))
	}
	slices.Sort(delays)
	messages := float64(n-1) * 1e9 / float64(heartbeatInterval)
	return Cost{
		Messages:      messages,
		Bytes:         messages * heartbeatBytes,
		DetectionTime: delays[(99*len(delays)-1)/100],                                                   // the 99th percentile
		FalseAlarms:   float64(alarms) / float64(links) * float64(n*(n-1)) * 3600e9 / float64(duration), // of all links, per hour
	}
}

const (
	observersPerMember    = 10
	observerProbeInterval = Sec
	observerMissedProbes  = 3        // consecutive probes without an answer after which an observer raises an alarm
	maxObservedMembers    = 200      // maximum number of members that are simulated, as all are alike
	simulatedDeaths       = 1000     // number of deaths from which the detection time is computed
	observerVoteDuration  = 100 * Ms // duration of a round of votes from all members to all
)

// Observers returns the cost of an alternative design with fixed observers for each member and a vote of
// all members on each change of the view (Rapid): ten observers probe a member once a second, and nine of
// them must have missed three consecutive answers. The parameters are those of Measure.
func Observers(n int, loss float64, duration Time, seed uint64) Cost {
	r := rand.New(rand.NewPCG(seed, 17)) // the second seed is arbitrary but fixed
	observers := min(observersPerMember, n-1)
	required := max(1, observers-1)
	lost := 1 - (1-loss)*(1-loss) // probability that the probe or its answer is lost
	members := min(n, maxObservedMembers)
	alarms := 0
	for range members {
		alarms += observerAlarms(r, lost, observers, int(duration/observerProbeInterval))
	}
	// A death is known once the slowest of the required observers has raised an alarm and all members have
	// voted.
	var delays []Time
	for range simulatedDeaths {
		at := make([]float64, observers) // alarms of the observers, in seconds after the death
		for i := range at {
			at[i] = r.Float64() + float64(observerMissedProbes)
		}
		slices.Sort(at)
		delays = append(delays, Time(at[required-1]*1e9)+observerVoteDuration)
	}
	slices.Sort(delays)
	return Cost{
		Messages:      2 * float64(observers),
		Bytes:         2 * float64(observers) * heartbeatBytes,
		DetectionTime: delays[989],                                                                  // the 99th percentile of simulatedDeaths
		FalseAlarms:   float64(alarms) / float64(members) * float64(n) * 3600e9 / float64(duration), // about all members, per hour
	}
}

// observerAlarms returns the number of false alarms about one living member in a number of rounds of probes.
// lost is the probability that a probe or its answer is lost.
func observerAlarms(r *rand.Rand, lost float64, observers, rounds int) (alarms int) {
	required := max(1, observers-1)
	missed := make([]int, observers) // consecutive missed answers, by observer
	alarmed := false                 // whether the last round ended with an alarm
	for range rounds {
		agreeing := 0
		for i := range missed {
			if r.Float64() < lost {
				missed[i]++
			} else {
				missed[i] = 0
			}
			if missed[i] >= observerMissedProbes {
				agreeing++
			}
		}
		if agreeing >= required && !alarmed {
			alarms++
		}
		alarmed = agreeing >= required
	}
	return alarms
}
