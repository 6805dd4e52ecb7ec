package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/fake"
)

const agreeWithin = time.Second

// rulesAgree has five processes agree on a change each 200 ms under 500 placements a second: undisturbed, with a fault every 2 s, and with a right that is
// counted for ten times its time, which the checker has to find.
func rulesAgree(e *Env, r *Report) error {
	const table = "rules that five processes agree on, three voters by memory, agree_within 1 s"
	r.Columns(table, "case", "changes active", "active within, p50 p99", "decisions", "side by side, p99, longest", "no answer", "placed, p50 p99")
	var quiet time.Duration
	for _, c := range []struct {
		name           string
		changes, fault bool
		planted        string
		lasts          time.Duration
	}{{"without changes", false, false, "", 20 * time.Second}, {"changes", true, false, "", 40 * time.Second}, {"changes and faults", true, true, "", 120 * time.Second}, {"a right ten times too long", true, true, "lapse", 60 * time.Second}} {
		a, err := playRulesCase(e, c.lasts, c.changes, c.fault, c.planted)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		over, longest := a.overlaps()
		r.Row(table, c.name, a.changesActive, percentilesText(a.changeTimes), a.decisions, fmt.Sprint(percentile(over, 0.99), ", ", longest), a.unanswered, percentilesText(a.placementTimes))
		switch {
		case !c.changes:
			quiet = percentile(a.placementTimes, 0.99)
		case c.planted != "":
			r.Check(longest > agreeWithin, "a right that is too long is found by the checker", longest)
			continue
		case c.fault:
			r.Check(longest <= agreeWithin, "from the first act by a newer version none by an older one for longer than agree_within", longest)
			r.Check(a.changesActive >= 20, "changes become active through the faults", a.changesActive)
		default:
			r.Check(longest <= agreeWithin && percentile(over, 0.99) <= 100*time.Millisecond, "undisturbed 100 ms side by side at p99", percentile(over, 0.99))
			r.Check(percentile(a.changeTimes, 0.99) <= 300*time.Millisecond, "undisturbed a change is active within 300 ms at p99", percentile(a.changeTimes, 0.99))
			r.Check(percentile(a.placementTimes, 0.99) <= quiet*11/10+time.Millisecond, "p99 of a placement within a tenth, and a millisecond, of the same without changes", fmt.Sprint(percentile(a.placementTimes, 0.99), " of ", quiet))
		}
		r.Check(a.unanswered == 0, c.name+": each request gets an answer", a.unanswered)
	}
	return nil
}

// playRulesCase plays one case of rules-agree.
func playRulesCase(e *Env, lasts time.Duration, changes, faults bool, planted string) (*rulesOutcome, error) {
	g, err := newRulesRig(e, ownersFile(3, false, "(rules on) (agree_within 1s)"), planted)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	if changes {
		g.startWorker(g.putChanges)
	}
	end := time.Now().Add(lasts)
	rng := rand.New(rand.NewPCG(3, 1))
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !faults {
			continue
		}
		i := rng.IntN(5)
		switch rng.IntN(3) {
		case 0:
			g.Cut(i, true) // also for longer than a right holds
			time.Sleep(time.Duration(300+rng.IntN(3700)) * time.Millisecond)
			g.Cut(i, false)
		case 1:
			g.pause(i, time.Duration(300+rng.IntN(1500))*time.Millisecond)
		case 2:
			if err := g.restart(i); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Second)
	}
	return g.end(), nil
}

// placeClients asks for connections at a process, 25 a second, each ended at once.
func (a *rulesOutcome) placeClients(r *Rig, i int, down, quit *atomic.Bool) {
	for !quit.Load() {
		time.Sleep(40 * time.Millisecond)
		if down.Load() {
			continue
		}
		c, ans, _ := fake.Open(r.Procs[i].Addr, "lab", "", time.Second)
		a.mu.Lock()
		if ans.Kind == "NONE" && !down.Load() {
			a.unanswered++
		}
		if c != nil {
			a.placementTimes = append(a.placementTimes, ans.Took)
		}
		a.mu.Unlock()
		if c != nil {
			c.Close()
		}
	}
}

// putChanges puts a change each 200 ms, by way of a process that is up.
func (g *rulesRig) putChanges() {
	at := uint64(0)
	for n := 0; !g.stopping.Load(); n++ {
		next := time.Now().Add(200 * time.Millisecond)
		i := n % 5
		if !g.down[i].Load() {
			began := time.Now()
			v := &rules.Version{Out: []string{fmt.Sprint("nobody", n)}}
			got := g.query(i, rules.EncodeProposal(rules.ChangeOperators(v, at, fmt.Appendf(nil, "change%08d", n))))
			if _, err := fmt.Sscanf(got, "active: version %d", &at); err == nil {
				g.rulesOutcome.mu.Lock()
				g.changesActive++
				g.changeTimes = append(g.changeTimes, time.Since(began))
				g.rulesOutcome.mu.Unlock()
			} else {
				fmt.Sscanf(g.query(i, rules.QueryActive()), "active: version %d", &at)
			}
		}
		time.Sleep(time.Until(next))
	}
}
