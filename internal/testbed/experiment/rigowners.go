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

// recoveryTimeout is how long a rig may take to recover from a fault.
const recoveryTimeout = 40 * time.Second

// ownersSection is the settings section of a rig's processes: the first so many vote, with stores on disk or in memory. extra goes into it.
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

// storeName names a store in tables.
func storeName(disks bool) string {
	if disks {
		return "disk"
	}
	return "memory"
}

// JobOwners queries all processes except some for the jobs that they own, and gives each job's owner. Where two own one job it gives no
// owners, and says which two.
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

// AwaitJobsOwned waits until so many jobs have one owner each among all processes except some.
func (r *Rig) AwaitJobsOwned(jobs int, except ...int) (map[string]int, error) {
	var owners map[string]int
	conflict := ""
	if _, ok := AwaitCondition(recoveryTimeout, func() bool {
		owners, conflict = r.JobOwners(except...)
		return len(owners) >= jobs
	}); !ok {
		return nil, fmt.Errorf("after %v %d of %d jobs have an owner; %s", recoveryTimeout, len(owners), jobs, conflict)
	}
	return owners, nil
}

// CheckTokens searches the logs of all incarnations: no two processes may have acquired a job under one fencing token.
func (r *Rig) CheckTokens() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	acquiredBy := map[string]string{} // by job and token
	for incarnation, p := range r.incarnations {
		process := fmt.Sprintf("incarnation %d, at %s", incarnation, p.Addr)
		for _, line := range p.LogLines("event=job_acquired ") {
			key := logField(line, "job") + " " + logField(line, "token")
			if other, acquired := acquiredBy[key]; acquired && other != process {
				return fmt.Errorf("token %s was acquired by %s and by %s", key, other, process)
			}
			acquiredBy[key] = process
		}
	}
	if len(acquiredBy) == 0 {
		return errors.New("no job was ever acquired")
	}
	return nil
}

// logField is a logField's value in a line of a log.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// logTime is when a line of a log was written.
func logTime(line string) time.Time {
	const layout = "2006/01/02 15:04:05.000000"
	t, _ := time.Parse(layout, line[:min(len(line), len(layout))])
	return t
}

// acquisitionTimes are the times at which a process acquisitionTimes a job, from a time on.
func (r *Rig) acquisitionTimes(i int, job string, from time.Time) (times []time.Time) {
	for _, l := range r.Procs[i].LogLines("event=job_acquired ") {
		if t := logTime(l); logField(l, "job") == job && !t.Before(from.Truncate(time.Millisecond)) {
			times = append(times, t)
		}
	}
	return times
}

// ownerGaps are how long jobs were without an owner since a time, as the logs have it: until the first acquisition by anybody.
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

// staleEffects counts, in the logs of all incarnations, effects of an older token that were accepted after a newer one's, and
// rejections of such effects.
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

// logToken is the fencing token in a line of a log.
func logToken(line string) uint64 {
	token, _ := strconv.ParseUint(logField(line, "token"), 10, 64)
	return token
}

// effectSpan is the time from the first to the last effect of one token.
type effectSpan struct{ first, last time.Time }

// effectSpans gives the effects' times, by job and token, over the logs of all incarnations.
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

// effectGaps are how long each job was without effects, over all changes of owner: from the last effect of one token at anybody to
// the next token's first.
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
