package ownership

// voterState is what a voter has promised and granted. It is kept in memory only: see Quorum.abstains.
type voterState struct {
	promised uint64 // highest ballot
	grantee  uint32 // peer that the lead was granted to last
	epoch    uint64 // that it was granted for
	grantEnd Time   // as this voter counts it
}

// mayGrantTo reports whether no other's lease lasts. A voter grants the lead to one at a time, so what a majority has granted to one no other
// can have.
func (v *voterState) mayGrantTo(candidate uint32, now Time) bool {
	return now >= v.grantEnd || v.grantee == candidate
}

// abstains reports whether an earlier process of this voter may have granted a lease that lasts, which this one does not know.
func (q *Quorum) abstains() bool {
	return q.startedAt < 0 || !q.cfg.Faults.SkipAbstention && q.now < q.startedAt+lengthened(q.cfg.Lease)
}

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

func (q *Quorum) handleLeaseYielded(from uint32, m leaseYielded) {
	if from == q.voter.grantee && m.epoch == q.voter.epoch {
		q.voter.grantEnd = q.now
	}
}

func (q *Quorum) handleStateRequest(from uint32, m stateRequest) {
	q.send(from, stateTransfer{term: m.ballot, position: q.appliedPosition(), snapshot: encodeState(q.machines)})
}

// follows reports whether this voter takes an epoch's commands from a process: only while what it granted lasts. A candidate that it promised
// a ballot since would begin without them.
func (q *Quorum) follows(from uint32, epoch uint64) bool {
	return from != q.self && from == q.voter.grantee && epoch == q.voter.epoch && q.now < q.voter.grantEnd
}

// handleStateTransfer takes the state that this voter asked for as a candidate, or that its leader sends.
func (q *Quorum) handleStateTransfer(from uint32, m stateTransfer) {
	if m.term == q.candidate.ballot && q.candidate.stateFrom == from && m.term != 0 {
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

// handleAppendEntries applies what follows on this voter's state. A gap waits for the leader to send again.
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
