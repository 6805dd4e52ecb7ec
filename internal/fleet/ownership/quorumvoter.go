package ownership

// voterState holds what a voter has promised and granted. It is kept in memory only; see
// Quorum.abstains.
type voterState struct {
	promised uint64 // highest ballot promised
	grantee  uint32 // peer to which this voter last granted a lease; 0 if none
	epoch    uint64 // for which that lease was granted: the ballot of its holder's election
	grantEnd Time   // end of that lease, as this voter counts it
}

// mayGrantTo reports whether this voter may grant a lease to a candidate: no lease that it granted to
// another candidate lasts. So no two candidates can hold leases from a majority at the same time.
func (v *voterState) mayGrantTo(candidate uint32, now Time) bool {
	return now >= v.grantEnd || v.grantee == candidate
}

// abstains reports whether this voter must not take part yet. Until the length of a lease (leaseAtGrantor)
// after its start, an earlier process of this voter may have granted a lease that still lasts and that this
// process does not know of.
func (q *Quorum) abstains() bool {
	return q.startedAt < 0 || !q.cfg.Faults.SkipAbstention && q.now < q.startedAt+leaseAtGrantor(q.cfg.Lease)
}

// handlePrepare promises to accept no ballot below the requested one, unless the lease of another
// candidate lasts. It ignores a ballot that is not above the one promised last.
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

// handleLeaseProposal grants or renews a lease, unless this voter has promised a higher ballot or the
// lease of another candidate lasts.
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

// handleLeaseYielded ends the lease that this voter granted, so that others can be elected at once.
func (q *Quorum) handleLeaseYielded(from uint32, m leaseYielded) {
	if from == q.voter.grantee && m.epoch == q.voter.epoch {
		q.voter.grantEnd = q.now
	}
}

// handleStateRequest sends this voter's state to a candidate, with the ballot of the candidate's
// election.
func (q *Quorum) handleStateRequest(from uint32, m stateRequest) {
	q.send(from, stateTransfer{term: m.ballot, position: q.appliedPosition(), snapshot: encodeState(q.machines)})
}

// follows reports whether this voter accepts the commands of an epoch from a peer. It does so only
// while the lease that it granted lasts. Afterwards it may have promised a ballot to a candidate,
// whose epoch would begin without these commands.
func (q *Quorum) follows(from uint32, epoch uint64) bool {
	return from != q.self && from == q.voter.grantee && epoch == q.voter.epoch && q.now < q.voter.grantEnd
}

// handleStateTransfer restores the state that this voter requested as a candidate, and then proposes its
// lease. It also restores a newer state that this voter's leader sends, and acknowledges it.
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

// handleAppendEntries applies the entries that directly follow this voter's log position. The
// leader sends entries after a gap again.
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

// acknowledge reports this voter's log position to the leader.
func (q *Quorum) acknowledge(leader uint32) {
	q.send(leader, appendAcknowledged{position: q.log.position})
}
