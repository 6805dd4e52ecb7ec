package ownership

import (
	"fmt"
	"math/rand/v2"

	"croftlock/internal/fleet/group"
)

// Quorum is one voter of a Group without disks. It is based on PaxosLease: a fixed set of voters
// grants a candidate the leadership for the length of a lease, and keeps its grants in memory. A
// voter that has just started does not know what it granted before, so it abstains until every
// lease that it could have granted has ended.
//
// It guarantees:
//   - No two voters lead at the same time, as long as clocks drift apart by no more than
//     clockDriftDivisor allows.
//   - Epochs, the ballots with which leaders were elected, and fencing tokens with them, rise as
//     long as one voter of each majority keeps its memory.
//   - Committed commands survive as long as no majority loses its memory at the same time.
//
// If all voters start at once, epochs still rise, unless a clock was set back by more than the time
// that the fleet had been up. In that case receivers' fences reject the effects of a job (the
// messages from its owner) until its token is raised above the one that they remember.
type Quorum struct {
	cfg       QuorumConfig
	effects   group.Effects
	machines  group.Machines
	rng       *rand.Rand
	self      uint32 // peer number of this voter
	now       Time   // latest time that the caller has passed in
	startedAt Time   // time of the first Tick; -1 before it

	ballotCounter uint64 // highest ballot seen, shifted right by ballotVoterBits
	voter         voterState
	candidate     candidateState
	rounds        leaseRounds
	leader        leaderState
	log           replicatedLog
}

// QuorumConfig configures a Quorum.
type QuorumConfig struct {
	Group            string         // name of the group; messages of other groups are rejected
	Name             string         // member name of this voter
	Voters           []string       // member names, at most maxVoters, in the same order at all voters
	Lease            Time           // length of the leader's lease; zero or less means 1.5 s; must be the same at all voters
	Seed             uint64         // seed of the random delays before elections
	WallClockAtStart int64          // wall clock in hundredths of a second, not negative; ballots and epochs start above it
	Faults           FaultInjection // set only by simulations and experiments
}

const (
	defaultQuorumLease = 1500 * ms
	maxVoters          = 15 // the results of voterNumber, 0 to 15, fit in ballotVoterBits
	// ballotVoterBits is the number of low bits of a ballot that hold its voter's number, so that no two
	// voters use the same ballot.
	ballotVoterBits = 4
)

// NewQuorum returns a voter that replicates machines, which are keyed by their numbers.
func NewQuorum(cfg QuorumConfig, machines map[byte]group.Machine, effects group.Effects) (*Quorum, error) {
	if cfg.Lease <= 0 {
		cfg.Lease = defaultQuorumLease
	}
	if len(cfg.Voters) == 0 || len(cfg.Voters) > maxVoters || cfg.WallClockAtStart < 0 {
		return nil, fmt.Errorf("%w: %d voters, expected 1 to %d; wall clock at start %d (hundredths of a second), expected 0 or more", ErrInvalidConfig, len(cfg.Voters), maxVoters, cfg.WallClockAtStart)
	}
	return &Quorum{
		cfg:           cfg,
		effects:       effects,
		machines:      group.NewMachines(machines),
		rng:           rand.New(rand.NewPCG(cfg.Seed, 5)), // the second seed is arbitrary but fixed
		self:          peerOf(cfg.Name),
		startedAt:     -1,
		ballotCounter: uint64(cfg.WallClockAtStart),
		rounds:        leaseRounds{requestedAt: map[uint64]Time{}, grants: map[uint64]map[uint32]bool{}},
	}, nil
}

// voterNumber returns this voter's index in the list of voters, or the length of the list if it is
// not in it.
func (q *Quorum) voterNumber() uint64 {
	for i, name := range q.cfg.Voters {
		if name == q.cfg.Name {
			return uint64(i)
		}
	}
	return uint64(len(q.cfg.Voters))
}

// isMajority reports whether n voters are a majority.
func (q *Quorum) isMajority(n int) bool { return 2*n > len(q.cfg.Voters) }

// isVoter reports whether peer is the peer number of a voter.
func (q *Quorum) isVoter(peer uint32) bool {
	for _, name := range q.cfg.Voters {
		if peerOf(name) == peer {
			return true
		}
	}
	return false
}

