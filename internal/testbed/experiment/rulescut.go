package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"croftlock/internal/fleet/membership/simulation"
	"croftlock/internal/fleet/rules"
)

// turns are what came of one fault, played again and again with a change under way each time.
type turns struct {
	played           int
	took, heals      []time.Duration // until the change was active, and from the fault's end until all act by it
	unknown, refused int             // answers other than that it is active
}

// rulesCut plays each cut, pause and loss of a process beside a change: never over the bound, and all agree again soon after.
func rulesCut(e *Env, r *Report) error {
	const table = "a change beside each fault; five processes, three voters, agree_within 1 s"
	r.Head(table, "fault", "turns", "active after, p50 p99", "no word, refused", "all agree after its end, p50 p99", "side by side, longest", "no answer")
	for _, part := range []struct {
		name, sections string
		faults         []cutFault
	}{
		{"when_cut refuse, votes in memory", ownersFile(3, false, "(rules on) (agree_within 1s)"), []cutFault{
			{"cut off in both directions, 1.5 s", 20, "cut", 1500}, {"hears nothing, 1.5 s", 20, "deaf", 1500}, {"is not heard, 1.5 s", 20, "mute", 1500},
			{"stopped, 1 s", 20, "pause", 1000}, {"stopped, 10 s", 1, "pause", 10000}, {"the keeper killed", 8, "kill", 0}}},
		{"when_cut keep", ownersFile(3, false, "(rules on) (agree_within 1s) (when_cut keep)"), []cutFault{{"cut off in both directions, 1.5 s, and keeps", 8, "cut", 1500}}},
		{"votes on disks", ownersFile(3, true, "(rules on) (agree_within 1s)"), []cutFault{{"two of three disks full, 1.5 s", 4, "full", 1500}}},
	} {
		g, err := newAgreeing(e, part.sections, "")
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		var rows [][]any
		for _, f := range part.faults {
			t, err := g.play(f)
			if err != nil {
				g.Close()
				return fmt.Errorf("%s: %w", f.name, err)
			}
			rows = append(rows, []any{f.name, t.played, spread(t.took), fmt.Sprint(t.unknown, ", ", t.refused), spread(t.heals)})
			if f.kind != "full" { // there it waits for the voters to open their stores again
				r.Hold(percentile(t.heals, 1) <= 2*time.Second, f.name+": all agree within 2 s of its end", percentile(t.heals, 1))
			}
		}
		a := g.end()
		_, longest := a.overlaps()
		for _, row := range rows {
			r.Row(table, append(row, longest, a.silent)...)
		}
		r.Hold(longest <= agreeWithin, part.name+": no act by an older version for longer than agree_within after the first by a newer", longest)
		r.Hold(a.silent == 0, part.name+": each request gets an answer", a.silent)
		r.Hold(a.lapsed > 0, part.name+": who has no right acts by none, or says that it has lapsed", a.lapsed)
		g.Close()
	}
	return nil
}

type cutFault struct {
	name  string
	turns int
	kind  string
	ms    int64
}

// play has a fault happen so many times, each time at another process, with a change put while it lasts.
func (g *agreeingRig) play(f cutFault) (*turns, error) {
	t := &turns{}
	rng := rand.New(rand.NewPCG(7, uint64(len(f.name))))
	for ; t.played < f.turns; t.played++ {
		i := rng.IntN(5)
		if f.kind == "kill" {
			owner, odd := g.Holders()
			k, is := owner["rules"]
			if !is {
				return nil, fmt.Errorf("nobody keeps the rules: %s", odd)
			}
			i = k
		}
		by := (i + 1 + rng.IntN(4)) % 5
		if f.kind == "full" {
			i, by = t.played%3, 3
		}
		at, err := g.standing(by)
		if err != nil {
			return nil, err
		}
		end, err := g.strike(f, i)
		if err != nil {
			return nil, err
		}
		began, answer := time.Now(), make(chan string, 1)
		id := fmt.Appendf(nil, "%.4s%08d%04d", f.kind, at, t.played)
		change := rules.EncodeProposal(rules.ChangeOperators(&rules.Version{HostsOut: []string{fmt.Sprint("nobody", at, f.kind)}}, at, id))
		go func() { answer <- g.ask(by, change) }()
		switch f.kind {
		case "pause":
			g.sleeps(i, time.Duration(f.ms)*time.Millisecond)
		case "kill":
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			if err := g.dies(i); err != nil {
				return nil, err
			}
		default:
			time.Sleep(time.Duration(f.ms)*time.Millisecond - time.Since(began))
		}
		if err := end(); err != nil {
			return nil, err
		}
		// Any process may be the one that has lost its way to the keeper, and then waits for an answer: all are asked.
		heal, ok := g.anyone(ownersWait, func(s string) bool { return strings.Contains(s, " at 5 of 5") })
		if !ok {
			return nil, fmt.Errorf("all do not act by one version once all is well: %s", g.ask(by, rules.QueryActive()))
		}
		t.heals = append(t.heals, heal)
		switch got := <-answer; {
		case strings.HasPrefix(got, "active: "):
			t.took = append(t.took, time.Since(began))
		case strings.HasPrefix(got, "refused: "):
			t.refused++
			continue
		default:
			t.unknown++
			// The same once more is as once.
			if _, ok := Until(ownersWait, func() bool { return strings.HasPrefix(g.ask(by, change), "active: ") }); !ok {
				return nil, fmt.Errorf("a change that nobody answered can't be made once all is well: %s", g.ask(by, change))
			}
		}
		want := fmt.Sprintf("active: version %d at 5 of 5", at+1)
		if _, ok := g.anyone(ownersWait, func(s string) bool { return strings.HasPrefix(s, want) }); !ok {
			return nil, fmt.Errorf("all do not act by version %d: %s", at+1, g.ask(by, rules.QueryActive()))
		}
	}
	return t, nil
}

// strike begins a fault at a process, and gives what ends it; stops and deaths are played by the turn itself.
func (g *agreeingRig) strike(f cutFault, i int) (end func() error, err error) {
	at := []int{i}
	switch f.kind {
	case "pause", "kill":
		at = nil
	case "full":
		at = append(at, (i+1)%3)
	}
	var ends []func() error
	for _, a := range at {
		begin, end, err := g.effect(simulation.Fault{Kind: f.kind, Process: a})
		if err == nil {
			err = begin()
		}
		if err != nil {
			return nil, err
		}
		ends = append(ends, end)
	}
	return func() (err error) {
		for _, end := range ends {
			err = errors.Join(err, end())
		}
		return err
	}, nil
}

// standing waits until all act by one version, and gives it.
func (g *agreeingRig) standing(by int) (at uint64, err error) {
	got := ""
	if _, ok := Until(ownersWait, func() bool {
		got = g.ask(by, rules.QueryActive())
		n, _ := fmt.Sscanf(got, "active: version %d at 5 of 5", &at)
		return n == 1
	}); !ok {
		return 0, fmt.Errorf("all do not act by one version: %s", got)
	}
	return at, nil
}
