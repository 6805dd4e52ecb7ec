package ownership

// Parts of a Quorum's lease, and multiples of it.
const (
	// electionTimeoutDivisor: an election that takes longer than this part has failed, and makes way for others.
	electionTimeoutDivisor = 2
	// candidacyDelayDivisor and candidacySpreadDivisor are the fixed and the random part of the delay before an election.
	candidacyDelayDivisor  = 16
	candidacySpreadDivisor = 4
	// renewalsPerLease allows several lost rounds before the lease ends.
	renewalsPerLease = 5
	// incompleteAfterLeases is how long voters that are not heard are waited for, as only they may have what was committed.
	incompleteAfterLeases = 3
	// promisesDivisor is the part for which an election collects promises before it may begin with incomplete state.
	promisesDivisor = 4
)

// candidateState is an election under way here, and when the next one may begin.
type candidateState struct {
	ballot         uint64 // 0: no election
	startedAt      Time
	promises       map[uint32]prepareReply // by voter
	stateSource    uint32                  // voter whose state the epoch begins with; 0: not chosen yet
	stateComplete  bool                    // that state surely holds all that was committed
	nextElectionAt Time                    // no election here before
	yieldedUntil   Time                    // no election here before, since this voter gave up the lead
}

// leaseRounds are the rounds in which this voter has proposed its lease. A lease counts from the request of the round that a majority accepted.
type leaseRounds struct {
	last        uint64
	requestedAt map[uint64]Time
	grants      map[uint64]map[uint32]bool // voters that accepted, by round
}

// maxPendingRounds is how many earlier rounds may still be answered.
const maxPendingRounds = 8

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

// tickCandidate continues the election under way here, or begins one once no lease lasts.
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

// delayCandidacy draws a random delay, so that two candidates do not keep each other from being elected.
func (q *Quorum) delayCandidacy() {
	q.candidate.nextElectionAt = q.now + q.cfg.Lease/candidacyDelayDivisor + Time(q.rng.Int64N(int64(q.cfg.Lease/candidacySpreadDivisor)))
}

func (q *Quorum) becomeCandidate() {
	c := &q.candidate
	c.ballot, c.startedAt = q.nextBallot(), q.now
	c.promises, c.stateSource = map[uint32]prepareReply{}, 0
	q.broadcast(prepareRequest{ballot: c.ballot})
}

func (q *Quorum) abandonElection() {
	q.candidate.ballot = 0
	q.delayCandidacy()
}

func (q *Quorum) handlePrepareReply(from uint32, m prepareReply) {
	c := &q.candidate
	if m.ballot == 0 || m.ballot != c.ballot || c.stateSource != 0 {
		return
	}
	c.promises[from] = m
	q.chooseState()
}

// chooseState continues the election once a majority has promised: the epoch begins with the latest state of theirs, which this voter requests
// if it is another's.
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

// mayBeginIncomplete decides where no majority has promised that still has state. A majority stored all that was committed, but voters that have
// lost their memory since do not count as part of it. So the others are waited for; only after that does an epoch begin that may lack committed
// commands, and its machines are marked (Table.MarkUncertain).
func (q *Quorum) mayBeginIncomplete(promised int) bool {
	if promised >= len(q.cfg.Voters) {
		return true
	}
	withoutLeader := q.now - max(q.voter.grantEnd, q.startedAt+q.cfg.Lease)
	return withoutLeader >= incompleteAfterLeases*q.cfg.Lease && q.now-q.candidate.startedAt >= q.cfg.Lease/promisesDivisor
}

// requestLease requests the leader's lease, or its renewal.
func (q *Quorum) requestLease() {
	round := q.rounds.begin(q.now)
	ballot, epoch := q.candidate.ballot, q.candidate.ballot
	if q.leads() {
		ballot, epoch = q.leader.ballot, q.leader.epoch
	}
	q.leader.renewAt = q.now + q.cfg.Lease/renewalsPerLease
	q.broadcast(leaseProposal{ballot: ballot, epoch: epoch, round: round})
}

func (q *Quorum) handleLeaseRejected(m leaseRejected) {
	q.observeBallot(m.promised)
	switch {
	case m.epoch == 0:
	case m.epoch == q.leader.epoch && m.promised > q.leader.ballot:
		// Another voter was a candidate while this one was cut off from the rejecting voter. A higher ballot wins its grant back.
		q.leader.ballot = q.nextBallot()
	case m.epoch == q.candidate.ballot:
		q.abandonElection()
	}
}

// handleLeaseAccepted counts the voters that have accepted a round. A majority elects this voter, or extends its lease.
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

// leaseEnd is when the lease of a round ends here. Counted from the request, and shorter by the drift of clocks: before it ends at any voter.
func (q *Quorum) leaseEnd(round uint64) Time {
	requestedAt := q.rounds.requestedAt[round]
	if q.cfg.Faults.StartLeaseAtReply {
		requestedAt = q.now
	}
	return requestedAt + leaseAtHolder(q.cfg.Lease)
}

// trackFollower records how far a voter's state is, or sends it the state of this epoch.
func (q *Quorum) trackFollower(from uint32, m leaseAccepted) {
	if m.position.epoch == m.epoch {
		q.log.acknowledged[from] = max(q.log.acknowledged[from], m.position.version)
	} else if from != q.self {
		q.sendState(from)
	}
}