// nextBallot returns a ballot of this voter above all ballots seen.
func (q *Quorum) nextBallot() uint64 {
	q.ballotCounter++
	return q.ballotCounter<<ballotVoterBits | q.voterNumber()
}

// observeBallot records a ballot, so that the next own ballot is above it.
func (q *Quorum) observeBallot(ballot uint64) {
	q.ballotCounter = max(q.ballotCounter, ballot>>ballotVoterBits)
}

func (q *Quorum) send(peer uint32, m quorumMessage) { q.sendEncoded(peer, m.encode(q.cfg.Group)) }

// sendEncoded sends an encoded message. A message to this voter itself is handled before it returns.
func (q *Quorum) sendEncoded(peer uint32, data []byte) {
	if peer == q.self {
		q.Receive(q.now, peer, data)
		return
	}
	q.effects.Send(peer, data)
}

// broadcast sends a message to all voters, including this one.
func (q *Quorum) broadcast(m quorumMessage) {
	data := m.encode(q.cfg.Group)
	for _, name := range q.cfg.Voters {
		q.sendEncoded(peerOf(name), data)
	}
}

// Tick must be called every 50 to 100 ms. It ends the leadership if its lease has ended, renews the
// lease of a leader, and otherwise begins or continues an election.
func (q *Quorum) Tick(now Time) {
	q.now = max(q.now, now)
	if q.startedAt < 0 {
		q.startedAt = q.now
		q.delayCandidacy()
	}
	if q.leads() && q.now >= q.leader.leaseEnd {
		q.effects.LogEvent("quorum_leader_lost", "epoch", q.leader.epoch)
		q.becomeFollower()
		q.delayCandidacy()
	}
	if q.leads() {
		if q.now >= q.leader.renewAt {
			q.requestLease()
			q.resendEntries()
		}
		return
	}
	if !q.abstains() {
		q.tickCandidate()
	}
}

// Receive handles a message from another voter. A message that can't be decoded, or that is from
// another group or not from a voter, changes nothing. The error then wraps ErrMalformedMessage,
// ErrUnknownMessage or ErrNotVoter.
func (q *Quorum) Receive(now Time, from uint32, data []byte) error {
	q.now = max(q.now, now)
	groupName, m, err := decodeQuorumMessage(data)
	if err != nil {
		return err
	}
	if groupName != q.cfg.Group || !q.isVoter(from) {
		return fmt.Errorf("%w: group %q, expected %q; peer %08x", ErrNotVoter, groupName, q.cfg.Group, from)
	}
	q.step(from, m)
	return nil
}

// step passes a message to its handler.
func (q *Quorum) step(from uint32, m quorumMessage) {
	switch m := m.(type) {
	case prepareRequest:
		q.handlePrepare(from, m)
	case prepareReply:
		q.handlePrepareReply(from, m)
	case leaseProposal:
		q.handleLeaseProposal(from, m)
	case leaseAccepted:
		q.handleLeaseAccepted(from, m)
	case leaseRejected:
		q.handleLeaseRejected(m)
	case leaseYielded:
		q.handleLeaseYielded(from, m)
	case stateRequest:
		q.handleStateRequest(from, m)
	case stateTransfer:
		q.handleStateTransfer(from, m)
	case appendEntries:
		q.handleAppendEntries(from, m)
	case appendAcknowledged:
		q.handleAppendAcknowledged(from, m)
	}
}

// Leading reports whether this voter leads, and in which epoch. Lease: it returns false as soon as
// the lease has ended, even before Tick ends the leadership.
func (q *Quorum) Leading() (epoch uint64, ok bool) {
	return q.leader.epoch, q.leads() && q.now < q.leader.leaseEnd && q.stateIsReplicated()
}

// Leader returns the peer that this voter believes to be the leader: itself, or the holder of the
// lease that it granted last. It returns 0 if there is none.
func (q *Quorum) Leader() uint32 {
	if q.leads() {
		return q.self
	}
	if q.now < q.voter.grantEnd {
		return q.voter.grantee
	}
	return 0
}

// LeaseEnd returns the time at which this voter's leadership ends unless its lease is renewed.
func (q *Quorum) LeaseEnd() Time { return q.leader.leaseEnd }
