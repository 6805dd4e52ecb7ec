package ownership

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// grantDelay is the time from the start of an epoch, the period in which one coordinator leads, to
	// its first grant. Processes request their first leases one after the other, so without the delay
	// the first process would get all jobs.
	grantDelay = 200 * ms
	// newFleetGrantDelayDivisor divides the lease to yield the delay that replaces grantDelay if the
	// table is empty: then the fleet starts for the first time, and its processes one after the other.
	newFleetGrantDelayDivisor = 2
	// handoverInterval is the minimum time between two handovers that Assign requests. Handovers that
	// operators request do not wait.
	handoverInterval = sec

	// The first and the longest delay before a job that failed is granted again.
	minBackoff = sec
	maxBackoff = 60 * sec

	maxBackoffDoublings = 6 // 2^6 times minBackoff exceeds maxBackoff; more could overflow
)

// jobFailures counts the recent failures of one job.
type jobFailures struct {
	count        int  // number of failures since the delay last started at minBackoff
	blockedUntil Time // end of the delay after the last failure
}

// failureBackoff delays the grant of jobs that fail, by job name. The delay starts at minBackoff and
// doubles with each failure up to maxBackoff. It starts again at minBackoff once a job has not failed
// for maxBackoff after its last delay ended.
type failureBackoff map[string]*jobFailures

// recordFailure starts a job's next delay.
func (b failureBackoff) recordFailure(job string, now Time) {
	f := b[job]
	if f == nil || now-f.blockedUntil > maxBackoff {
		f = &jobFailures{}
		b[job] = f
	}
	f.blockedUntil = now + min(maxBackoff, minBackoff<<min(f.count, maxBackoffDoublings))
	f.count++
}

// blocked reports whether a job's delay has not ended.
func (b failureBackoff) blocked(job string, now Time) bool {
	f := b[job]
	return f != nil && now < f.blockedUntil
}

// handovers holds the assignments whose job the present owner must release first.
type handovers struct {
	byJob           map[string]Assignment // by job name
	lastRequestedAt Time                  // when Assign last requested a handover
}

// requested reports whether a job's owner must release it for a handover.
func (h *handovers) requested(job string) bool {
	_, ok := h.byJob[job]
	return ok
}

// due reports whether Assign may request another handover.
func (h *handovers) due(now Time) bool { return now-h.lastRequestedAt >= handoverInterval }

// assignJobs registers new jobs, grants the jobs that have no owner or whose owner is lost, and
// begins handovers. If this process is a majority by itself, a proposal is applied before propose
// returns, and commandApplied calls assignJobs again. So each job is checked again right before it
// is proposed.
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

// firstGrantDelay returns how long no job is granted in a new epoch. It is longer in a fleet that
// starts for the first time, since all its sessions are new.
func (c *coordinator) firstGrantDelay() Time {
	if c.tableEmptyAtStart {
		return c.cfg.Lease / newFleetGrantDelayDivisor
	}
	return grantDelay
}

// maxRenewalAge returns the maximum time since a candidate renewed its lease. A process requests a
// lease every quarter of one, so after this time two or more requests in a row were lost.
func maxRenewalAge(lease Time) Time { return lease * 2 / 3 }

// candidateSet holds the processes that may own jobs, and the jobs that at least one of them offers.
type candidateSet struct {
	list    []Candidate
	offered map[string]bool // by job name
}

// expireSessions deletes the sessions, the records of processes that requested leases, whose lease
// must have ended at the process (latestLeaseEnd). The jobs of these processes may then be granted to
// others.
func (c *coordinator) expireSessions() {
	for _, s := range c.sessions.sorted() {
		if c.now >= c.latestLeaseEnd(s.renewedAt) {
			c.effects.LogEvent("session_expired", "member", s.name)
			delete(c.sessions, s.processID)
		}
	}
}

// candidates returns the processes that offer jobs and have renewed their lease recently. Of several
// processes of one name, only the latest counts.
func (c *coordinator) candidates() candidateSet {
	set := candidateSet{offered: map[string]bool{}}
	for _, s := range c.sessions.sorted() {
		if n := len(set.list); n > 0 && set.list[n-1].Name == s.name {
			set.list = set.list[:n-1] // an earlier process of the same name gets no more jobs
		}
		if s.offers == nil || c.now-s.renewedAt > maxRenewalAge(c.cfg.Lease) {
			continue // the jobs that it offers are not known yet, or it may be lost
		}
		for job := range s.offers {
			set.offered[job] = true
		}
		set.list = append(set.list, Candidate{Name: s.name, Incarnation: s.incarnation, Eligible: s.eligible, UnheardBy: c.unheardBy[s.name],
			EligibleFor: c.now - s.eligibleSince, Offers: func(job string) bool { return s.offers[job] }})
	}
	return set
}

// registerNewJobs proposes to add the offered jobs that are not in the table.
func (c *coordinator) registerNewJobs(offered map[string]bool) {
	for _, job := range slices.Sorted(maps.Keys(offered)) {
		if c.table.Job(job) == nil && !c.proposals.ownerChangePending(job) {
			c.propose(registerCommand{job: job, changedAt: c.cfg.WallClock()}, proposal{job: job, exclusive: true})
		}
	}
}

// classifiedJobs holds the jobs without a pending change of owner.
type classifiedJobs struct {
	free          []string          // jobs that may be granted
	owned         []JobRecord       // jobs whose owner may be alive
	lostOwnerText map[string]string // reason for the grant of each job whose owner is lost, by job
}

// classifyJobs classifies the jobs of the table. It leaves out the jobs with a pending change of
// owner, and the jobs that would be free but are in backoff.
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

// mayBeGranted reports whether a job has no owner that may be alive, no pending change of owner and
// no backoff.
func (c *coordinator) mayBeGranted(row *JobRecord) bool {
	owned := row.Owner != "" && c.ownerMayBeAlive(row)
	return !owned && !c.proposals.ownerChangePending(row.Job) && !c.backoff.blocked(row.Job, c.now)
}

// ownerMayBeAlive reports whether the owner of a job may still act. Lease: an owner counts as lost
// only once its lease must have ended. A lease that an earlier coordinator granted has ended once this
// epoch has lasted longer than a lease.
func (c *coordinator) ownerMayBeAlive(row *JobRecord) bool {
	return c.sessions[processID{row.Owner, row.Incarnation}] != nil || c.now < c.latestLeaseEnd(c.epochStartedAt)
}

// preferHandover redirects the assignment of a job that was released for a handover to the process
// chosen then, if that process is still eligible and offers the job.
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

// beginHandover marks a job to be handed over, and makes sendJobLists send its owner the list that asks
// for its release.
func (c *coordinator) beginHandover(a Assignment) {
	c.handovers.byJob[a.Job] = a
	row := c.table.Job(a.Job)
	if row == nil {
		return
	}
	if s := c.sessions[processID{row.Owner, row.Incarnation}]; s != nil {
		s.listSentVersion = 0 // the list must be sent at once
	}
}

// grant proposes to assign a job under its next token. Fencing: the token is above all earlier ones.
// The epoch in its high bits raises it above tokens of earlier epochs that the table may have lost.
func (c *coordinator) grant(a Assignment) {
	token := max(c.table.Job(a.Job).Token+1, c.epoch<<tokensPerEpochBits)
	cmd := grantCommand{job: a.Job, token: token, changedAt: c.cfg.WallClock(), owner: a.Member, incarnation: a.Incarnation, reason: a.Reason}
	c.propose(cmd, proposal{job: a.Job, exclusive: true})
}
