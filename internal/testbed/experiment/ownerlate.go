package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/testbed/fake"
)

// PlantedEnv has croftlock-experiment run as the program, with a fault that an experiment has to find.
const PlantedEnv = "CROFTLAB_PLANTED"

// lateCase is one way in which owners are late.
type lateCase struct {
	how      string
	playLate func(l *lateOwner) error // has the owner be late, and returns once it is no more
}

// The cases. Their names say how long each lasts: lateFor.
var (
	stoppedCase = lateCase{"stopped for 30 s after its look", (*lateOwner).beStopped}
	lateCases   = []lateCase{stoppedCase, {"its datagrams held back for 30 s", (*lateOwner).beHeldBack},
		{"deaf for 30 s", (*lateOwner).beDeaf}, {"mute for 30 s", (*lateOwner).beMute}}
)

const lateFor = 30 * time.Second

// lateOutcome is what came of late owners.
type lateOutcome struct {
	owners   int             // of jobs, that were late
	stale    int             // effects of an older token that were taken after a newer one's
	rejected int             // effects that the fence rejected
	gaps     []time.Duration // that jobs were without an owner
}

// ownerLate has owners wake up late: stopped between their look at the lease and their sending, with what they sent held back, and
// cut off in one direction, each way. Without the fence the first case has to show.
func ownerLate(e *Env, r *Report) error {
	const table = "late owners: five processes, three voters with disks"
	r.Columns(table, "case", "fence", "late owners", "their effects taken after a newer one's", "refused", "without an owner, median, worst")
	for _, c := range lateCases {
		o, err := c.play(e, true)
		if err != nil {
			return fmt.Errorf("%s: %w", c.how, err)
		}
		o.row(r, table, c.how, true)
		r.Check(o.stale == 0 && o.owners >= 50, c.how+": 50 late owners and more, none of whose effects is taken after a newer one's",
			fmt.Sprintf("%d of %d", o.stale, o.owners))
	}
	o, err := stoppedCase.play(e, false)
	if err != nil {
		return fmt.Errorf("%s: %w", stoppedCase.how, err)
	}
	o.row(r, table, stoppedCase.how, false)
	r.Check(o.stale > 0, "without the fence it is found", o.stale)
	return nil
}

// row adds the outcome to the table.
func (o *lateOutcome) row(r *Report, table, how string, fence bool) {
	slices.Sort(o.gaps)
	median, worst := time.Duration(0), time.Duration(0)
	if n := len(o.gaps); n > 0 {
		median, worst = o.gaps[n/2], o.gaps[n-1]
	}
	r.Row(table, how, fence, o.owners, o.stale, o.rejected, fmt.Sprint(median.Round(time.Millisecond), ", ", worst.Round(time.Millisecond)))
}

// play has the owners of many jobs be late at once, on some rigs side by side.
func (c lateCase) play(e *Env, fence bool) (sum lateOutcome, err error) {
	const rigs = 3
	var outcomes [rigs]lateOutcome
	var errs [rigs]error
	var all sync.WaitGroup
	for k := range rigs {
		all.Add(1)
		go func() {
			defer all.Done()
			outcomes[k], errs[k] = c.playOnRig(e, fence, uint64(k+1))
		}()
	}
	all.Wait()
	for _, o := range outcomes {
		sum.owners, sum.stale, sum.rejected = sum.owners+o.owners, sum.stale+o.stale, sum.rejected+o.rejected
		sum.gaps = append(sum.gaps, o.gaps...)
	}
	return sum, cmp.Or(errs[:]...)
}

// playOnRig has one process be late, which owns a fifth of the jobs or so.
func (c lateCase) playOnRig(e *Env, fence bool, seed uint64) (out lateOutcome, err error) {
	const jobs = 100
	r, err := newLateRig(e, fence, jobs, seed)
	if err != nil {
		return out, err
	}
	defer r.Close()
	owners, err := r.AllOwned(jobs)
	if err != nil {
		return out, err
	}
	l := &lateOwner{rig: r, process: int(seed) % 5}
	for job, i := range owners {
		if i == l.process {
			l.jobs = append(l.jobs, job)
		}
	}
	slices.Sort(l.jobs)
	if len(l.jobs) == 0 {
		return out, errors.New("the one that is to be late owns nothing")
	}
	began := time.Now()
	if err := c.playLate(l); err != nil {
		return out, err
	}
	time.Sleep(2 * time.Second)
	if _, err := r.AllOwned(jobs); err != nil {
		return out, err
	}
	if err := r.CheckTokens(); err != nil {
		return out, err
	}
	for _, g := range r.gaps(began, l.jobs) {
		out.gaps = append(out.gaps, g)
	}
	out.owners = len(l.jobs)
	out.stale, out.rejected = r.staleEffects()
	return out, nil
}

// newLateRig starts five processes with many jobs, with the fence or without it.
func newLateRig(e *Env, fence bool, jobs int, seed uint64) (*Rig, error) {
	// Without a key: a seal would reject what comes half a minute late by itself, and the fence is to be tried.
	o := RigOptions{Processes: 5, Seed: seed, Level: "debug", Sections: ownersFile(3, true, fmt.Sprintf("(drill %d) (drill_ms 500)", jobs))}
	env := *e
	if !fence {
		env.Croftlock, o.Env = e.Self, []string{PlantedEnv + "=forget"}
	}
	return NewRigWith(&env, o)
}

// lateOwner is a process that is to be late, and the jobs that it owns before.
type lateOwner struct {
	rig     *Rig
	process int
	jobs    []string
}

// links changes the process's links to all others, out of it and into it.
func (l *lateOwner) links(change func(link *fake.Link, out bool)) {
	for j := range l.rig.Procs {
		if j != l.process {
			l.rig.Mesh.Set(l.process, j, func(link *fake.Link) { change(link, true) })
			l.rig.Mesh.Set(j, l.process, func(link *fake.Link) { change(link, false) })
		}
	}
}

// beStopped has one job stop the process between its look and its sending; the other jobs sleep wherever they are.
func (l *lateOwner) beStopped() error {
	if _, err := l.rig.Owners(l.process, owneragent.Request{Command: "late", Argument: l.jobs[0]}); err != nil {
		return err
	}
	time.Sleep(lateFor)
	l.rig.Procs[l.process].Signal(syscall.SIGCONT)
	return nil
}

// beHeldBack delays what the process sends, then cuts it off until that arrives.
func (l *lateOwner) beHeldBack() error {
	l.links(func(link *fake.Link, out bool) {
		if out {
			link.Delay = lateFor
		}
	})
	time.Sleep(600 * time.Millisecond) // a turn of each job is on its way for half a minute
	l.links(func(link *fake.Link, _ bool) { link.Delay = 0; link.Cut = true })
	time.Sleep(lateFor / 2)
	l.links(func(link *fake.Link, _ bool) { link.Cut = false })
	time.Sleep(lateFor/2 + time.Second)
	return nil
}

// beDeaf has nothing reach the process.
func (l *lateOwner) beDeaf() error { return l.beCut(func(out bool) bool { return !out }) }

// beMute has nothing of the process reach others.
func (l *lateOwner) beMute() error { return l.beCut(func(out bool) bool { return out }) }

func (l *lateOwner) beCut(which func(out bool) bool) error {
	l.links(func(link *fake.Link, out bool) { link.Cut = which(out) })
	time.Sleep(lateFor)
	l.links(func(link *fake.Link, _ bool) { link.Cut = false })
	return nil
}
