package ownership

import "croftlock/internal/fleet/group"

// leaderState is the lead of this voter.
type leaderState struct {
	epoch    uint64 // the ballot under which it was elected; 0: it does not lead
	ballot   uint64 // for renewals: above what voters have promised since
	leaseEnd Time
	renewAt  Time
}

func (q *Quorum) leads() bool { return q.leader.epoch != 0 }

// becomeLeader begins an epoch with the state chosen in the election, and sends it to all voters.
func (q *Quorum) becomeLeader(leaseEnd Time) {
	epoch := q.candidate.ballot
	q.leader.epoch, q.leader.ballot, q.leader.leaseEnd = epoch, epoch, leaseEnd
	q.candidate.ballot = 0
	q.log.reset(epoch, q.self)
	q.effects.LogEvent(EventQuorumLeaderElected, "epoch", epoch, FieldStateComplete, q.candidate.stateComplete)
	if !q.candidate.stateComplete {
		markUncertain(q.machines)
	}
	for _, name := range q.cfg.Voters {
		if peer := peerOf(name); peer != q.self {
			q.sendState(peer)
		}
	}
}

// becomeFollower ends the lead. Entries that are not committed are dropped; they were not applied here.
func (q *Quorum) becomeFollower() {
	q.log.position = q.appliedPosition()
	q.leader.epoch, q.candidate.ballot, q.log.entries = 0, 0, nil
}

// appliedPosition is how far the machines are. A leader applies only committed entries: a job that it grants must not be lost with it.
func (q *Quorum) appliedPosition() logPosition {
	if q.leads() {
		return logPosition{q.leader.epoch, q.log.committed}
	}
	return q.log.position
}

// stateIsReplicated reports whether a majority has the state that the epoch begins with. Before that this voter must not act as the leader, since
// what it grants could be lost with it.
func (q *Quorum) stateIsReplicated() bool { return q.isMajority(len(q.log.acknowledged)) }

func (q *Quorum) sendState(to uint32) {
	epoch := q.leader.epoch
	q.send(to, stateTransfer{term: epoch, position: logPosition{epoch, q.log.committed}, snapshot: encodeState(q.machines)})
}

// sendEntries sends a voter the entries after a version, as many as one message takes. resendEntries repeats those that are lost.
func (q *Quorum) sendEntries(to uint32, after uint64) {
	q.send(to, appendEntries{epoch: q.leader.epoch, entries: q.log.batchAfter(after)})
}

// resendEntries brings voters that lag up to date.
func (q *Quorum) resendEntries() {
	for _, name := range q.cfg.Voters {
		peer := peerOf(name)
		version, known := q.log.acknowledged[peer]
		switch {
		case peer == q.self || known && version >= q.log.position.version:
		case !known || !q.log.hasAllAfter(version):
			q.sendState(peer)
		default:
			q.sendEntries(peer, version)
		}
	}
}

func (q *Quorum) handleAppendAcknowledged(from uint32, m appendAcknowledged) {
	if m.position.epoch == q.leader.epoch && q.leads() {
		q.log.acknowledged[from] = max(q.log.acknowledged[from], m.position.version)
		q.commit()
	}
}

// commit applies the entries that a majority has, in order.
func (q *Quorum) commit() {
	for len(q.log.entries) > 0 && q.log.committed < q.log.position.version {
		if !q.isMajority(q.countVotersPast(q.log.committed)) {
			return
		}
		q.log.committed++
		// Applied may propose another command, and that may call commit: each pass of the loop reads the log again.
		if e, ok := q.log.entry(q.log.committed); ok {
			q.effects.Applied(e.machine, e.tag, q.machines.Get(e.machine).Apply(e.command))
		}
	}
}

// countVotersPast counts the voters that have an entry beyond a version.
func (q *Quorum) countVotersPast(version uint64) (n int) {
	for _, name := range q.cfg.Voters {
		if acknowledged, known := q.log.acknowledged[peerOf(name)]; known && acknowledged > version {
			n++
		}
	}
	return n
}

// Propose has a command replicated; Applied reports it under the tag.
func (q *Quorum) Propose(now Time, machine byte, tag uint64, cmd []byte) error {
	q.now = max(q.now, now)
	if _, ok := q.Leading(); !ok {
		return group.ErrNotLeader
	}
	if q.log.full() || q.machines.Get(machine) == nil {
		return group.ErrBusy
	}
	q.log.acknowledged[q.self] = q.log.append(machine, tag, cmd)
	for _, name := range q.cfg.Voters {
		peer := peerOf(name)
		if version, known := q.log.acknowledged[peer]; known && peer != q.self {
			q.sendEntries(peer, version)
		}
	}
	q.commit()
	return nil
}

// Confirm needs no round of messages: while this voter's lease lasts no other leads.
func (q *Quorum) Confirm(now Time, tag uint64) error {
	q.now = max(q.now, now)
	if _, ok := q.Leading(); !ok {
		return group.ErrNotLeader
	}
	q.effects.Confirmed(tag)
	return nil
}

// TransferLeadership gives up the lead, and is no candidate for two leases.
func (q *Quorum) TransferLeadership(now Time) {
	q.now = max(q.now, now)
	q.candidate.yieldedUntil = q.now + 2*q.cfg.Lease
	epoch := q.leader.epoch
	q.becomeFollower()
	if epoch != 0 {
		q.broadcast(leaseYielded{epoch: epoch})
	}
}
