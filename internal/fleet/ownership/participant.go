package ownership

import (
	"maps"
	"slices"
)

// releaseRepeatInterval is how often a released job is reported until the coordinator's list no longer holds it.
const releaseRepeatInterval = 100 * ms

// ownedJob is a job that this process owns, or has released without the coordinator having confirmed it.
type ownedJob struct {
	token             uint64
	released          bool
	releaseText       string // of the release
	higherToken       uint64 // that a receiver reported; 0: none
	checkpointNumber  uint64
	checkpoint        []byte
	releaseReportedAt Time // the release, to the coordinator
}

// participant is the role of a process that may own jobs.
type participant struct {
	*environment
	lease        processLease
	jobs         map[string]*ownedJob // by job
	epoch        uint64               // of the last coordinator that was followed
	listSequence uint64               // of the last job list in that epoch
	eligible     bool
	leaving      bool
}

func newParticipant(env *environment) *participant {
	return &participant{environment: env, lease: processLease{outstanding: map[uint64]Time{}}, jobs: map[string]*ownedJob{}, eligible: true}
}

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

// jobNames is sorted, so that a run can be replayed.
func (p *participant) jobNames() []string { return slices.Sorted(maps.Keys(p.jobs)) }

func (p *participant) ownedJobs() map[string]uint64 {
	tokens := map[string]uint64{}
	for job, owned := range p.jobs {
		if !owned.released {
			tokens[job] = owned.token
		}
	}
	return tokens
}

// owns reports whether this process may act as a job's owner now.
func (p *participant) owns(job string) bool {
	owned := p.jobs[job]
	return owned != nil && !owned.released && !p.leaseEnded()
}

func (p *participant) ownsUnder(job string, token uint64) bool {
	return p.owns(job) && p.jobs[job].token == token
}

// mayBeAssigned reports whether this process should be given jobs. One whose lease has ended may be cut off in one direction: its requests arrive,
// but it would not learn of a job that it is granted.
func (p *participant) mayBeAssigned() bool {
	return p.eligible && !p.leaving && (p.lease.end == 0 || !p.leaseEnded())
}

func (p *participant) leave(text string) {
	p.leaving = true
	p.releaseAll(ProcessLeaving, text)
}

func (p *participant) releaseAll(reason ReleaseReason, text string) {
	for _, job := range p.jobNames() {
		if owned := p.jobs[job]; !owned.released {
			p.release(job, owned, reason, text)
		}
	}
}

func (p *participant) jobFailed(job string, token uint64, cause string) {
	if owned := p.jobs[job]; owned != nil && owned.token == token && !owned.released {
		p.release(job, owned, JobFailed, failedPrefix+cause)
	}
}

// release stops a job here, and then notifies the coordinator, with the checkpoint and the text, until its list no longer holds the job.
func (p *participant) release(job string, owned *ownedJob, reason ReleaseReason, text string) {
	owned.released, owned.releaseText = true, text
	owned.checkpointNumber, owned.checkpoint = p.effects.Stop(job, owned.token, reason)
	p.reportRelease(job, owned)
}

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

// handleJobList follows the list of the jobs that this process is to own. A list older than the last one, or for an earlier process of this
// name, changes nothing.
func (p *participant) handleJobList(from uint32, m jobList) {
	if m.incarnation != p.cfg.Incarnation || m.epoch < p.epoch || m.epoch == p.epoch && m.sequence <= p.listSequence {
		return
	}
	p.epoch, p.listSequence, p.lease.leader = m.epoch, m.sequence, from
	p.dropUnlisted(m.jobs)
	for _, j := range m.jobs {
		if p.jobs[j.job] == nil && !p.acquire(j) {
			p.listSequence = m.sequence - 1 // the next lease request shows that the list was not taken, and it is sent again
		}
	}
}

// dropUnlisted stops the jobs that the list no longer holds under the same token, and releases those that are to be handed over.
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
			delete(p.jobs, job) // released before, and now taken back
		}
	}
}

// acquire starts a listed job, or releases it at once where it must not start here. It gives false where the job has to wait for a lease.
func (p *participant) acquire(j listedJob) bool {
	if j.handover || p.leaving {
		owned := &ownedJob{token: j.token, released: true, releaseText: textNotBegun}
		p.jobs[j.job] = owned
		p.reportRelease(j.job, owned)
		return true
	}
	// Lease: without one no job starts.
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

// handleCheckpointResult passes the result on, unless the job has changed its owner since.
func (p *participant) handleCheckpointResult(m checkpointResult) {
	if owned := p.jobs[m.job]; owned != nil && owned.token == m.token {
		p.effects.CheckpointStored(m.job, m.token, m.checkpointNumber, m.stored)
	}
}

// handleEffectAck passes a receiver's verdict on. A stale one stops the job.
func (p *participant) handleEffectAck(from uint32, m effectAck) {
	if owned := p.jobs[m.job]; m.verdict == Stale && owned != nil && owned.token == m.token.Token && !owned.released {
		// Fencing: the receiver has accepted a later owner's effect, so this owner stops. The release carries that owner's token to the coordinator.
		owned.higherToken = m.highest.Token
		p.release(m.job, owned, LaterTokenSeen, textLaterTokenSeen)
	}
	p.effects.EffectAcknowledged(from, m.job, m.token, m.verdict, m.highest)
}
