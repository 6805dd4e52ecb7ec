package ownership

// voterState is what a voter has promised and granted, in memory only: see Quorum.abstains.
type voterState struct {
	promised uint64 // highest ballot
	grantee  uint32 // peer that the lead was granted to last
	epoch    uint64 // that it was granted for
	grantEnd Time   // as this voter counts it
}

// mayGrantTo reports whether no other's lease lasts here. A voter grants the lead to one at a time, so no two can have it from a majority.
func (v *voterState) mayGrantTo(candidate uint32, now Time) bool {
	return now >= v.grantEnd || v.grantee == candidate
}

// abstains reports whether an earlier process of this voter may have granted a lease that still lasts: this process does not know of it.
func (q *Quorum) abstains() bool {
	return q.startedAt < 0 || !q.cfg.Faults.SkipAbstention && q.now < q.startedAt+leaseAtGrantor(q.cfg.Lease)
}

// handlePrepare promises to accept no ballot below this one, unless the lease of another lasts here.
func (q *Quorum) handlePrepare(from uint32, m prepareRequest) {
	if q.abstains() || m.ballot <= q.voter.promised {
		return
	}
	q.observeBallot(m.ballot)
	promised := q.voter.mayGrantTo(from, q.now)
	if promised {
		q.voter.promised = m.ballot
	}
	q.send(from, prepareReply{ballot: m.ballot, promised: promised, position: q.appliedPosition()})
}

// handleLeaseProposal grants the lead, unless a higher ballot was promised or the lease of another lasts.
func (q *Quorum) handleLeaseProposal(from uint32, m leaseProposal) {
	if q.abstains() {
		return
	}
	q.observeBallot(m.ballot)
	v := &q.voter
	if m.ballot < v.promised || !v.mayGrantTo(from, q.now) {
		q.send(from, leaseRejected{epoch: m.epoch, promised: v.promised})
		return
	}
	v.promised, v.grantee, v.epoch = m.ballot, from, m.epoch
	v.grantEnd = q.now + q.cfg.Lease
	q.send(from, leaseAccepted{epoch: m.epoch, round: m.round, position: q.log.position})
}

// handleLeaseYielded ends the lease that was granted: others may be elected at once.
func (q *Quorum) handleLeaseYielded(from uint32, m leaseYielded) {
	if from == q.voter.grantee && m.epoch == q.voter.epoch {
		q.voter.grantEnd = q.now
	}
}

func (q *Quorum) handleStateRequest(from uint32, m stateRequest) {
	q.send(from, stateTransfer{term: m.ballot, position: q.appliedPosition(), snapshot: encodeState(q.machines)})
}

// follows reports whether this voter takes an epoch's commands from a process: only while the lease lasts that it granted. Afterwards it may have
// promised a ballot to a candidate, whose epoch would begin without these commands.
func (q *Quorum) follows(from uint32, epoch uint64) bool {
	return from != q.self && from == q.voter.grantee && epoch == q.voter.epoch && q.now < q.voter.grantEnd
}

// handleStateTransfer takes the state that this voter requested as a candidate, or that its leader sends.
func (q *Quorum) handleStateTransfer(from uint32, m stateTransfer) {
	if m.term == q.candidate.ballot && q.candidate.stateSource == from && m.term != 0 {
		if restoreState(q.machines, m.snapshot) {
			q.log.position = m.position
			q.requestLease()
		}
		return
	}
	if !q.follows(from, m.term) || m.position.epoch != m.term || !q.log.position.before(m.position) {
		return
	}
	if restoreState(q.machines, m.snapshot) {
		q.log.position = m.position
		q.acknowledge(from)
	}
}

// handleAppendEntries applies the entries that continue this voter's state. Those after a gap are sent again by the leader.
func (q *Quorum) handleAppendEntries(from uint32, m appendEntries) {
	if !q.follows(from, m.epoch) || q.log.position.epoch != m.epoch {
		return
	}
	for _, e := range m.entries {
		if machine := q.machines.Get(e.machine); e.version == q.log.position.version+1 && machine != nil {
			q.effects.Applied(e.machine, e.tag, machine.Apply(e.command))
			q.log.position.version = e.version
		}
	}
	q.acknowledge(from)
}

func (q *Quorum) acknowledge(leader uint32) {
	q.send(leader, appendAcknowledged{position: q.log.position})
}
