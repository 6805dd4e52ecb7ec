package ownership

import (
	"maps"
	"slices"
)

// releaseRepeatInterval is how often a released job is reported until the coordinator's list no longer holds it.
const releaseRepeatInterval = 100 * ms

// ownedJob is a job that this process owns, or has released without the coordinator having confirmed it.
type ownedJob struct {
	token            uint64
	released         bool
	text             string // of the release
	higherToken      uint64 // that a receiver reported; 0: none
	checkpointNumber uint64
	checkpoint       []byte
	reportedAt       Time // the release, to the coordinator
}

// participant is the role of a process that may own jobs.
type participant struct {
	*environment
	lease        processLease
	jobs         map[string]*ownedJob // by job
	epoch        uint64               // of the last coordinator that was followed
	listSequence uint64               // of the last job list in that epoch
	able         bool
	leaving      bool
}

func newParticipant(env *environment) *participant {
	return &participant{environment: env, lease: processLease{outstanding: map[uint64]Time{}}, jobs: map[string]*ownedJob{}, able: true}
}

func (p *participant) tick() {
	if !p.leaving || len(p.jobs) > 0 {
		p.renewLease()
	}
	for _, job := range p.jobNames() {
		if h := p.jobs[job]; h.released && p.now-h.reportedAt >= releaseRepeatInterval {
			p.reportRelease(job, h)
		}
	}
}

// jobNames is sorted, so that a run can be replayed.
func (p *participant) jobNames() []string { return slices.Sorted(maps.Keys(p.jobs)) }

func (p *participant) ownedJobs() map[string]uint64 {
	tokens := map[string]uint64{}
	for job, h := range p.jobs {
		if !h.released {
			tokens[job] = h.token
		}
	}
	return tokens
}

// owns reports whether this process may act as a job's owner now.
func (p *participant) owns(job string) bool {
	h := p.jobs[job]
	return h != nil && !h.released && !p.leaseEnded()
}

func (p *participant) ownsUnder(job string, token uint64) bool {
	return p.owns(job) && p.jobs[job].token == token
}

// mayBeAssigned reports whether this process should be given jobs. One whose lease has ended may be cut off in one direction: its requests arrive,
// but it would not learn of a job that it is granted.
func (p *participant) mayBeAssigned() bool {
	return p.able && !p.leaving && (p.lease.end == 0 || !p.leaseEnded())
}

func (p *participant) leave(text string) {
	p.leaving = true
	p.releaseAll(ProcessLeaving, text)
}

func (p *participant) releaseAll(reason ReleaseReason, text string) {
	for _, job := range p.jobNames() {
		if h := p.jobs[job]; !h.released {
			p.release(job, h, reason, text)
		}
	}
}

func (p *participant) jobFailed(job string, token uint64, cause string) {
	if h := p.jobs[job]; h != nil && h.token == token && !h.released {
		p.release(job, h, JobFailed, failedPrefix+cause)
	}
}

// release stops a job here, and then notifies the coordinator, with the checkpoint and the text, until its list no longer holds the job.
func (p *participant) release(job string, h *ownedJob, reason ReleaseReason, text string) {
	h.released, h.text = true, text
	h.checkpointNumber, h.checkpoint = p.effects.Stop(job, h.token, reason)
	p.reportRelease(job, h)
}

func (p *participant) reportRelease(job string, h *ownedJob) {
	h.reportedAt = p.now
	if p.lease.leader == 0 {
		return
	}
	p.send(p.lease.leader, jobReleased{
		sender:           p.processID(),
		able:             p.mayBeAssigned(),
		job:              job,
		token:            h.token,
		higherToken:      h.higherToken,
		checkpointNumber: h.checkpointNumber,
		checkpoint:       h.checkpoint,
		reason:           h.text,
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
		h := p.jobs[job]
		j, ok := listed[job]
		switch {
		case ok && j.token == h.token:
			if j.handover && !h.released {
				p.release(job, h, HandedOver, textHandedOver)
			}
		case !h.released:
			p.effects.Stop(job, h.token, NoLongerListed)
			delete(p.jobs, job)
		default:
			delete(p.jobs, job) // released before, and now taken back
		}
	}
}

// acquire starts a listed job, or releases it at once where it must not start here. It gives false where the job has to wait for a lease.
func (p *participant) acquire(j listedJob) bool {
	if j.handover || p.leaving {
		h := &ownedJob{token: j.token, released: true, text: textNotBegun}
		p.jobs[j.job] = h
		p.reportRelease(j.job, h)
		return true
	}
	// Lease: without one no job starts.
	if p.leaseEnded() {
		return false
	}
	h := &ownedJob{token: j.token}
	p.jobs[j.job] = h
	if err := p.effects.Start(j.job, j.token, j.checkpointNumber, j.checkpoint); err != nil {
		h.released, h.text, h.checkpointNumber = true, failedPrefix+err.Error(), 0
		p.reportRelease(j.job, h)
	}
	return true
}

// handleCheckpointResult passes the result on, unless the job has changed its owner since.
func (p *participant) handleCheckpointResult(m checkpointResult) {
	if h := p.jobs[m.job]; h != nil && h.token == m.token {
		p.effects.CheckpointStored(m.job, m.token, m.checkpointNumber, m.stored)
	}
}

// handleEffectAck passes a receiver's verdict on. A stale one stops the job.
func (p *participant) handleEffectAck(from uint32, m effectAck) {
	if h := p.jobs[m.job]; m.verdict == Stale && h != nil && h.token == m.token.Token && !h.released {
		// Fencing: the receiver has accepted a later owner's effect, so this owner stops. The release carries that owner's token to the coordinator.
		h.higherToken = m.highest.Token
		p.release(m.job, h, LaterTokenSeen, textLaterTokenSeen)
	}
	p.effects.EffectAcknowledged(from, m.job, m.token, m.verdict, m.highest)
}
