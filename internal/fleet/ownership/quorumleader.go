package ownership

import "croftlock/internal/fleet/group"

// leaderState is the state of this voter as the leader.
type leaderState struct {
	epoch    uint64 // the ballot with which this voter was elected; 0 if it does not lead
	ballot   uint64 // for renewals; raised above ballots that voters have promised to others since the election
	leaseEnd Time   // when this voter's leadership ends unless it is renewed
	renewAt  Time   // when to request the next renewal
}

// leads reports whether this voter was elected and has not become a follower since. Its lease may
// have ended; see Leading.
func (q *Quorum) leads() bool { return q.leader.epoch != 0 }

// becomeLeader starts an epoch with the state chosen in the election, and sends that state to all
// voters.
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

// becomeFollower ends the leadership, if any, and the election. It drops the entries that are not
// committed: as the leader, this voter has not applied those entries.
func (q *Quorum) becomeFollower() {
	q.log.position = q.appliedPosition()
	q.leader.epoch, q.candidate.ballot, q.log.entries = 0, 0, nil
}

// appliedPosition returns the log position up to which the machines have applied entries. A leader
// applies only committed entries, so that a job that it grants is not lost with it.
func (q *Quorum) appliedPosition() logPosition {
	if q.leads() {
		return logPosition{q.leader.epoch, q.log.committed}
	}
	return q.log.position
}

// stateIsReplicated reports whether a majority has the state with which the epoch began. Until then
// this voter must not act as the leader, since what it grants could be lost with it.
func (q *Quorum) stateIsReplicated() bool { return q.isMajority(len(q.log.acknowledged)) }

// sendState sends a voter the state of all machines, which holds the committed entries.
func (q *Quorum) sendState(to uint32) {
	epoch := q.leader.epoch
	q.send(to, stateTransfer{term: epoch, position: logPosition{epoch, q.log.committed}, snapshot: encodeState(q.machines)})
}

// sendEntries sends a voter the log entries whose version is above after, as many as fit in one message.
// resendEntries repeats those that are lost.
func (q *Quorum) sendEntries(to uint32, after uint64) {
	q.send(to, appendEntries{epoch: q.leader.epoch, entries: q.log.batchAfter(after)})
}

// resendEntries sends missing entries, or the complete state, to the voters that lag.
func (q *Quorum) resendEntries() {
	for _, name := range q.cfg.Voters {
		peer := peerOf(name)
		version, known := q.log.acknowledged[peer]
		switch {
		case peer == q.self || known && version >= q.log.position.version: // it has all entries
		case !known || !q.log.hasAllAfter(version):
			q.sendState(peer)
		default:
			q.sendEntries(peer, version)
		}
	}
}

// handleAppendAcknowledged records a follower's position in the log of this epoch, and commits the
// entries that a majority now has.
func (q *Quorum) handleAppendAcknowledged(from uint32, m appendAcknowledged) {
	if m.position.epoch == q.leader.epoch && q.leads() {
		q.log.acknowledged[from] = max(q.log.acknowledged[from], m.position.version)
		q.commit()
	}
}

// commit commits and applies, in order, the entries that a majority has.
func (q *Quorum) commit() {
	for len(q.log.entries) > 0 && q.log.committed < q.log.position.version {
		if !q.isMajority(q.countVotersPast(q.log.committed)) {
			return
		}
		q.log.committed++
		// Applied may propose another command, which calls commit again, so each iteration reads the log
		// anew.
		if e, ok := q.log.entry(q.log.committed); ok {
			q.effects.Applied(e.machine, e.tag, q.machines.Get(e.machine).Apply(e.command))
		}
	}
}

// countVotersPast returns the number of voters, including this one, that have the entry after version.
func (q *Quorum) countVotersPast(version uint64) (n int) {
	for _, name := range q.cfg.Voters {
		if acknowledged, known := q.log.acknowledged[peerOf(name)]; known && acknowledged > version {
			n++
		}
	}
	return n
}

// Propose replicates a command. group.Effects.Applied reports it once it is applied. Propose
// returns group.ErrNotLeader if this voter does not lead, and group.ErrBusy if too many entries are
// uncommitted or there is no machine with that number.
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

// Confirm calls group.Effects.Confirmed at once if this voter leads. It needs no round of messages:
// while this voter's lease lasts, no other voter leads.
func (q *Quorum) Confirm(now Time, tag uint64) error {
	q.now = max(q.now, now)
	if _, ok := q.Leading(); !ok {
		return group.ErrNotLeader
	}
	q.effects.Confirmed(tag)
	return nil
}

// TransferLeadership gives up the leadership, if this voter has it. It also keeps this voter from
// becoming a candidate for the length of two leases.
func (q *Quorum) TransferLeadership(now Time) {
	q.now = max(q.now, now)
	q.candidate.yieldedUntil = q.now + 2*q.cfg.Lease
	epoch := q.leader.epoch
	q.becomeFollower()
	if epoch != 0 {
		q.broadcast(leaseYielded{epoch: epoch})
	}
}
