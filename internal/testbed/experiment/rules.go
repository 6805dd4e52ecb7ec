package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/fake"
)

// maxVersionOverlap is the longest time for which two versions may be applied at once. It equals
// agree_within in the processes' settings.
const maxVersionOverlap = time.Second

// rulesCase is one case of the experiment rules-agree.
type rulesCase struct {
	name          string
	changes       bool          // whether operators propose changes
	faults        bool          // whether a fault starts about every 2 s
	injectedFault string        // fault in the program that the checker must detect; empty means none
	duration      time.Duration // of the load

	// check checks the bounds of this case. baseline is the outcome without changes.
	check func(r *Report, o, baseline *rulesOutcome)
}

// rulesCases lists the cases in the order in which rulesAgree runs them. The first is the baseline.
var rulesCases = []rulesCase{
	{name: "without changes", duration: 20 * time.Second, check: func(*Report, *rulesOutcome, *rulesOutcome) {}},
	{name: "changes", changes: true, duration: 40 * time.Second, check: checkWithoutFaults},
	{name: "changes and faults", changes: true, faults: true, duration: 120 * time.Second, check: checkWithFaults},
	{name: "a lease ten times too long", changes: true, faults: true, injectedFault: "lapse", duration: 60 * time.Second, check: checkInjected},
}

// rulesAgree runs five processes that agree on a change of rules every 200 ms under 500 placements
// per second. It runs them without faults, with a fault about every 2 s, and with an injected
// fault that the checker must detect: the lease, a process's right to apply a version, lasts ten times
// too long.
func rulesAgree(e *Env, r *Report) error {
	const table = "rules among five processes, three replicas without disks, agree_within 1 s"
	r.StartTable(table, "case", "changes active", "active within, p50 p99", "decisions", "two versions at once, p99, longest", "no answer", "placed, p50 p99")
	var baseline *rulesOutcome
	for _, c := range rulesCases {
		o, err := c.run(e)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		if baseline == nil {
			baseline = o
		}
		versionOverlaps, longest := o.overlaps()
		r.AddRow(table, c.name, o.changesActive, percentilesText(o.changeTimes), o.decisions,
			fmt.Sprint(percentile(versionOverlaps, 0.99), ", ", longest), o.unanswered, percentilesText(o.placementTimes))
		c.check(r, o, baseline)
		if c.injectedFault == "" {
			r.Check(o.unanswered == 0, c.name+": each request gets an answer", o.unanswered)
		}
	}
	return nil
}

// checkWithoutFaults checks the bounds for changes without faults.
func checkWithoutFaults(r *Report, o, baseline *rulesOutcome) {
	versionOverlaps, longest := o.overlaps()
	before, placed := percentile(baseline.placementTimes, 0.99), percentile(o.placementTimes, 0.99)
	r.Check(longest <= maxVersionOverlap && percentile(versionOverlaps, 0.99) <= 100*time.Millisecond, "without faults two versions at once for 100 ms at p99", percentile(versionOverlaps, 0.99))
	r.Check(percentile(o.changeTimes, 0.99) <= 300*time.Millisecond, "without faults a change is active within 300 ms at p99", percentile(o.changeTimes, 0.99))
	r.Check(placed <= before*11/10+time.Millisecond, "p99 of a placement within a tenth, and a millisecond, of the same without changes",
		fmt.Sprint(placed, " of ", before))
}

// checkWithFaults checks the bounds for changes with faults.
func checkWithFaults(r *Report, o, _ *rulesOutcome) {
	_, longest := o.overlaps()
	r.Check(longest <= maxVersionOverlap, "after the first decision by a newer version none by an older one for longer than agree_within", longest)
	r.Check(o.changesActive >= 20, "changes become active through the faults", o.changesActive)
}

// checkInjected checks that the injected fault is detected.
func checkInjected(r *Report, o, _ *rulesOutcome) {
	_, longest := o.overlaps()
	r.Check(longest > maxVersionOverlap, "the checker finds a lease that is too long", longest)
}

// run runs the case on a rig of its own and returns the outcome.
func (c *rulesCase) run(e *Env) (*rulesOutcome, error) {
	g, err := newRulesRig(e, ownersSection(3, false, "(rules on) (agree_within 1s)"), c.injectedFault)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	if c.changes {
		g.startWorker(g.proposeChanges)
	}
	end := time.Now().Add(c.duration)
	rng := rand.New(rand.NewPCG(3, 1))
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !c.faults {
			continue
		}
		if err := g.injectRandomFault(rng); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	return g.finish(), nil
}

// injectRandomFault cuts off, pauses or kills a random process. A cut or a pause may last longer than
// a lease.
func (g *rulesRig) injectRandomFault(rng *rand.Rand) error {
	i := rng.IntN(5)
	switch rng.IntN(3) {
	case 0:
		g.SetCutOff(i, true)
		time.Sleep(time.Duration(300+rng.IntN(3700)) * time.Millisecond)
		g.SetCutOff(i, false)
	case 1:
		g.pause(i, time.Duration(300+rng.IntN(1500))*time.Millisecond)
	case 2:
		return g.restart(i)
	}
	return nil
}

// placeClients opens 25 connections per second at process i and closes each at once, until stopping
// is set. It pauses while down is set.
func (o *rulesOutcome) placeClients(r *Rig, i int, down, stopping *atomic.Bool) {
	for !stopping.Load() {
		time.Sleep(40 * time.Millisecond)
		if down.Load() {
			continue
		}
		client, answer, _ := fake.Open(r.Procs[i].Addr, "lab", "", time.Second)
		o.mu.Lock()
		if answer.Kind == "NONE" && !down.Load() {
			o.unanswered++
		}
		if client != nil {
			o.placementTimes = append(o.placementTimes, answer.Latency)
		}
		o.mu.Unlock()
		if client != nil {
			client.Close()
		}
	}
}

// proposeChanges proposes a change every 200 ms until the workers are stopped, through one process
// after the other. It skips processes that are down.
func (g *rulesRig) proposeChanges() {
	version := uint64(0) // last known active version
	for n := 0; !g.stopping.Load(); n++ {
		next := time.Now().Add(200 * time.Millisecond)
		if i := n % 5; !g.down[i].Load() {
			version = g.proposeChange(i, n, version)
		}
		time.Sleep(time.Until(next))
	}
}

// proposeChange proposes change n, based on version, through process i. It returns the active
// version afterwards.
func (g *rulesRig) proposeChange(i, n int, version uint64) uint64 {
	startedAt := time.Now()
	change := rules.NewOperatorsChange(&rules.Version{ExcludedHosts: []string{fmt.Sprint("nobody", n)}}, version, fmt.Appendf(nil, "change%08d", n))
	answer := g.query(i, rules.EncodeProposal(change))
	if _, err := fmt.Sscanf(answer, "active: version %d", &version); err != nil {
		fmt.Sscanf(g.query(i, rules.QueryActive()), "active: version %d", &version)
		return version
	}
	g.rulesOutcome.mu.Lock()
	defer g.rulesOutcome.mu.Unlock()
	g.changesActive++
	g.changeTimes = append(g.changeTimes, time.Since(startedAt))
	return version
}
