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

// cutOutcome is what came of one fault, played again and again with a change under way each time.
type cutOutcome struct {
	played   int
	active   []time.Duration // until the change was active
	heals    []time.Duration // from the fault's end until all act by the change
	unknown  int             // changes that nobody answered
	rejected int             // changes that the coordinator rejected
}

// cutFault is one fault that is played beside changes.
type cutFault struct {
	name  string
	turns int
	kind  string // as simulation.Fault has it, or pause or kill, which the turn itself plays
	lasts time.Duration
}

// cutSuite is a rig's settings and the faults that are played on it.
type cutSuite struct {
	name, sections string
	faults         []cutFault
}

func cutSuites() []cutSuite {
	const ms = time.Millisecond
	return []cutSuite{
		{"when_cut refuse, votes in memory", ownersFile(3, false, "(rules on) (agree_within 1s)"), []cutFault{
			{"cut off in both directions, 1.5 s", 20, "cut", 1500 * ms}, {"hears nothing, 1.5 s", 20, "deaf", 1500 * ms}, {"is not heard, 1.5 s", 20, "mute", 1500 * ms},
			{"stopped, 1 s", 20, "pause", 1000 * ms}, {"stopped, 10 s", 1, "pause", 10000 * ms}, {"the keeper killed", 8, "kill", 0}}},
		{"when_cut keep", ownersFile(3, false, "(rules on) (agree_within 1s) (when_cut keep)"), []cutFault{
			{"cut off in both directions, 1.5 s, and keeps", 8, "cut", 1500 * ms}}},
		{"votes on disks", ownersFile(3, true, "(rules on) (agree_within 1s)"), []cutFault{{"two of three disks full, 1.5 s", 4, "full", 1500 * ms}}},
	}
}

const rulesCutTable = "a change beside each fault; five processes, three voters, agree_within 1 s"

// rulesCut plays each cut, pause and loss of a process beside a change: never over the bound, and all agree again soon after.
func rulesCut(e *Env, r *Report) error {
	r.Columns(rulesCutTable, "fault", "turns", "active after, p50 p99", "no word, refused", "all agree after its end, p50 p99", "side by side, longest", "no answer")
	for _, s := range cutSuites() {
		if err := s.play(e, r); err != nil {
			return err
		}
	}
	return nil
}

// play plays the suite's faults on a rig of its own.
func (s *cutSuite) play(e *Env, r *Report) error {
	g, err := newRulesRig(e, s.sections, "")
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	defer g.Close()
	var rows [][]any
	for _, f := range s.faults {
		o, err := g.play(f)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		rows = append(rows, []any{f.name, o.played, percentilesText(o.active), fmt.Sprint(o.unknown, ", ", o.rejected), percentilesText(o.heals)})
		if f.kind != "full" { // there it waits for the voters to open their stores again
			r.Check(percentile(o.heals, 1) <= 2*time.Second, f.name+": all agree within 2 s of its end", percentile(o.heals, 1))
		}
	}
	a := g.end()
	_, longest := a.overlaps()
	for _, row := range rows {
		r.Row(rulesCutTable, append(row, longest, a.unanswered)...)
	}
	r.Check(longest <= agreeWithin, s.name+": no act by an older version for longer than agree_within after the first by a newer", longest)
	r.Check(a.unanswered == 0, s.name+": each request gets an answer", a.unanswered)
	r.Check(a.lapsedDecisions > 0, s.name+": who has no right acts by none, or says that it has lapsed", a.lapsedDecisions)
	return nil
}

