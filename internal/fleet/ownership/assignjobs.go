package ownership

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// grantDelay is the wait before the first grant of an epoch: sessions begin one after the other, and the first would get all jobs.
	grantDelay = 200 * ms
	// newFleetGrantDelayDivisor: where the table is empty, that wait is a lease divided by it: a fleet starts for the first time, and its processes come
	// one by one.
	newFleetGrantDelayDivisor = 2
	// handoverInterval is the least time between two handovers that Assign requests. Those of operators do not wait.
	handoverInterval = sec

	minBackoff          = sec
	maxBackoff          = 60 * sec
	maxBackoffDoublings = 6
)

// jobFailures are the recent failures of one job.
type jobFailures struct {
	count        int
	blockedUntil Time
}

// failureBackoff delays the grant of jobs that fail, twice as long each time, up to backoffMax. A job that has not failed for
// backoffMax since its last delay ended starts again from the shortest.
type failureBackoff map[string]*jobFailures

func (b failureBackoff) recordFailure(job string, now Time) {
	f := b[job]
	if f == nil || now-f.blockedUntil > maxBackoff {
		f = &jobFailures{}
		b[job] = f
	}
	f.blockedUntil = now + min(maxBackoff, minBackoff<<min(f.count, maxBackoffDoublings))
	f.count++
}

func (b failureBackoff) blocked(job string, now Time) bool {
	f := b[job]
	return f != nil && now < f.blockedUntil
}

// handovers are the assignments for which the present owner is to release the job first.
type handovers struct {
	byJob           map[string]Assignment
	lastRequestedAt Time // the last that Assign requested
}

func (h *handovers) requested(job string) bool {
	_, ok := h.byJob[job]
	return ok
}

func (h *handovers) due(now Time) bool { return now-h.lastRequestedAt >= handoverInterval }

// assignJobs registers new jobs, takes jobs from owners that are lost, and grants what is free. Where this process is a majority by itself, a
// proposal is applied before propose returns, and that calls assignJobs again: each job is looked at again before it is proposed.
func (c *coordinator) assignJobs() {
	c.expireSessions()
	candidates := c.candidates()
	c.registerNewJobs(candidates.offered)
	jobs := c.classifyJobs()
	if len(jobs.free) == 0 && !c.handovers.due(c.now) || c.now < c.epochStartedAt+c.firstGrantDelay() {
		return
	}
	changedAt := func(job string) Time { return c.changedAt[job] }
	for _, a := range Assign(c.now, jobs.free, jobs.owned, changedAt, candidates.list) {
		if a.Handover {
			if c.handovers.due(c.now) {
				c.handovers.lastRequestedAt = c.now
				c.beginHandover(a)
			}
			continue
		}
		if !c.mayBeGranted(c.table.Job(a.Job)) {
			continue
		}
		a = c.preferHandover(a)
		if reason := jobs.lostOwnerText[a.Job]; reason != "" {
			a.Reason = reason
		}
		c.grant(a)
	}
}

// firstGrantDelay is how long no job is granted in a new epoch: longer in a fleet that starts for the first time, since all its sessions are new.
func (c *coordinator) firstGrantDelay() Time {
	if c.tableEmptyAtStart {
		return c.cfg.Lease / newFleetGrantDelayDivisor
	}
	return grantDelay
}

// maxRenewalAge is how long ago a candidate may have renewed its lease: it requests one each quarter, so a few in a row were lost.
func maxRenewalAge(lease Time) Time { return lease * 2 / 3 }

// candidateSet are the processes that may own jobs, and what any of them offers.
type candidateSet struct {
	list    []Candidate
	offered map[string]bool
}

// expireSessions ends the sessions whose lease has surely ended: the jobs of their processes may be granted to others.
func (c *coordinator) expireSessions() {
	for _, s := range c.sessions.sorted() {
		if c.now >= c.latestLeaseEnd(s.renewedAt) {
			c.effects.LogEvent("session_expired", "member", s.name)
			delete(c.sessions, s.processID)
		}
	}
}

