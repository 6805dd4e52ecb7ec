package ownership

import "fmt"

const (
	// reviewInterval is the minimum time between two reviews of all jobs.
	reviewInterval = 20 * ms
	// confirmInterval is the minimum time between two rounds in which the voters confirm the leader. A
	// round serves all lease requests since the previous one.
	confirmInterval = 200 * ms
	// listRepeatInterval is the time until a list is sent again to a process that seems not to have
	// received it.
	listRepeatInterval = 200 * ms
	// listSettleTime is how long a sent list may be on its way. If a process then releases a job that it
	// no longer owns, it may not have the list yet, so the list is sent again only after this time.
	listSettleTime = 50 * ms
)

// coordinator is the role of the process that leads the group of voters: it grants leases and assigns
// jobs. An epoch is the period for which it leads, with a number above those of earlier coordinators.
// It never leads in two epochs at a time. What it learned in one is dropped at the start of the next.
type coordinator struct {
	*environment
	unheardBy map[string]int // number of members that do not hear a member and have not left, by that member's name

	epoch             uint64 // 0 if this process does not lead
	epochStartedAt    Time
	tableEmptyAtStart bool // whether the table was empty at the start of the epoch
	sessions          sessions
	proposals         proposals
	confirmation      leadershipConfirmation
	backoff           failureBackoff
	handovers         handovers
	changedAt         map[string]Time // when this process last saw a job's owner change, by job name; initially the start of the epoch
	listSequence      uint64          // number of the last job list sent in the epoch; 0 if none was
	reviewedAt        Time            // last review of all jobs
}

func newCoordinator(env *environment) *coordinator {
	c := &coordinator{environment: env}
	c.dropEpochState()
	return c
}

// leads reports whether this process leads, as last determined by tick or stepDown.
func (c *coordinator) leads() bool { return c.epoch != 0 }

// dropEpochState drops everything learned in an epoch. It keeps the last tag of a proposal and the
// times of the last confirmation, review and handover.
func (c *coordinator) dropEpochState() {
	c.listSequence = 0
	c.sessions = sessions{}
	c.proposals.byTag, c.proposals.exclusiveTag = map[uint64]proposal{}, map[string]uint64{}
	c.confirmation.waiting, c.confirmation.byTag = nil, map[uint64][]leaseClaim{}
	c.backoff = failureBackoff{}
	c.handovers.byJob = map[string]Assignment{}
	c.changedAt = map[string]Time{}
}

// becomeCoordinator starts an epoch. This process does not know the leases that an earlier
// coordinator granted; see ownerMayBeAlive.
func (c *coordinator) becomeCoordinator(epoch uint64) {
	c.epoch, c.epochStartedAt, c.tableEmptyAtStart = epoch, c.now, c.table.Version == 0
	c.dropEpochState()
	for _, row := range c.table.Jobs() {
		c.changedAt[row.Job] = c.now
	}
	c.effects.LogEvent("coordinator_elected", "epoch", epoch)
}

// stepDown ends the epoch. The results of pending proposals are still sent to their requesters.
func (c *coordinator) stepDown() { c.epoch = 0 }

// tick follows the group's leadership. While this process leads, it confirms the leadership and
// reviews the jobs.
func (c *coordinator) tick() {
	epoch, ok := c.group.Leading()
	if !ok {
		c.stepDown()
		return
	}
	if c.epoch != epoch {
		c.becomeCoordinator(epoch)
	}
	c.proposals.expire(c.now)
	c.confirmation.expire(c.now, c.cfg.Lease)
	c.confirmLeadership()
	if c.now-c.reviewedAt < reviewInterval {
		return
	}
	c.reviewedAt = c.now
	if c.table.uncertain {
		c.resolveUncertainty()
		return
	}
	c.assignJobs()
	c.sendJobLists()
}

// resolveUncertainty proposes to clear the table's uncertainty once every lease has ended that a lost
// command may have led to.
func (c *coordinator) resolveUncertainty() {
	if c.now >= c.latestLeaseEnd(c.epochStartedAt) {
		c.propose(confirmCommand{}, proposal{})
	}
}

// latestLeaseEnd returns the time at which a lease granted at grantedAt must have ended at its
// holder, provided that neither clock is fast or slow by more than 2 % (clockDriftDivisor).
func (c *coordinator) latestLeaseEnd(grantedAt Time) Time {
	return grantedAt + leaseAtGrantor(c.cfg.Lease)
}

