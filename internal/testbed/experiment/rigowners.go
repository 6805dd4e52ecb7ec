package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/fleet/owneragent"
)

// recoveryTimeout limits the time in which a rig recovers from a fault.
const recoveryTimeout = 40 * time.Second

// ownersSection returns the owners section of the settings file for a rig's processes. The first
// voters processes vote, with stores on disk or in memory; extra is added to the section.
func ownersSection(voters int, disks bool, extra string) string {
	names := make([]string, voters)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	section := fmt.Sprintf(`(owners (on on) (voters %q) %s (socket "DIR/owners.sock")`, strings.Join(names, " "), extra)
	if disks {
		section += ` (dir "DIR")`
	}
	return section + ")"
}

// storeName returns the name of a store in tables.
func storeName(disks bool) string {
	if disks {
		return "disk"
	}
	return "memory"
}

// JobOwners queries all processes except the given ones for the jobs that they own, and returns the
// owner of each job. If a query fails or two processes own the same job, owners is nil and conflict
// describes the failure.
func (r *Rig) JobOwners(except ...int) (owners map[string]int, conflict string) {
	owners = map[string]int{}
	for i := range r.Procs {
		if slices.Contains(except, i) {
			continue
		}
		reply, err := r.SendOwnerRequest(i, owneragent.Request{Command: "owners"})
		if err != nil {
			return nil, err.Error()
		}
		for job := range reply.Owned {
			if other, owned := owners[job]; owned {
				conflict = fmt.Sprintf("n%d and n%d both own %s", other, i, job)
			}
			owners[job] = i
		}
	}
	if conflict != "" {
		return nil, conflict
	}
	return owners, ""
}

// AwaitJobsOwned waits until at least n jobs have one owner each among all processes except the
// given ones. It returns the owner of each job.
func (r *Rig) AwaitJobsOwned(n int, except ...int) (map[string]int, error) {
	var owners map[string]int
	conflict := ""
	if _, ok := AwaitCondition(recoveryTimeout, func() bool {
		owners, conflict = r.JobOwners(except...)
		return len(owners) >= n
	}); !ok {
		return nil, fmt.Errorf("after %v %d of %d jobs have an owner; last conflict: %q", recoveryTimeout, len(owners), n, conflict)
	}
	return owners, nil
}

// CheckTokens searches the logs of all incarnations and returns an error if two processes acquired
// a job under the same fencing token, or if no job was ever acquired.
func (r *Rig) CheckTokens() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	acquiredBy := map[string]string{} // process that acquired a job, by job and token
	for incarnation, p := range r.incarnations {
		process := fmt.Sprintf("incarnation %d, at %s", incarnation, p.Addr)
		for _, line := range p.LogLines("event=job_acquired ") {
			key := logField(line, "job") + " " + logField(line, "token")
			if other, acquired := acquiredBy[key]; acquired && other != process {
				return fmt.Errorf("job and token %q were acquired by %s and by %s", key, other, process)
			}
			acquiredBy[key] = process
		}
	}
	if len(acquiredBy) == 0 {
		return errors.New("no job was ever acquired")
	}
	return nil
}

// logField returns the value of a field in a log line, or "" if the line does not contain the
// field.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// logTime returns the time at the start of a log line, or the zero time if it cannot be parsed.
func logTime(line string) time.Time {
	const layout = "2006/01/02 15:04:05.000000"
	t, _ := time.Parse(layout, line[:min(len(line), len(layout))])
	return t
}

// acquisitionTimes returns the times, not before from, at which process i acquired a job.
func (r *Rig) acquisitionTimes(i int, job string, from time.Time) (times []time.Time) {
	for _, l := range r.Procs[i].LogLines("event=job_acquired ") {
		if t := logTime(l); logField(l, "job") == job && !t.Before(from.Truncate(time.Millisecond)) {
			times = append(times, t)
		}
	}
	return times
}

// ownerGaps returns how long each job had no owner after since: the time until its first
// acquisition by any process, from the logs. Jobs that were not acquired again are missing.
func (r *Rig) ownerGaps(since time.Time, jobs []string) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	gaps := map[string]time.Duration{}
	for _, p := range r.incarnations {
		for _, l := range p.LogLines("event=job_acquired ") {
			at, job := logTime(l), logField(l, "job")
			if !at.After(since) || !slices.Contains(jobs, job) {
				continue
			}
			if gap, seen := gaps[job]; !seen || at.Sub(since) < gap {
				gaps[job] = at.Sub(since)
			}
		}
	}
	return gaps
}

// staleEffects counts, in the logs of all incarnations, the effects that were accepted after an
// effect with a newer fencing token, and the rejections of such stale effects. An effect is one action
// that a job's owner performs. Only drills, which are jobs for tests alone, log the accepted ones.
func (r *Rig) staleEffects() (accepted, rejected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.incarnations {
		newest := map[string]uint64{}
		for _, l := range p.LogLines("event=drill_taken ") {
			job, token := logField(l, "job"), logToken(l)
			if token < newest[job] {
				accepted++
			}
			newest[job] = max(newest[job], token)
		}
		rejected += len(p.LogLines("event=stale_effect_rejected "))
	}
	return accepted, rejected
}

// logToken returns the fencing token in a log line, or 0 if there is none.
func logToken(line string) uint64 {
	token, _ := strconv.ParseUint(logField(line, "token"), 10, 64)
	return token
}

// effectSpan holds the times of the first and the last effect under one fencing token.
type effectSpan struct{ first, last time.Time }

// effectSpans returns the effect times by job and fencing token, from the logs of all incarnations.
func (r *Rig) effectSpans() map[string]map[uint64]effectSpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := map[string]map[uint64]effectSpan{}
	for _, p := range r.incarnations {
		for _, l := range p.LogLines("event=drill_taken ") {
			job, at, token := logField(l, "job"), logTime(l), logToken(l)
			if spans[job] == nil {
				spans[job] = map[uint64]effectSpan{}
			}
			s, seen := spans[job][token]
			if !seen || at.Before(s.first) {
				s.first = at
			}
			if at.After(s.last) {
				s.last = at
			}
			spans[job][token] = s
		}
	}
	return spans
}

// effectGaps returns, for each change of owner of any job, the time from the last effect under one
// fencing token to the first effect under the next token, sorted. Overlapping effects count as 0.
func (r *Rig) effectGaps() (gaps []time.Duration) {
	for _, tokens := range r.effectSpans() {
		order := make([]uint64, 0, len(tokens))
		for t := range tokens {
			order = append(order, t)
		}
		slices.Sort(order)
		for i := 1; i < len(order); i++ {
			gaps = append(gaps, max(0, tokens[order[i]].first.Sub(tokens[order[i-1]].last)))
		}
	}
	slices.Sort(gaps)
	return gaps
}