// play has a fault happen so many times, each time at another process, with a change put while it lasts.
func (g *rulesRig) play(f cutFault) (*cutOutcome, error) {
	o := &cutOutcome{}
	rng := rand.New(rand.NewPCG(7, uint64(len(f.name))))
	for ; o.played < f.turns; o.played++ {
		if err := g.cutTurn(f, o, rng); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// cutTurn has a fault happen once beside a change, and waits until all act by one version again.
func (g *rulesRig) cutTurn(f cutFault, o *cutOutcome, rng *rand.Rand) error {
	victim, by, err := g.pickVictim(f, o.played, rng)
	if err != nil {
		return err
	}
	version, err := g.awaitAgreement(by)
	if err != nil {
		return err
	}
	end, err := g.strike(f, victim)
	if err != nil {
		return err
	}
	began, answer := time.Now(), make(chan string, 1)
	id := fmt.Appendf(nil, "%.4s%08d%04d", f.kind, version, o.played)
	change := rules.EncodeProposal(rules.ChangeOperators(&rules.Version{HostsOut: []string{fmt.Sprint("nobody", version, f.kind)}}, version, id))
	go func() { answer <- g.query(by, change) }()
	if err := g.sitOut(f, victim, began, rng); err != nil {
		return err
	}
	if err := end(); err != nil {
		return err
	}
	// Any process may be the one that has lost its way to the coordinator, and then waits for an answer: all are asked.
	heal, ok := g.awaitAnswer(ownersWait, func(s string) bool { return strings.Contains(s, " at 5 of 5") })
	if !ok {
		return fmt.Errorf("all do not act by one version once all is well: %s", g.query(by, rules.QueryActive()))
	}
	o.heals = append(o.heals, heal)
	switch got := <-answer; {
	case strings.HasPrefix(got, "active: "):
		o.active = append(o.active, time.Since(began))
	case strings.HasPrefix(got, "refused: "):
		o.rejected++
		return nil
	default:
		o.unknown++
		if err := g.repeat(by, change); err != nil {
			return err
		}
	}
	return g.awaitVersion(by, version+1)
}

// pickVictim gives the process that the fault strikes, and another by way of which the change is put.
func (g *rulesRig) pickVictim(f cutFault, turn int, rng *rand.Rand) (victim, by int, err error) {
	victim = rng.IntN(5)
	if f.kind == "kill" {
		owners, conflict := g.JobOwners()
		coordinator, is := owners["rules"]
		if !is {
			return 0, 0, fmt.Errorf("nobody keeps the rules: %s", conflict)
		}
		victim = coordinator
	}
	by = (victim + 1 + rng.IntN(4)) % 5
	if f.kind == "full" {
		victim, by = turn%3, 3 // a voter, and a process that does not vote
	}
	return victim, by, nil
}

// sitOut lets the fault last: stops and deaths happen here.
func (g *rulesRig) sitOut(f cutFault, victim int, began time.Time, rng *rand.Rand) error {
	switch f.kind {
	case "pause":
		g.pause(victim, f.lasts)
	case "kill":
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		return g.restart(victim)
	default:
		time.Sleep(f.lasts - time.Since(began))
	}
	return nil
}

// repeat puts a change that nobody answered until it is active: twice is as once.
func (g *rulesRig) repeat(by int, change []byte) error {
	if _, ok := Until(ownersWait, func() bool { return strings.HasPrefix(g.query(by, change), "active: ") }); !ok {
		return fmt.Errorf("a change that nobody answered can't be made once all is well: %s", g.query(by, change))
	}
	return nil
}

// awaitVersion waits until all act by a version.
func (g *rulesRig) awaitVersion(by int, version uint64) error {
	want := fmt.Sprintf("active: version %d at 5 of 5", version)
	if _, ok := g.awaitAnswer(ownersWait, func(s string) bool { return strings.HasPrefix(s, want) }); !ok {
		return fmt.Errorf("all do not act by version %d: %s", version, g.query(by, rules.QueryActive()))
	}
	return nil
}

// strike begins a fault at a process, and gives what ends it; stops and deaths are played by the turn itself.
func (g *rulesRig) strike(f cutFault, i int) (end func() error, err error) {
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

// awaitAgreement waits until all act by one version, and gives it.
func (g *rulesRig) awaitAgreement(by int) (at uint64, err error) {
	got := ""
	if _, ok := Until(ownersWait, func() bool {
		got = g.query(by, rules.QueryActive())
		n, _ := fmt.Sscanf(got, "active: version %d at 5 of 5", &at)
		return n == 1
	}); !ok {
		return 0, fmt.Errorf("all do not act by one version: %s", got)
	}
	return at, nil
}
