package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/fake"
)

// FaultInjectionEnv is the environment variable that makes croftlock-experiment run as croftlock with the
// fault that it names.
const FaultInjectionEnv = "CROFTLAB_PLANTED"

// lateCase is a fault that makes owners of jobs act after their lease, the right to act for a job, has
// ended.
type lateCase struct {
	name   string
	inject func(l *lateOwner) error // makes the owner late and returns once it no longer is
}

// The cases of late owners. Their names contain lateDuration.
var (
	pausedCase = lateCase{"paused for 30 s between lease check and effect", (*lateOwner).pauseBeforeSending}
	lateCases  = []lateCase{pausedCase, {"its datagrams delayed by 30 s", (*lateOwner).delayDatagrams},
		{"inbound cut for 30 s", (*lateOwner).cutInbound}, {"outbound cut for 30 s", (*lateOwner).cutOutbound}}
)

// lateDuration is the time for which each case makes an owner late.
const lateDuration = 30 * time.Second

// lateOutcome is the outcome of a case.
type lateOutcome struct {
	jobs     int             // number of jobs whose owner was late
	stale    int             // effects of an older fencing token that were accepted after a newer token's
	rejected int             // effects that the fence rejected
	gaps     []time.Duration // for each job, the time without an owner
}

// ownerLate makes owners act late: they are paused between the lease check and the effect, their datagrams
// are delayed, or they are cut off in one direction. To verify the check, it repeats the first case without
// the fence, where stale effects must be found.
func ownerLate(e *Env, r *Report) error {
	const table = "late owners: five processes, three replicas with disks"
	r.StartTable(table, "case", "fence", "jobs of late owners", "stale effects accepted", "rejected", "without an owner, median, worst")
	for _, c := range lateCases {
		outcome, err := c.run(e, true)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		outcome.addRow(r, table, c.name, true)
		r.Check(outcome.stale == 0 && outcome.jobs >= 50, c.name+": 50 jobs of late owners or more, and no stale effect accepted",
			fmt.Sprintf("%d of %d", outcome.stale, outcome.jobs))
	}
	outcome, err := pausedCase.run(e, false)
	if err != nil {
		return fmt.Errorf("%s: %w", pausedCase.name, err)
	}
	outcome.addRow(r, table, pausedCase.name, false)
	r.Check(outcome.stale > 0, "without the fence stale effects are found", outcome.stale)
	return nil
}

// addRow adds the outcome to the table.
func (o *lateOutcome) addRow(r *Report, table, name string, fence bool) {
	slices.Sort(o.gaps)
	median, worst := time.Duration(0), time.Duration(0)
	if n := len(o.gaps); n > 0 {
		median, worst = o.gaps[n/2], o.gaps[n-1]
	}
	r.AddRow(table, name, fence, o.jobs, o.stale, o.rejected, fmt.Sprint(median.Round(time.Millisecond), ", ", worst.Round(time.Millisecond)))
}

// run makes the owners of many jobs late, on several rigs in parallel, and adds up the outcomes.
func (c lateCase) run(e *Env, fence bool) (total lateOutcome, err error) {
	const rigs = 3
	var outcomes [rigs]lateOutcome
	var errs [rigs]error
	var runs sync.WaitGroup
	for k := range rigs {
		runs.Add(1)
		go func() {
			defer runs.Done()
			outcomes[k], errs[k] = c.runOnRig(e, fence, uint64(k+1))
		}()
	}
	runs.Wait()
	for _, o := range outcomes {
		total.jobs, total.stale, total.rejected = total.jobs+o.jobs, total.stale+o.stale, total.rejected+o.rejected
		total.gaps = append(total.gaps, o.gaps...)
	}
	return total, cmp.Or(errs[:]...)
}

