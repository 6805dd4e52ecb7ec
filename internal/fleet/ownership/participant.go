package ownership

import (
	"maps"
	"slices"
)

// releaseRepeatInterval is the time between two reports of a released job. Reports are repeated until
// the coordinator's list no longer contains the job.
const releaseRepeatInterval = 100 * ms

// ownedJob is a job that this process owns, or that it has released and the coordinator still lists.
type ownedJob struct {
	token             uint64 // of the grant under which this process owns the job
	released          bool   // stopped, and the release is reported until the coordinator's list omits the job
	releaseText       string // reason of the release
	higherToken       uint64 // token above this one, under which a receiver has accepted an effect (a message from the job's owner); 0 if none is known
	checkpointNumber  uint64 // of checkpoint; 0 if there is none
	checkpoint        []byte // for the next owner; set by the release
	releaseReportedAt Time   // when the release was last reported to the coordinator
}

// participant is the role of a process that may own jobs. It holds one lease for all its jobs, which
// the coordinator grants.
type participant struct {
	*environment
	lease        processLease
	jobs         map[string]*ownedJob // by job name; includes released jobs
	epoch        uint64               // in which the latest coordinator that sent a lease or a job list leads
	listSequence uint64               // of the last job list accepted in that epoch; 0 if none was
	eligible     bool                 // whether this process may be assigned jobs; set by Core.SetEligible
	leaving      bool                 // whether Core.Leave was called
}

func newParticipant(env *environment) *participant {
	return &participant{environment: env, lease: processLease{outstanding: map[uint64]Time{}}, jobs: map[string]*ownedJob{}, eligible: true}
}

// tick renews the lease and repeats the reports of released jobs. A process that is leaving needs no
// lease once it has no jobs.
func (p *participant) tick() {
	if !p.leaving || len(p.jobs) > 0 {
		p.renewLease()
	}
	for _, job := range p.jobNames() {
		if owned := p.jobs[job]; owned.released && p.now-owned.releaseReportedAt >= releaseRepeatInterval {
			p.reportRelease(job, owned)
		}
	}
}

// jobNames returns the names in p.jobs, sorted so that a run can be replayed.
func (p *participant) jobNames() []string { return slices.Sorted(maps.Keys(p.jobs)) }

// ownedJobs returns the tokens of the jobs that are not released, by job name.
func (p *participant) ownedJobs() map[string]uint64 {
	tokens := map[string]uint64{}
	for job, owned := range p.jobs {
		if !owned.released {
			tokens[job] = owned.token
		}
	}
	return tokens
}

// owns reports whether this process may act now as the job's owner.
func (p *participant) owns(job string) bool {
	owned := p.jobs[job]
	return owned != nil && !owned.released && !p.leaseEnded()
}

// ownsUnder reports whether this process may act now as the job's owner under a token.
func (p *participant) ownsUnder(job string, token uint64) bool {
	return p.owns(job) && p.jobs[job].token == token
}

// mayBeAssigned reports whether this process should be assigned jobs. A process whose lease has
// ended may be cut off in one direction: its requests arrive, but it would not learn of a job
// granted to it. A new process, which has had no lease yet, may be assigned jobs.
func (p *participant) mayBeAssigned() bool {
	return p.eligible && !p.leaving && (p.lease.end == 0 || !p.leaseEnded())
}

// leave releases all jobs and makes this process refuse new ones. text is the reason.
func (p *participant) leave(text string) {
	p.leaving = true
	p.releaseAll(ProcessLeaving, text)
}

// releaseAll releases the jobs that are not released yet. reason is logged, and text is stored with
// the release.
func (p *participant) releaseAll(reason ReleaseReason, text string) {
	for _, job := range p.jobNames() {
		if owned := p.jobs[job]; !owned.released {
			p.release(job, owned, reason, text)
		}
	}
}

// jobFailed releases a job that failed under a token. It does nothing if this process no longer owns
// the job under that token.
func (p *participant) jobFailed(job string, token uint64, cause string) {
	if owned := p.jobs[job]; owned != nil && owned.token == token && !owned.released {
		p.release(job, owned, JobFailed, failedPrefix+cause)
	}
}