// handleJobReleased proposes to release a job. A release is ignored while a change of the job's
// owner is pending, since the process repeats it.
func (c *coordinator) handleJobReleased(m jobReleased) {
	s := c.sessions[m.sender]
	if s != nil && !m.eligible {
		// The lease request that also reports this may arrive later. Until then the process would be
		// granted the job again.
		s.eligible = false
	}
	row := c.table.Job(m.job)
	if !c.leads() || row == nil || c.proposals.ownerChangePending(m.job) {
		return
	}
	if row.Owner != m.sender.name || row.Incarnation != m.sender.incarnation || row.Token != m.token {
		c.resendList(s)
		return
	}
	if m.higherToken > row.Token {
		// Fencing: the next grant must be above the token that a receiver has seen. The new token also
		// changes the job list, so the process drops the job.
		c.propose(raiseTokenCommand{job: m.job, token: m.higherToken}, proposal{job: m.job, exclusive: true})
		return
	}
	if isFailure(m.reason) {
		c.backoff.recordFailure(m.job, c.now)
	}
	release := releaseCommand{job: m.job, token: m.token, changedAt: c.cfg.WallClock(), checkpointNumber: m.checkpointNumber, checkpoint: m.checkpoint, reason: m.reason}
	c.propose(release, proposal{job: m.job, exclusive: true})
}

// resendList sends the job list again to a process that releases a job that it no longer owns. It
// does nothing if s is nil.
func (c *coordinator) resendList(s *session) {
	if s != nil && c.now-s.listSentAt > listSettleTime {
		s.listSentVersion = 0
		c.sendJobList(s)
	}
}

// handleStoreCheckpoint proposes to store a checkpoint, if this process leads. When the command is
// applied, checkpointCommand.apply checks that the job is still owned under the token.
func (c *coordinator) handleStoreCheckpoint(from uint32, m storeCheckpoint) {
	if !c.leads() {
		return
	}
	c.propose(checkpointCommand(m), proposal{job: m.job, checkpoint: &checkpointRequest{peer: from, token: m.token, number: m.checkpointNumber}})
}

// moveJob begins a handover that an operator requests. refusal tells the operator why the request is
// refused; it is empty if the request is accepted.
func (c *coordinator) moveJob(job, to string) (refusal string) {
	row, s := c.table.Job(job), c.sessions.latest(to)
	switch {
	case !c.leads():
		return "this process does not coordinate any more: ask again"
	case row == nil:
		return fmt.Sprintf("there is no job %q", job)
	case s == nil || !s.eligible:
		return fmt.Sprintf("%s is not there, or not fit to own", to)
	case !s.offers[job]:
		return fmt.Sprintf("%s can't do %s", to, job)
	case row.Owner == to:
		return fmt.Sprintf("%s owns %s already", to, job)
	}
	c.beginHandover(Assignment{Job: job, Member: to, Incarnation: s.incarnation, Handover: true, Reason: textMoved})
	c.sendJobLists()
	return ""
}

// forwardQuery forwards a query to the job's owner. It drops the query if this process does not lead, the
// job has no owner, or this member is the owner.
func (c *coordinator) forwardQuery(m queryMessage) {
	row := c.table.Job(m.job)
	if c.leads() && row != nil && row.Owner != "" && row.Owner != c.cfg.Name {
		c.send(peerOf(row.Owner), m.encoded)
	}
}

// sendJobLists calls sendJobList for each session.
func (c *coordinator) sendJobLists() {
	for _, s := range c.sessions.sorted() {
		c.sendJobList(s)
	}
}

// sendJobList sends a process the list of the jobs that it is to own if the table has changed since
// the last list, or if the process seems not to have received that list.
func (c *coordinator) sendJobList(s *session) {
	current := c.table.Version + 1 // not 0: a listSentVersion of 0 means that a list must be sent
	if s.listSentVersion == current && (!s.lacksList || c.now-s.listSentAt < listRepeatInterval) {
		return
	}
	c.listSequence++
	m := jobList{incarnation: s.incarnation, epoch: c.epoch, sequence: c.listSequence}
	for _, row := range c.table.Jobs() {
		if row.Owner == s.name && row.Incarnation == s.incarnation {
			m.jobs = append(m.jobs, listedJob{job: row.Job, token: row.Token, checkpointNumber: row.CheckpointNumber,
				handover: c.handovers.requested(row.Job), checkpoint: row.Checkpoint})
		}
	}
	s.listSentVersion, s.listSentAt, s.listSequence, s.lacksList = current, c.now, c.listSequence, false
	c.send(peerOf(s.name), m.encode())
}