// runOnRig makes one process late. The process owns about a fifth of the jobs.
func (c lateCase) runOnRig(e *Env, fence bool, seed uint64) (outcome lateOutcome, err error) {
	const jobs = 100
	r, err := newLateRig(e, fence, jobs, seed)
	if err != nil {
		return outcome, err
	}
	defer r.Close()
	owners, err := r.AwaitJobsOwned(jobs)
	if err != nil {
		return outcome, err
	}
	late := &lateOwner{rig: r, process: int(seed) % 5}
	for job, i := range owners {
		if i == late.process {
			late.jobs = append(late.jobs, job)
		}
	}
	slices.Sort(late.jobs)
	if len(late.jobs) == 0 {
		return outcome, fmt.Errorf("n%d, which the case makes late, owns no job", late.process)
	}
	startedAt := time.Now()
	if err := c.inject(late); err != nil {
		return outcome, err
	}
	time.Sleep(2 * time.Second)
	if _, err := r.AwaitJobsOwned(jobs); err != nil {
		return outcome, err
	}
	if err := r.CheckTokens(); err != nil {
		return outcome, err
	}
	for _, g := range r.ownerGaps(startedAt, late.jobs) {
		outcome.gaps = append(outcome.gaps, g)
	}
	outcome.jobs = len(late.jobs)
	outcome.stale, outcome.rejected = r.staleEffects()
	return outcome, nil
}

// newLateRig starts five processes with the given number of drills (jobs for tests alone). If fence is
// false, they run without the fence, which rejects the effects of earlier owners.
func newLateRig(e *Env, fence bool, jobs int, seed uint64) (*Rig, error) {
	// No key is set, since sealed datagrams that are 30 s late would be rejected before they reach the
	// fence, which this experiment tests.
	options := RigOptions{Processes: 5, Seed: seed, LogLevel: "debug", SettingsSections: ownersSection(3, true, fmt.Sprintf("(drill %d) (drill_ms 500)", jobs))}
	env := *e
	if !fence {
		env.Croftlock, options.Env = e.Self, []string{FaultInjectionEnv + "=forget"}
	}
	return NewRigWithOptions(&env, options)
}

// lateOwner is a process that is made late, with the jobs that it owned before.
type lateOwner struct {
	rig     *Rig
	process int
	jobs    []string
}

// changeLinks changes the links between the process and all others, in both directions.
func (l *lateOwner) changeLinks(change func(link *fake.Link, outbound bool)) {
	for j := range l.rig.Procs {
		if j != l.process {
			l.rig.Mesh.UpdateLink(l.process, j, func(link *fake.Link) { change(link, true) })
			l.rig.Mesh.UpdateLink(j, l.process, func(link *fake.Link) { change(link, false) })
		}
	}
}

// pauseBeforeSending sends the command late, with which the process stops itself between the lease
// check and the effect of one job. Its other jobs stop at any point.
func (l *lateOwner) pauseBeforeSending() error {
	if _, err := l.rig.SendOwnerRequest(l.process, owneragent.Request{Command: "late", Argument: l.jobs[0]}); err != nil {
		return err
	}
	time.Sleep(lateDuration)
	l.rig.Procs[l.process].Signal(syscall.SIGCONT)
	return nil
}

// delayDatagrams delays the datagrams that the process sends by lateDuration, then cuts it off for half of
// that time, and returns after the delayed datagrams have arrived.
func (l *lateOwner) delayDatagrams() error {
	l.changeLinks(func(link *fake.Link, outbound bool) {
		if outbound {
			link.Delay = lateDuration
		}
	})
	// Each job has an effect every 500 ms, so that one is among its delayed datagrams.
	time.Sleep(600 * time.Millisecond)
	l.changeLinks(func(link *fake.Link, _ bool) { link.Delay = 0; link.Cut = true })
	time.Sleep(lateDuration / 2)
	l.changeLinks(func(link *fake.Link, _ bool) { link.Cut = false })
	time.Sleep(lateDuration/2 + time.Second)
	return nil
}

// cutInbound cuts the links to the process.
func (l *lateOwner) cutInbound() error { return l.cutLinks(func(out bool) bool { return !out }) }

// cutOutbound cuts the links from the process.
func (l *lateOwner) cutOutbound() error { return l.cutLinks(func(out bool) bool { return out }) }

// cutLinks cuts the links in the selected direction for lateDuration.
func (l *lateOwner) cutLinks(selects func(outbound bool) bool) error {
	l.changeLinks(func(link *fake.Link, outbound bool) { link.Cut = selects(outbound) })
	time.Sleep(lateDuration)
	l.changeLinks(func(link *fake.Link, _ bool) { link.Cut = false })
	return nil
}
