package ownership

// Times relative to the length of a Quorum's lease. A divisor divides this length. An election asks
// the voters to promise a ballot, and then proposes the lease to them in a round.
const (
	// electionTimeoutDivisor yields the time after which a candidate abandons its election, so that
	// others can be elected.
	electionTimeoutDivisor = 2
	// candidacyDelayDivisor and candidacySpreadDivisor yield the fixed part and the maximum random part
	// of the delay before an election.
	candidacyDelayDivisor  = 16
	candidacySpreadDivisor = 4
	// renewalsPerLease is the number of renewals per lease. Several in a row may be lost before the
	// lease ends.
	renewalsPerLease = 5
	// incompleteAfterLeases is the time without a leader, in leases, after which an epoch may begin
	// without the voters that do not reply. They may be the only ones that have some committed commands.
	incompleteAfterLeases = 3
	// promisesDivisor yields the time for which an election collects promises before an epoch may begin
	// with an incomplete state.
	promisesDivisor = 4
)

// candidateState holds this voter's present election and the times before which no other may begin.
type candidateState struct {
	ballot         uint64                  // of the present election; 0 if there is none
	startedAt      Time                    // of the present election
	promises       map[uint32]prepareReply // replies to the prepareRequest, by the voter's peer
	stateSource    uint32                  // peer of the voter whose state the epoch begins with; 0 until it is chosen
	stateComplete  bool                    // whether the chosen state contains everything that was committed
	nextElectionAt Time                    // this voter begins no election before this time
	yieldedUntil   Time                    // this voter begins no election before this time, because it gave up the leadership
}

// leaseRounds holds the rounds in which this voter has proposed its lease. A lease counts from the
// request of the round that a majority accepted.
type leaseRounds struct {
	last        uint64                     // number of the last round
	requestedAt map[uint64]Time            // when the lease was proposed, by round
	grants      map[uint64]map[uint32]bool // peers of the voters that accepted, by round
}

// maxPendingRounds is the number of rounds before the last one that may still be accepted.
const maxPendingRounds = 8

// begin starts a round and returns its number.
func (r *leaseRounds) begin(now Time) uint64 {
	r.last++
	r.requestedAt[r.last], r.grants[r.last] = now, map[uint32]bool{}
	for round := range r.requestedAt {
		if round+maxPendingRounds < r.last {
			delete(r.requestedAt, round)
			delete(r.grants, round)
		}
	}
	return r.last
}

// tickCandidate abandons this voter's election after its timeout and otherwise continues it. If there
// is none, it begins one once the lease that this voter granted and its delays have ended.
func (q *Quorum) tickCandidate() {
	c := &q.candidate
	switch {
	case c.ballot != 0 && q.now-c.startedAt > q.cfg.Lease/electionTimeoutDivisor:
		q.abandonElection()
	case c.ballot != 0 && c.stateSource == 0:
		q.chooseState()
	case c.ballot == 0 && q.now >= q.voter.grantEnd && q.now >= c.nextElectionAt && q.now >= c.yieldedUntil:
		q.becomeCandidate()
	}
}

// delayCandidacy delays the next election by a random time, so that two candidates do not keep each
// other from being elected.
func (q *Quorum) delayCandidacy() {
	q.candidate.nextElectionAt = q.now + q.cfg.Lease/candidacyDelayDivisor + Time(q.rng.Int64N(int64(q.cfg.Lease/candidacySpreadDivisor)))
}

// becomeCandidate begins an election: it asks all voters to promise a new ballot.
func (q *Quorum) becomeCandidate() {
	c := &q.candidate
	c.ballot, c.startedAt = q.nextBallot(), q.now
	c.promises, c.stateSource = map[uint32]prepareReply{}, 0
	q.broadcast(prepareRequest{ballot: c.ballot})
}

// abandonElection ends this voter's election and delays its next one.
func (q *Quorum) abandonElection() {
	q.candidate.ballot = 0
	q.delayCandidacy()
}

// handlePrepareReply records a reply to the present election. It ignores replies once the state is
// chosen.
func (q *Quorum) handlePrepareReply(from uint32, m prepareReply) {
	c := &q.candidate
	if m.ballot == 0 || m.ballot != c.ballot || c.stateSource != 0 {
		return
	}
	c.promises[from] = m
	q.chooseState()
}

