package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// ownerHandover ends processes in order, and replaces them, and measures how long their jobs were without an owner.
func ownerHandover(e *Env, r *Report) error {
	const table = "jobs given back and begun elsewhere"
	r.Columns(table, "how", "voters", "store", "changes", "median ms", "p99 ms", "worst ms")
	for _, how := range []string{"SIGTERM", "replaced"} {
		for _, disks := range []bool{true, false} {
			took, err := handovers(e, how, disks)
			if err != nil {
				return fmt.Errorf("%s: %w", how, err)
			}
			store := storeName(disks)
			r.Row(table, how, 3, store, len(took), took.quantile(0.5), took.quantile(0.99), took.quantile(1))
			r.Check(took.quantile(0.99) <= 200, how+", "+store+": at most 200 ms without an owner at p99", fmt.Sprintf("%.0f ms", took.quantile(0.99)))
		}
	}
	return nil
}

// handovers ends or replaces one process after the other, and gives the milliseconds that each job of theirs was without an owner.
func handovers(e *Env, how string, disks bool) (samples, error) {
	const jobs, turns = 20, 8
	r, err := NewRigWith(e, RigOptions{Processes: 5, Seed: 3, Key: sealKey, Sections: ownersFile(3, disks, fmt.Sprintf("(drill %d)", jobs))})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	var took samples
	for turn := range turns {
		if _, err := r.AllOwned(jobs); err != nil {
			return nil, err
		}
		// One voter at a time, as the operators' page says: the last one has to be back first.
		if _, ok := Until(ownersWait, func() bool { return r.votersBack(3, disks) }); !ok {
			return nil, errors.New("the voters are not back")
		}
		time.Sleep(4 * time.Second)
		began, old := time.Now(), r.Procs[turn%5]
		if err := r.handOver(turn%5, how); err != nil {
			return nil, err
		}
		if _, err := r.AllOwned(jobs); err != nil {
			return nil, err
		}
		took = append(took, r.releaseGaps(old, began)...)
	}
	slices.Sort(took)
	if len(took) < 10 {
		return nil, fmt.Errorf("%d changes are too few", len(took))
	}
	return took, nil
}

// votersBack returns whether the first so many processes answer, and with stores know a leader as members.
func (r *Rig) votersBack(voters int, disks bool) bool {
	for v := range voters {
		rep, err := r.Owners(v, owneragent.Request{Command: "status"})
		if err != nil || disks && (rep.Group == nil || rep.Group.Phase != "member" || rep.Group.Leader == "") {
			return false
		}
	}
	return true
}

// handOver ends process i in order and starts it anew, or replaces it as a release does.
func (r *Rig) handOver(i int, how string) error {
	if how != "SIGTERM" {
		return r.Replace(i)
	}
	if err := r.Procs[i].Stop(); err != nil {
		return err
	}
	return r.Start(i)
}

// releaseGaps are the milliseconds from each release of a job by a process since a time until the job's next acquisition by anybody.
func (r *Rig) releaseGaps(by *Process, since time.Time) (gaps samples) {
	for _, l := range by.Log("event=job_released ") {
		released := logTime(l)
		if released.Before(since) {
			continue
		}
		if gap := r.untilAcquired(field(l, "job"), released); gap >= 0 {
			gaps = append(gaps, float64(gap)/1e6)
		}
	}
	return gaps
}

// untilAcquired is the time from a moment to a job's next acquisition; -1: there was none.
func (r *Rig) untilAcquired(job string, from time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := time.Duration(-1)
	for _, p := range r.all {
		for _, l := range p.Log("event=job_acquired ") {
			if d := logTime(l).Sub(from); field(l, "job") == job && d >= 0 && (next < 0 || d < next) {
				next = d
			}
		}
	}
	return next
}
