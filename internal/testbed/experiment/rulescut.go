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

// cutOutcome is the outcome of the repetitions of one fault.
type cutOutcome struct {
	completed       int             // repetitions completed so far
	activationTimes []time.Duration // from the proposal until its reply was read after the recovery
	recoveryTimes   []time.Duration // from the end of the fault until all processes applied one version
	unknown         int             // changes with an unknown outcome
	rejected        int             // changes rejected by the publisher, the process that publishes the rules
}

// cutFault is a fault during which a change is proposed.
type cutFault struct {
	name        string
	repetitions int
	kind        string        // kind of simulation.Fault; awaitFaultEnd performs pause and kill
	duration    time.Duration // zero for kill, which ends with the restart
}

// cutSuite specifies the settings of a rig and the faults that are injected into it.
type cutSuite struct {
	name, sections string // sections of the settings file besides log and membership
	faults         []cutFault
}

// cutSuites returns the suites of the experiment rules-cut.
func cutSuites() []cutSuite {
	const ms = time.Millisecond
	return []cutSuite{
		{"when_cut refuse, replicas without disks", ownersSection(3, false, "(rules on) (agree_within 1s)"), []cutFault{
			{"cut off in both directions, 1.5 s", 20, "cut", 1500 * ms}, {"inbound cut, 1.5 s", 20, "deaf", 1500 * ms}, {"outbound cut, 1.5 s", 20, "mute", 1500 * ms},
			{"paused, 1 s", 20, "pause", 1000 * ms}, {"paused, 10 s", 1, "pause", 10000 * ms}, {"publisher killed", 8, "kill", 0}}},
		{"when_cut keep", ownersSection(3, false, "(rules on) (agree_within 1s) (when_cut keep)"), []cutFault{
			{"cut off in both directions, 1.5 s, rules kept", 8, "cut", 1500 * ms}}},
		{"replicas with disks", ownersSection(3, true, "(rules on) (agree_within 1s)"), []cutFault{{"two of three disks full, 1.5 s", 4, "full", 1500 * ms}}},
	}
}

// rulesCutTable is the title of the table with one row for each fault.
const rulesCutTable = "a change beside each fault; five processes, three replicas, agree_within 1 s"

// rulesCut proposes a change during each cut, pause and death of a process. It checks that the
// overlap of versions does not exceed agree_within and that all processes apply the same version
// soon after the fault.
func rulesCut(e *Env, r *Report) error {
	r.StartTable(rulesCutTable, "fault", "turns", "active after, p50 p99", "unknown, rejected", "all agree after its end, p50 p99", "two versions at once, longest", "no answer")
	for _, s := range cutSuites() {
		if err := s.run(e, r); err != nil {
			return err
		}
	}
	return nil
}

// run injects the suite's faults into a rig of its own and checks the bounds.
func (s *cutSuite) run(e *Env, r *Report) error {
	g, err := newRulesRig(e, s.sections, "")
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	defer g.Close()
	var outcomes []*cutOutcome
	for _, f := range s.faults {
		o, err := g.repeatFault(f)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		outcomes = append(outcomes, o)
		if f.kind != "full" { // after a full disk, agreement also waits until the replicas have reopened their stores
			r.Check(percentile(o.recoveryTimes, 1) <= 2*time.Second, f.name+": all agree within 2 s of its end", percentile(o.recoveryTimes, 1))
		}
	}
	outcome := g.finish()
	_, longest := outcome.overlaps()
	for i, o := range outcomes {
		r.AddRow(rulesCutTable, s.faults[i].name, o.completed, percentilesText(o.activationTimes), fmt.Sprint(o.unknown, ", ", o.rejected), percentilesText(o.recoveryTimes), longest, outcome.unanswered)
	}
	r.Check(longest <= maxVersionOverlap, s.name+": no decision by an older version for longer than agree_within after the first by a newer one", longest)
	r.Check(outcome.unanswered == 0, s.name+": each request gets an answer", outcome.unanswered)
	r.Check(outcome.lapsedDecisions > 0, s.name+": a process without a valid lease decides as such", outcome.lapsedDecisions)
	return nil
}