// release stops a job and reports it to the coordinator with the checkpoint and the reason. tick
// repeats the report until the coordinator's list no longer contains the job.
func (p *participant) release(job string, owned *ownedJob, reason ReleaseReason, text string) {
	owned.released, owned.releaseText = true, text
	owned.checkpointNumber, owned.checkpoint = p.effects.Stop(job, owned.token, reason)
	p.reportRelease(job, owned)
}

// reportRelease sends the release of a job to the coordinator, if one is known.
func (p *participant) reportRelease(job string, owned *ownedJob) {
	owned.releaseReportedAt = p.now
	if p.lease.leader == 0 {
		return
	}
	p.send(p.lease.leader, jobReleased{
		sender:           p.processID(),
		eligible:         p.mayBeAssigned(),
		job:              job,
		token:            owned.token,
		higherToken:      owned.higherToken,
		checkpointNumber: owned.checkpointNumber,
		checkpoint:       owned.checkpoint,
		reason:           owned.releaseText,
	}.encode())
}

// handleJobList starts and stops jobs as the coordinator's list requires. A list that is older than
// the last one, or that is for another process of the same name, changes nothing.
func (p *participant) handleJobList(from uint32, m jobList) {
	if m.incarnation != p.cfg.Incarnation || m.epoch < p.epoch || m.epoch == p.epoch && m.sequence <= p.listSequence {
		return
	}
	p.epoch, p.listSequence, p.lease.leader = m.epoch, m.sequence, from
	p.dropUnlisted(m.jobs)
	for _, j := range m.jobs {
		if p.jobs[j.job] == nil && !p.acquire(j) {
			p.listSequence = m.sequence - 1 // the next lease request reports the list as missing, so it is sent again
		}
	}
}

// dropUnlisted stops the jobs that the list no longer contains under the same token, and releases
// those that are to be handed over.
func (p *participant) dropUnlisted(jobs []listedJob) {
	listed := map[string]listedJob{}
	for _, j := range jobs {
		listed[j.job] = j
	}
	for _, job := range p.jobNames() {
		owned := p.jobs[job]
		j, ok := listed[job]
		switch {
		case ok && j.token == owned.token:
			if j.handover && !owned.released {
				p.release(job, owned, HandedOver, textHandedOver)
			}
		case !owned.released:
			p.effects.Stop(job, owned.token, NoLongerListed)
			delete(p.jobs, job)
		default:
			delete(p.jobs, job) // the coordinator has accepted the release
		}
	}
}

// acquire starts a listed job, or releases it at once if it must not start in this process. It
// returns false if the job must wait for a lease.
func (p *participant) acquire(j listedJob) bool {
	if j.handover || p.leaving {
		owned := &ownedJob{token: j.token, released: true, releaseText: textNotBegun}
		p.jobs[j.job] = owned
		p.reportRelease(j.job, owned)
		return true
	}
	// Lease: no job starts without one.
	if p.leaseEnded() {
		return false
	}
	owned := &ownedJob{token: j.token}
	p.jobs[j.job] = owned
	if err := p.effects.Start(j.job, j.token, j.checkpointNumber, j.checkpoint); err != nil {
		owned.released, owned.releaseText, owned.checkpointNumber = true, failedPrefix+err.Error(), 0
		p.reportRelease(j.job, owned)
	}
	return true
}

// handleCheckpointResult passes the result on to the job, unless this process no longer has the job
// under the same token.
func (p *participant) handleCheckpointResult(m checkpointResult) {
	if owned := p.jobs[m.job]; owned != nil && owned.token == m.token {
		p.effects.CheckpointStored(m.job, m.token, m.checkpointNumber, m.stored)
	}
}

// handleEffectAck passes a receiver's verdict on to the job. The verdict Stale also stops the job.
func (p *participant) handleEffectAck(from uint32, m effectAck) {
	if owned := p.jobs[m.job]; m.verdict == Stale && owned != nil && owned.token == m.token.Token && !owned.released {
		// Fencing: the receiver has accepted a later owner's effect, so this owner stops. The
		// release reports that owner's token to the coordinator. If the receiver's Fence, its
		// record of accepted tokens, is full instead, the reported token is 0.
		owned.higherToken = m.highest.Token
		p.release(m.job, owned, LaterTokenSeen, textLaterTokenSeen)
	}
	p.effects.EffectAcknowledged(from, m.job, m.token, m.verdict, m.highest)
}