// chooseState continues the election once a majority has promised. The epoch begins with the latest
// state among theirs and this voter's own. This voter requests that state if another voter has it.
func (q *Quorum) chooseState() {
	promised, withState := 0, 0
	latest, latestVoter := q.log.position, uint32(0)
	for _, name := range q.cfg.Voters {
		p, ok := q.candidate.promises[peerOf(name)]
		if !ok || !p.promised {
			continue
		}
		promised++
		if p.position != (logPosition{}) {
			withState++
		}
		if latest.before(p.position) {
			latest, latestVoter = p.position, peerOf(name)
		}
	}
	q.candidate.stateComplete = q.isMajority(withState)
	if !q.isMajority(promised) || !q.candidate.stateComplete && !q.mayBeginIncomplete(promised) {
		return
	}
	if latestVoter == 0 || latestVoter == q.self {
		q.candidate.stateSource = q.self
		q.requestLease()
		return
	}
	q.candidate.stateSource = latestVoter
	q.send(latestVoter, stateRequest{ballot: q.candidate.ballot})
}

// mayBeginIncomplete reports whether an epoch may begin although no majority of voters with state has
// promised. promised is the number of all voters that have promised. A majority had everything that was
// committed, but voters that have lost their memory since do not count. So the candidate waits until
// all voters have promised, or for the time that incompleteAfterLeases and promisesDivisor set. The
// epoch may lack committed commands, so becomeLeader marks the machines (Table.MarkUncertain).
func (q *Quorum) mayBeginIncomplete(promised int) bool {
	if promised >= len(q.cfg.Voters) {
		return true
	}
	withoutLeader := q.now - max(q.voter.grantEnd, q.startedAt+q.cfg.Lease)
	return withoutLeader >= incompleteAfterLeases*q.cfg.Lease && q.now-q.candidate.startedAt >= q.cfg.Lease/promisesDivisor
}

// requestLease proposes the leader's lease, or its renewal, to all voters.
func (q *Quorum) requestLease() {
	round := q.rounds.begin(q.now)
	ballot, epoch := q.candidate.ballot, q.candidate.ballot
	if q.leads() {
		ballot, epoch = q.leader.ballot, q.leader.epoch
	}
	q.leader.renewAt = q.now + q.cfg.Lease/renewalsPerLease
	q.broadcast(leaseProposal{ballot: ballot, epoch: epoch, round: round})
}

// handleLeaseRejected raises the leader's ballot above the one that the rejecting voter has promised,
// or abandons the election.
func (q *Quorum) handleLeaseRejected(m leaseRejected) {
	q.observeBallot(m.promised)
	switch {
	case m.epoch == 0: // ignore it: in q.leader.epoch and q.candidate.ballot, 0 stands for none
	case m.epoch == q.leader.epoch && m.promised > q.leader.ballot:
		// Another voter was a candidate while this one was cut off from the rejecting voter. A higher
		// ballot makes the rejecting voter accept renewals again.
		q.leader.ballot = q.nextBallot()
	case m.epoch == q.candidate.ballot:
		q.abandonElection()
	}
}

// handleLeaseAccepted counts the voters that have accepted the lease of a round. A majority elects
// this voter or extends its lease. handleLeaseAccepted ignores replies to other epochs and to
// rounds no longer recorded.
func (q *Quorum) handleLeaseAccepted(from uint32, m leaseAccepted) {
	isRenewal := m.epoch == q.leader.epoch
	if m.epoch == 0 || m.epoch != q.candidate.ballot && !isRenewal || q.rounds.grants[m.round] == nil {
		return
	}
	q.rounds.grants[m.round][from] = true
	if isRenewal {
		q.trackFollower(from, m)
	}
	if !q.isMajority(len(q.rounds.grants[m.round])) {
		return
	}
	leaseEnd := q.leaseEnd(m.round)
	if leaseEnd <= q.now {
		return
	}
	if !q.leads() && m.epoch == q.candidate.ballot {
		q.becomeLeader(leaseEnd)
	}
	if q.leader.epoch == m.epoch {
		q.leader.leaseEnd = max(q.leader.leaseEnd, leaseEnd)
	}
}

// leaseEnd returns when the lease of a round ends at this voter, its holder. Lease: it counts from the
// request and is shortened by the clock drift, so it ends at the holder before it ends at any grantor.
func (q *Quorum) leaseEnd(round uint64) Time {
	requestedAt := q.rounds.requestedAt[round]
	if q.cfg.Faults.StartLeaseAtReply {
		requestedAt = q.now
	}
	return requestedAt + leaseAtHolder(q.cfg.Lease)
}

// trackFollower records the log position of a voter that has the state of this epoch, and sends the
// state to a voter that lacks it.
func (q *Quorum) trackFollower(from uint32, m leaseAccepted) {
	if m.position.epoch == m.epoch {
		q.log.acknowledged[from] = max(q.log.acknowledged[from], m.position.version)
	} else if from != q.self {
		q.sendState(from)
	}
}
