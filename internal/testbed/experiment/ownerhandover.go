package experiment

import (
	"fmt"
	"slices"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// ownerHandover shuts processes down or replaces them by a hot restart, and measures for how long
// their jobs have no owner.
func ownerHandover(e *Env, r *Report) error {
	const table = "time without an owner at handovers"
	r.StartTable(table, "how", "replicas", "store", "handovers", "median ms", "p99 ms", "max ms")
	for _, method := range []string{"SIGTERM", "replaced"} {
		for _, disks := range []bool{true, false} {
			gaps, err := handovers(e, method, disks)
			if err != nil {
				return fmt.Errorf("%s, store %s: %w", method, storeName(disks), err)
			}
			store := storeName(disks)
			r.AddRow(table, method, 3, store, len(gaps), gaps.quantile(0.5), gaps.quantile(0.99), gaps.quantile(1))
			r.Check(gaps.quantile(0.99) <= 200, method+", "+store+": at most 200 ms without an owner at p99", fmt.Sprintf("%.0f ms", gaps.quantile(0.99)))
		}
	}
	return nil
}

// handovers shuts down one process after the other if method is SIGTERM; otherwise it replaces them.
// The replicas have their stores on disk if disks is true, else in memory. The jobs are drills, which
// exist for tests alone. It returns, sorted, the milliseconds for which each released job had no owner.
func handovers(e *Env, method string, disks bool) (samples, error) {
	const jobs, rounds = 20, 8
	r, err := NewRigWithOptions(e, RigOptions{Processes: 5, Seed: 3, Key: sealKey, SettingsSections: ownersSection(3, disks, fmt.Sprintf("(drill %d)", jobs))})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	var gaps samples
	for round := range rounds {
		if _, err := r.AwaitJobsOwned(jobs); err != nil {
			return nil, err
		}
		// Only one replica may be restarted at a time, as docs/operate-ownership.md specifies.
		if _, ok := AwaitCondition(recoveryTimeout, func() bool { return r.replicasReady(3, disks) }); !ok {
			return nil, fmt.Errorf("the replicas are not ready after %v", recoveryTimeout)
		}
		time.Sleep(4 * time.Second)
		startedAt, old := time.Now(), r.Procs[round%5]
		if err := r.handOver(round%5, method); err != nil {
			return nil, err
		}
		if _, err := r.AwaitJobsOwned(jobs); err != nil {
			return nil, err
		}
		gaps = append(gaps, r.releaseGaps(old, startedAt)...)
	}
	slices.Sort(gaps)
	if len(gaps) < 10 {
		return nil, fmt.Errorf("%d jobs were released and acquired again, want at least 10", len(gaps))
	}
	return gaps, nil
}

// replicasReady reports whether the replicas, which are the first processes, answer. With disks, they
// must also be members of the group and know its leader.
func (r *Rig) replicasReady(replicas int, disks bool) bool {
	for i := range replicas {
		reply, err := r.SendOwnerRequest(i, owneragent.Request{Command: "status"})
		if err != nil || disks && (reply.Group == nil || reply.Group.Phase != "member" || reply.Group.Leader == "") {
			return false
		}
	}
	return true
}

// handOver shuts process i down and starts it again if method is SIGTERM; otherwise it performs a hot
// restart.
func (r *Rig) handOver(i int, method string) error {
	if method != "SIGTERM" {
		return r.Replace(i)
	}
	if err := r.Procs[i].Stop(); err != nil {
		return err
	}
	return r.Start(i)
}

// releaseGaps returns the milliseconds between release and next acquisition of each job that the process by
// released at the time since or later. It leaves out jobs that no process acquired.
func (r *Rig) releaseGaps(by *Process, since time.Time) (gaps samples) {
	for _, line := range by.LogLines("event=job_released ") {
		released := logTime(line)
		if released.Before(since) {
			continue
		}
		if gap := r.timeUntilAcquired(logField(line, "job"), released); gap >= 0 {
			gaps = append(gaps, float64(gap)/1e6)
		}
	}
	return gaps
}

// timeUntilAcquired returns the time from a moment to the next acquisition of a job by any process. It
// returns -1 if there was none.
func (r *Rig) timeUntilAcquired(job string, from time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := time.Duration(-1)
	for _, p := range r.incarnations {
		for _, line := range p.LogLines("event=job_acquired ") {
			if elapsed := logTime(line).Sub(from); logField(line, "job") == job && elapsed >= 0 && (next < 0 || elapsed < next) {
				next = elapsed
			}
		}
	}
	return next
}
