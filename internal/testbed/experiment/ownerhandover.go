package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// ownerHandover ends processes in order, and replaces them, and looks how long their jobs were without an owner.
func ownerHandover(e *Env, r *Report) error {
	const table = "jobs given back and begun elsewhere"
	r.Head(table, "how", "voters", "store", "changes", "median ms", "p99 ms", "worst ms")
	for _, how := range []string{"SIGTERM", "replaced"} {
		for _, disks := range []bool{true, false} {
			took, err := handovers(e, how, disks)
			if err != nil {
				return fmt.Errorf("%s: %w", how, err)
			}
			store := "memory"
			if disks {
				store = "disk"
			}
			r.Row(table, how, 3, store, len(took), took.quantile(0.5), took.quantile(0.99), took.quantile(1))
			r.Hold(took.quantile(0.99) <= 200, how+", "+store+": at most 200 ms without an owner at p99", fmt.Sprintf("%.0f ms", took.quantile(0.99)))
		}
	}
	return nil
}

func handovers(e *Env, how string, disks bool) (series, error) {
	const jobs, turns = 20, 8
	r, err := NewRigWith(e, RigOptions{N: 5, Seed: 3, Key: labKey, Sections: ownersFile(3, disks, fmt.Sprintf("(drill %d)", jobs))})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	var took series
	for turn := range turns {
		if _, err := r.AllOwned(jobs); err != nil {
			return nil, err
		}
		// One voter at a time, as the operators' page says: the last one has to be back first.
		if _, ok := Until(ownersWait, func() bool {
			for v := range 3 {
				rep, err := r.Owners(v, owneragent.Request{Do: "status"})
				if err != nil || disks && (rep.Group == nil || rep.Group.Phase != "member" || rep.Group.Leader == "") {
					return false
				}
			}
			return true
		}); !ok {
			return nil, errors.New("the voters are not back")
		}
		time.Sleep(4 * time.Second)
		i := turn % 5
		began := time.Now()
		old := r.Procs[i]
		if how == "SIGTERM" {
			if err := old.Stop(); err != nil {
				return nil, err
			}
			if err := r.Start(i); err != nil {
				return nil, err
			}
		} else if err := r.Replace(i); err != nil {
			return nil, err
		}
		if _, err := r.AllOwned(jobs); err != nil {
			return nil, err
		}
		for _, l := range old.Log("event=job_released ") {
			gone, job := logTime(l), field(l, "job")
			if gone.Before(began) {
				continue
			}
			next := time.Duration(-1)
			r.mu.Lock()
			for _, p := range r.all {
				for _, b := range p.Log("event=job_acquired ") {
					if d := logTime(b).Sub(gone); field(b, "job") == job && d >= 0 && (next < 0 || d < next) {
						next = d
					}
				}
			}
			r.mu.Unlock()
			if next >= 0 {
				took = append(took, float64(next)/1e6)
			}
		}
	}
	slices.Sort(took)
	if len(took) < 10 {
		return nil, fmt.Errorf("%d changes are too few", len(took))
	}
	return took, nil
}