// repeatFault runs all repetitions of a fault.
func (g *rulesRig) repeatFault(f cutFault) (*cutOutcome, error) {
	o := &cutOutcome{}
	rng := rand.New(rand.NewPCG(7, uint64(len(f.name))))
	for ; o.completed < f.repetitions; o.completed++ {
		if err := g.injectOnce(f, o, rng); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// injectOnce injects a fault into a random process, proposes a change while the fault lasts, and
// waits until all processes apply the same version again.
func (g *rulesRig) injectOnce(f cutFault, o *cutOutcome, rng *rand.Rand) error {
	victim, via, err := g.pickVictim(f, o.completed, rng)
	if err != nil {
		return err
	}
	version, err := g.awaitAgreement(via)
	if err != nil {
		return err
	}
	end, err := g.injectFault(f, victim)
	if err != nil {
		return err
	}
	startedAt, answer := time.Now(), make(chan string, 1)
	id := fmt.Appendf(nil, "%.4s%08d%04d", f.kind, version, o.completed)
	change := rules.EncodeProposal(rules.NewOperatorsChange(&rules.Version{ExcludedHosts: []string{fmt.Sprint("nobody", version, f.kind)}}, version, id))
	go func() { answer <- g.query(via, change) }()
	if err := g.awaitFaultEnd(f, victim, startedAt, rng); err != nil {
		return err
	}
	if err := end(); err != nil {
		return err
	}
	// Any process may have lost its connection to the publisher and may still wait for a reply, so
	// this queries all of them.
	recovery, ok := g.awaitAnswer(recoveryTimeout, func(answer string) bool { return strings.Contains(answer, " at 5 of 5") })
	if !ok {
		return fmt.Errorf("processes apply different versions after the fault: %s", g.query(via, rules.QueryActive()))
	}
	o.recoveryTimes = append(o.recoveryTimes, recovery)
	switch text := <-answer; {
	case strings.HasPrefix(text, "active: "):
		o.activationTimes = append(o.activationTimes, time.Since(startedAt))
	case strings.HasPrefix(text, "refused: "):
		o.rejected++
		return nil
	default:
		o.unknown++
		if err := g.retryChange(via, change); err != nil {
			return err
		}
	}
	return g.awaitVersion(via, version+1)
}

// pickVictim returns the process with the fault, at random unless the kind of fault determines it,
// and another process through which the change is proposed.
func (g *rulesRig) pickVictim(f cutFault, turn int, rng *rand.Rand) (victim, via int, err error) {
	victim = rng.IntN(5)
	if f.kind == "kill" {
		owners, conflict := g.JobOwners()
		publisher, owned := owners["rules"]
		if !owned {
			return 0, 0, fmt.Errorf("job rules has no owner; conflict: %q", conflict)
		}
		victim = publisher
	}
	via = (victim + 1 + rng.IntN(4)) % 5
	if f.kind == "full" {
		victim, via = turn%3, 3 // a replica, and a process without a replica
	}
	return victim, via, nil
}

// awaitFaultEnd waits until the fault is due to end. It also performs pauses and kills.
func (g *rulesRig) awaitFaultEnd(f cutFault, victim int, startedAt time.Time, rng *rand.Rand) error {
	switch f.kind {
	case "pause":
		g.pause(victim, f.duration)
	case "kill":
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		return g.restart(victim)
	default:
		time.Sleep(f.duration - time.Since(startedAt))
	}
	return nil
}

// retryChange retries a change with an unknown outcome until it is active, or returns an error
// after recoveryTimeout. Retries are safe because changes are idempotent.
func (g *rulesRig) retryChange(via int, change []byte) error {
	if _, ok := AwaitCondition(recoveryTimeout, func() bool { return strings.HasPrefix(g.query(via, change), "active: ") }); !ok {
		return fmt.Errorf("a change with an unknown outcome fails after the fault: %s", g.query(via, change))
	}
	return nil
}

// awaitVersion waits until all processes apply version.
func (g *rulesRig) awaitVersion(via int, version uint64) error {
	want := fmt.Sprintf("active: version %d at 5 of 5", version)
	if _, ok := g.awaitAnswer(recoveryTimeout, func(answer string) bool { return strings.HasPrefix(answer, want) }); !ok {
		return fmt.Errorf("not all processes apply version %d: %s", version, g.query(via, rules.QueryActive()))
	}
	return nil
}

// injectFault starts a fault at process i and returns the function that ends it. It does nothing
// for pauses and kills, which awaitFaultEnd performs.
func (g *rulesRig) injectFault(f cutFault, i int) (end func() error, err error) {
	processes := []int{i}
	switch f.kind {
	case "pause", "kill":
		processes = nil
	case "full":
		processes = append(processes, (i+1)%3)
	}
	var ends []func() error
	for _, process := range processes {
		begin, end, err := g.faultEffect(simulation.Fault{Kind: f.kind, Process: process})
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

// awaitAgreement waits until all processes apply the same version, and returns that version. It
// queries process via.
func (g *rulesRig) awaitAgreement(via int) (version uint64, err error) {
	answer := ""
	if _, ok := AwaitCondition(recoveryTimeout, func() bool {
		answer = g.query(via, rules.QueryActive())
		n, _ := fmt.Sscanf(answer, "active: version %d at 5 of 5", &version)
		return n == 1
	}); !ok {
		return 0, fmt.Errorf("processes apply different versions after %v: %s", recoveryTimeout, answer)
	}
	return version, nil
}