// candidates gives the processes that offer jobs and whose lease requests arrive.
func (c *coordinator) candidates() candidateSet {
	set := candidateSet{offered: map[string]bool{}}
	for _, s := range c.sessions.sorted() {
		if n := len(set.list); n > 0 && set.list[n-1].Name == s.name {
			set.list = set.list[:n-1] // an earlier process of the same name: it gets no more jobs
		}
		if s.offers == nil || c.now-s.renewedAt > maxRenewalAge(c.cfg.Lease) {
			continue // its jobs are not known yet, or it may be lost
		}
		for job := range s.offers {
			set.offered[job] = true
		}
		set.list = append(set.list, Candidate{Name: s.name, Incarnation: s.incarnation, Eligible: s.eligible, UnheardBy: c.unheardBy[s.name],
			EligibleFor: c.now - s.eligibleSince, Offers: func(job string) bool { return s.offers[job] }})
	}
	return set
}

// registerNewJobs adds the jobs that are offered and not in the table.
func (c *coordinator) registerNewJobs(offered map[string]bool) {
	for _, job := range slices.Sorted(maps.Keys(offered)) {
		if c.table.Job(job) == nil && !c.proposals.ownerChangePending(job) {
			c.propose(registerCommand{job: job, changedAt: c.cfg.WallClock()}, proposal{job: job, exclusive: true})
		}
	}
}

// classifiedJobs are the jobs without a proposal under way.
type classifiedJobs struct {
	free          []string
	owned         []JobRecord
	lostOwnerText map[string]string // by job whose owner is lost: the text for its grant
}

func (c *coordinator) classifyJobs() classifiedJobs {
	var jobs classifiedJobs
	for _, row := range c.table.Jobs() {
		if c.proposals.ownerChangePending(row.Job) {
			continue
		}
		if row.Owner != "" {
			if c.ownerMayBeAlive(row) {
				jobs.owned = append(jobs.owned, *row)
				continue
			}
			if jobs.lostOwnerText == nil {
				jobs.lostOwnerText = map[string]string{}
			}
			jobs.lostOwnerText[row.Job] = fmt.Sprintf(ownerLostFormat, row.Owner)
		}
		if c.mayBeGranted(row) {
			jobs.free = append(jobs.free, row.Job)
		}
	}
	return jobs
}

// mayBeGranted reports whether a job has no owner that may be alive, no proposal under way and no backoff.
func (c *coordinator) mayBeGranted(row *JobRecord) bool {
	owned := row.Owner != "" && c.ownerMayBeAlive(row)
	return !owned && !c.proposals.ownerChangePending(row.Job) && !c.backoff.blocked(row.Job, c.now)
}

// ownerMayBeAlive keeps the coordinator's part of the lease property: an owner counts as lost only once its lease has surely ended, also one
// that an earlier coordinator granted.
func (c *coordinator) ownerMayBeAlive(row *JobRecord) bool {
	return c.sessions[processID{row.Owner, row.Incarnation}] != nil || c.now < c.latestLeaseEnd(c.epochStartedAt)
}

// preferHandover gives a job that was released for a handover to the process that it was meant for, if that is still fit.
func (c *coordinator) preferHandover(a Assignment) Assignment {
	handover, ok := c.handovers.byJob[a.Job]
	if !ok {
		return a
	}
	delete(c.handovers.byJob, a.Job)
	if s := c.sessions.latest(handover.Member); s != nil && s.offers[a.Job] && s.eligible {
		a.Member, a.Incarnation, a.Reason = handover.Member, s.incarnation, handover.Reason
	}
	return a
}

// beginHandover requests the owner to release a job, by its job list.
func (c *coordinator) beginHandover(a Assignment) {
	c.handovers.byJob[a.Job] = a
	row := c.table.Job(a.Job)
	if row == nil {
		return
	}
	if s := c.sessions[processID{row.Owner, row.Incarnation}]; s != nil {
		s.listSentVersion = 0 // the list is to be sent at once
	}
}

// grant proposes a job's next token: above all earlier ones, and above those of earlier epochs even where the table lost them.
func (c *coordinator) grant(a Assignment) {
	token := max(c.table.Job(a.Job).Token+1, c.epoch<<tokensPerEpochBits)
	cmd := grantCommand{job: a.Job, token: token, changedAt: c.cfg.WallClock(), owner: a.Member, incarnation: a.Incarnation, reason: a.Reason}
	c.propose(cmd, proposal{job: a.Job, exclusive: true})
}
