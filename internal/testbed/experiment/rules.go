package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/fake"
)

// agreeWithin is the settings' agree_within: for so long versions may be applied side by side.
const agreeWithin = time.Second

// rulesCase is one case of rules-agree.
type rulesCase struct {
	name    string
	changes bool   // operators put changes
	faults  bool   // one every 2 s
	planted string // a fault that the checker has to find; "": none
	lasts   time.Duration
	check   func(r *Report, o, quiet *rulesOutcome) // states the case's own bounds; quiet is the case without changes
}

var rulesCases = []rulesCase{
	{name: "without changes", lasts: 20 * time.Second, check: func(*Report, *rulesOutcome, *rulesOutcome) {}},
	{name: "changes", changes: true, lasts: 40 * time.Second, check: checkUndisturbed},
	{name: "changes and faults", changes: true, faults: true, lasts: 120 * time.Second, check: checkWithFaults},
	{name: "a right ten times too long", changes: true, faults: true, planted: "lapse", lasts: 60 * time.Second, check: checkPlanted},
}

// rulesAgree has five processes agree on a change each 200 ms under 500 placements a second: undisturbed, with a fault every 2 s, and
// with a lease that is counted for ten times its time, which the checker has to find.
func rulesAgree(e *Env, r *Report) error {
	const table = "rules that five processes agree on, three voters by memory, agree_within 1 s"
	r.Columns(table, "case", "changes active", "active within, p50 p99", "decisions", "side by side, p99, longest", "no answer", "placed, p50 p99")
	var quiet *rulesOutcome
	for _, c := range rulesCases {
		o, err := c.play(e)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		if quiet == nil {
			quiet = o
		}
		over, longest := o.overlaps()
		r.Row(table, c.name, o.changesActive, percentilesText(o.changeTimes), o.decisions,
			fmt.Sprint(percentile(over, 0.99), ", ", longest), o.unanswered, percentilesText(o.placementTimes))
		c.check(r, o, quiet)
		if c.planted == "" {
			r.Check(o.unanswered == 0, c.name+": each request gets an answer", o.unanswered)
		}
	}
	return nil
}

// checkUndisturbed states the bounds on changes without faults.
func checkUndisturbed(r *Report, o, quiet *rulesOutcome) {
	over, longest := o.overlaps()
	before, placed := percentile(quiet.placementTimes, 0.99), percentile(o.placementTimes, 0.99)
	r.Check(longest <= agreeWithin && percentile(over, 0.99) <= 100*time.Millisecond, "undisturbed 100 ms side by side at p99", percentile(over, 0.99))
	r.Check(percentile(o.changeTimes, 0.99) <= 300*time.Millisecond, "undisturbed a change is active within 300 ms at p99", percentile(o.changeTimes, 0.99))
	r.Check(placed <= before*11/10+time.Millisecond, "p99 of a placement within a tenth, and a millisecond, of the same without changes",
		fmt.Sprint(placed, " of ", before))
}

// checkWithFaults states the bounds on changes among faults.
func checkWithFaults(r *Report, o, _ *rulesOutcome) {
	_, longest := o.overlaps()
	r.Check(longest <= agreeWithin, "from the first act by a newer version none by an older one for longer than agree_within", longest)
	r.Check(o.changesActive >= 20, "changes become active through the faults", o.changesActive)
}

// checkPlanted states that the planted fault shows.
func checkPlanted(r *Report, o, _ *rulesOutcome) {
	_, longest := o.overlaps()
	r.Check(longest > agreeWithin, "a right that is too long is found by the checker", longest)
}

// play plays the case on a rig of its own.
func (c *rulesCase) play(e *Env) (*rulesOutcome, error) {
	g, err := newRulesRig(e, ownersFile(3, false, "(rules on) (agree_within 1s)"), c.planted)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	if c.changes {
		g.startWorker(g.putChanges)
	}
	end := time.Now().Add(c.lasts)
	rng := rand.New(rand.NewPCG(3, 1))
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !c.faults {
			continue
		}
		if err := g.playRandomFault(rng); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	return g.end(), nil
}

// playRandomFault cuts, stops or kills one of the processes; a cut or stop may last longer than a lease.
func (g *rulesRig) playRandomFault(rng *rand.Rand) error {
	i := rng.IntN(5)
	switch rng.IntN(3) {
	case 0:
		g.Cut(i, true)
		time.Sleep(time.Duration(300+rng.IntN(3700)) * time.Millisecond)
		g.Cut(i, false)
	case 1:
		g.pause(i, time.Duration(300+rng.IntN(1500))*time.Millisecond)
	case 2:
		return g.restart(i)
	}
	return nil
}

// placeClients asks for connections at a process, 25 a second, each ended at once.
func (o *rulesOutcome) placeClients(r *Rig, i int, down, quit *atomic.Bool) {
	for !quit.Load() {
		time.Sleep(40 * time.Millisecond)
		if down.Load() {
			continue
		}
		c, ans, _ := fake.Open(r.Procs[i].Addr, "lab", "", time.Second)
		o.mu.Lock()
		if ans.Kind == "NONE" && !down.Load() {
			o.unanswered++
		}
		if c != nil {
			o.placementTimes = append(o.placementTimes, ans.Took)
		}
		o.mu.Unlock()
		if c != nil {
			c.Close()
		}
	}
}

// putChanges puts a change each 200 ms, by way of a process that is up.
func (g *rulesRig) putChanges() {
	version := uint64(0) // that is active, as far as is known
	for n := 0; !g.stopping.Load(); n++ {
		next := time.Now().Add(200 * time.Millisecond)
		if i := n % 5; !g.down[i].Load() {
			version = g.putChange(i, n, version)
		}
		time.Sleep(time.Until(next))
	}
}

// putChange puts change n on top of a version, by way of process i, and gives the version that is active then.
func (g *rulesRig) putChange(i, n int, version uint64) uint64 {
	began := time.Now()
	change := rules.ChangeOperators(&rules.Version{HostsOut: []string{fmt.Sprint("nobody", n)}}, version, fmt.Appendf(nil, "change%08d", n))
	got := g.query(i, rules.EncodeProposal(change))
	if _, err := fmt.Sscanf(got, "active: version %d", &version); err != nil {
		fmt.Sscanf(g.query(i, rules.QueryActive()), "active: version %d", &version)
		return version
	}
	g.rulesOutcome.mu.Lock()
	defer g.rulesOutcome.mu.Unlock()
	g.changesActive++
	g.changeTimes = append(g.changeTimes, time.Since(began))
	return version
}
