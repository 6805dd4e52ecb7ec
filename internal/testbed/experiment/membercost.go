package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/testbed/parallel"
)

// detector is a failure detector that the simulation can measure.
type detector struct {
	name    string
	measure func(n int, loss float64, duration simulation.Time, seed uint64) simulation.Cost
}

// detectors lists the program's failure detector, which comes first, and the alternatives.
var detectors = []detector{
	{"suspicion, heard by anybody", simulation.Measure},
	{"heartbeats to all, phi 8", simulation.Heartbeats},
	{"ten observers that agree", simulation.Observers},
}

const (
	costDuration = 60 * simulation.Sec
	costSeeds    = 5
	// Fleets from this size on are simulated once and for a shorter time, since each step takes longer.
	largeFleet         = 300
	largeFleetDuration = 20 * simulation.Sec
	// undetected is the detection time of a death that fewer than 99 % of the survivors saw within
	// the 15 s that the simulation waits.
	undetected = simulation.Time(1 << 62)
)

// detectorRun measures one detector at one fleet size and one loss rate.
type detectorRun struct {
	detector int // index in detectors
	members  int
	loss     float64 // fraction of all datagrams that are lost
	costs    []simulation.Cost
}

// simulate runs the simulation once for each seed and records the costs.
func (d *detectorRun) simulate() {
	seeds, duration := costSeeds, costDuration
	if d.members >= largeFleet {
		seeds, duration = 1, largeFleetDuration
	}
	for seed := range seeds {
		d.costs = append(d.costs, detectors[d.detector].measure(d.members, d.loss, duration, uint64(seed+1)))
	}
}

// falseAlarms returns the mean number of false alarms over all seeds.
func (d *detectorRun) falseAlarms() (alarms float64) {
	for _, c := range d.costs {
		alarms += c.FalseAlarms / float64(len(d.costs))
	}
	return alarms
}

// detectionTimes returns the median and the longest time until a death was detected.
func (d *detectorRun) detectionTimes() (median, longest simulation.Time) {
	var times []simulation.Time
	for _, c := range d.costs {
		if c.DetectionTime < 0 {
			c.DetectionTime = undetected
		}
		times = append(times, c.DetectionTime)
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// detectionTimeText formats a detection time in milliseconds.
func detectionTimeText(t simulation.Time) string {
	if t == undetected {
		return "over 15000"
	}
	return fmt.Sprint(t / simulation.Ms)
}

// memberCost simulates the failure detectors in virtual time, and measures the CPU time of an idle
// process.
func memberCost(e *Env, r *Report) error {
	const table = "per second and process; time until 99 in 100 know of a death; false alarms an hour in the fleet"
	r.StartTable(table, "detector", "members", "loss", "messages", "bytes", "known ms (median, max of 5)", "false alarms")
	runs := detectorRuns()
	simulateAll(e, runs)
	slices.SortStableFunc(runs, func(a, b *detectorRun) int { return cmp.Or(a.detector-b.detector, a.members-b.members) })
	messages := map[int]float64{} // of the program's detector without loss, by number of members
	for _, d := range runs {
		median, longest := d.detectionTimes()
		r.AddRow(table, detectors[d.detector].name, d.members, d.loss, fmt.Sprintf("%.1f", d.costs[0].Messages), fmt.Sprintf("%.0f", d.costs[0].Bytes),
			detectionTimeText(median)+", "+detectionTimeText(longest), fmt.Sprintf("%.1f", d.falseAlarms()))
		if d.detector == 0 && d.loss == 0 {
			messages[d.members] = d.costs[0].Messages
		}
	}
	cpu, err := idleMemberCPU(e)
	if err != nil {
		return err
	}
	r.Check(cpu < 0.003, "CPU of an idle process of five with membership on, under 0.003 of a core", fmt.Sprintf("%.4f", cpu))
	r.Check(messages[1000] < 2*messages[3], "messages per process at 1,000 members under twice those at 3", fmt.Sprintf("%.1f, %.1f", messages[1000], messages[3]))
	return nil
}

// detectorRuns returns all runs, the longest first.
func detectorRuns() (runs []*detectorRun) {
	for _, members := range []int{1000, 300, 100, 10, 3} {
		for i := range detectors {
			for _, loss := range []float64{0, 0.05, 0.2} {
				runs = append(runs, &detectorRun{detector: i, members: members, loss: loss})
			}
		}
	}
	return runs
}

// simulateAll simulates the runs in parallel on all cores.
func simulateAll(e *Env, runs []*detectorRun) {
	parallel.ForEach(0, len(runs), func(i int) {
		d := runs[i]
		d.simulate()
		e.Logf("%s, %d members, loss %.2f: %+v", detectors[d.detector].name, d.members, d.loss, d.costs[0])
	})
}

// idleMemberCPU returns the fraction of a core that one of five idle processes uses, with membership on.
func idleMemberCPU(e *Env) (float64, error) {
	const span = 10 * time.Second
	rig, err := NewRig(e, 5, 1, sealKey)
	if err != nil {
		return 0, err
	}
	defer rig.Close()
	if _, ok := rig.AwaitAllAlive(30 * time.Second); !ok {
		return 0, errors.New("five processes: not all alive after 30 s")
	}
	before := rig.Procs[0].CPUTime()
	time.Sleep(span)
	return float64(rig.Procs[0].CPUTime()-before) / float64(span), nil
}
