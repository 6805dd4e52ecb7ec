package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const ownersWait = 40 * time.Second

// ownersFile is the section of a rig's processes.
func ownersFile(voters int, disks bool, more string) string {
	names := make([]string, voters)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	s := fmt.Sprintf(`(owners (on on) (voters %q) %s (socket "DIR/owners.sock")`, strings.Join(names, " "), more)
	if disks {
		s += ` (dir "DIR")`
	}
	return s + ")"
}

// AllOwned waits until so many jobs have one owner each among all processes but some.
func (r *Rig) AllOwned(jobs int, but ...int) (map[string]int, error) {
	var got map[string]int
	odd := ""
	if _, ok := Until(ownersWait, func() bool {
		got, odd = r.Holders(but...)
		return len(got) >= jobs
	}); !ok {
		return nil, fmt.Errorf("after %v %d of %d jobs have an owner; %s", ownersWait, len(got), jobs, odd)
	}
	return got, nil
}

// logTime is when a line of a log was written.
func logTime(line string) time.Time {
	t, _ := time.Parse("2006/01/02 15:04:05.000000", line[:min(len(line), 26)])
	return t
}

// gaps are how long jobs were without an owner since a time, as the processes' logs have it: from the last effect of one owner, or its word
// that it owns no more, to the beginning of the next.
func (r *Rig) gaps(since time.Time, jobs []string) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Duration{}
	for _, p := range r.all {
		for _, l := range p.Log("event=job_acquired ") {
			if at, job := logTime(l), field(l, "job"); at.After(since) && slices.Contains(jobs, job) {
				if g, seen := out[job]; !seen || at.Sub(since) < g {
					out[job] = at.Sub(since)
				}
			}
		}
	}
	return out
}
