package ownership

import (
	"fmt"
	"math/rand/v2"

	"croftlock/internal/fleet/group"
)

// Quorum is a Group of voters without disks, after PaxosLease: a fixed set of voters grants a candidate the lead for a time, and keeps what it
// granted in memory. A voter that has just started does not know what it granted before; it abstains until every lease that it could have
// granted has ended.
//
// It guarantees:
//   - No two lead at a time, as long as clocks drift apart by no more than clockDriftDivisor allows.
//   - Epochs, and fencing tokens with them, rise while one voter of each majority remembers.
//   - What was committed survives as long as no majority loses its memory at a time.
//
// After a start of all voters at once epochs still rise, unless a clock was set back by more than the fleet had been up. Then receivers' fences
// reject the effects of a job until its token is raised above what they remember.
type Quorum struct {
	cfg       QuorumConfig
	effects   group.Effects
	machines  group.Machines
	rng       *rand.Rand
	self      uint32 // peer
	now       Time
	startedAt Time // -1: before the first Tick

	ballotCounter uint64 // highest seen
	voter         voterState
	candidate     candidateState
	rounds        leaseRounds
	leader        leaderState
	log           replicatedLog
}

// QuorumConfig describes a voter.
type QuorumConfig struct {
	Group            string // messages of others are rejected
	Name             string // of this voter
	Voters           []string
	Lease            Time // of the lead; default 1.5 s; the same everywhere
	Seed             uint64
	WallClockAtStart int64 // wall clock at the start, hundredths of a second; the first epoch is above it
	Faults           FaultInjection
}

const (
	defaultQuorumLease = 1500 * ms
	maxVoters          = 15
	// ballotVoterBits at the end of a ballot hold the number of its voter: two voters never use one ballot.
	ballotVoterBits = 4
)

// NewQuorum makes a voter. machines are what it replicates, by number.
func NewQuorum(cfg QuorumConfig, machines map[byte]group.Machine, effects group.Effects) (*Quorum, error) {
	if cfg.Lease <= 0 {
		cfg.Lease = defaultQuorumLease
	}
	if len(cfg.Voters) == 0 || len(cfg.Voters) > maxVoters || cfg.WallClockAtStart < 0 {
		return nil, fmt.Errorf("%w: %d voters, expected 1 to %d; clock %d, expected 0 or more", ErrInvalidConfig, len(cfg.Voters), maxVoters, cfg.WallClockAtStart)
	}
	return &Quorum{
		cfg:           cfg,
		effects:       effects,
		machines:      group.NewMachines(machines),
		rng:           rand.New(rand.NewPCG(cfg.Seed, 5)),
		self:          peerOf(cfg.Name),
		startedAt:     -1,
		ballotCounter: uint64(cfg.WallClockAtStart),
		rounds:        leaseRounds{requestedAt: map[uint64]Time{}, grants: map[uint64]map[uint32]bool{}},
	}, nil
}

// voterNumber is this voter's place among the voters.
func (q *Quorum) voterNumber() uint64 {
	for i, name := range q.cfg.Voters {
		if name == q.cfg.Name {
			return uint64(i)
		}
	}
	return uint64(len(q.cfg.Voters))
}

func (q *Quorum) isMajority(n int) bool { return 2*n > len(q.cfg.Voters) }

func (q *Quorum) isVoter(peer uint32) bool {
	for _, name := range q.cfg.Voters {
		if peerOf(name) == peer {
			return true
		}
	}
	return false
}

// nextBallot is above all ballots seen, and no other voter's.
func (q *Quorum) nextBallot() uint64 {
	q.ballotCounter++
	return q.ballotCounter<<ballotVoterBits | q.voterNumber()
}

// observeBallot keeps the next own ballot above all ballots seen.
func (q *Quorum) observeBallot(ballot uint64) {
	q.ballotCounter = max(q.ballotCounter, ballot>>ballotVoterBits)
}

func (q *Quorum) send(peer uint32, m quorumMessage) { q.sendEncoded(peer, m.encode(q.cfg.Group)) }

func (q *Quorum) sendEncoded(peer uint32, data []byte) {
	if peer == q.self {
		q.Receive(q.now, peer, data)
		return
	}
	q.effects.Send(peer, data)
}

func (q *Quorum) broadcast(m quorumMessage) {
	data := m.encode(q.cfg.Group)
	for _, name := range q.cfg.Voters {
		q.sendEncoded(peerOf(name), data)
	}
}

// Tick is to be called every 50 to 100 ms.
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

// Receive takes another voter's message. What can't be decoded changes nothing.
func (q *Quorum) Receive(now Time, from uint32, data []byte) error {
	q.now = max(q.now, now)
	groupName, m, err := decodeQuorumMessage(data)
	if err != nil {
		return err
	}
	if groupName != q.cfg.Group || !q.isVoter(from) {
		return fmt.Errorf("%w: group %q, peer %08x", ErrNotVoter, groupName, from)
	}
	q.step(from, m)
	return nil
}

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

// Leading reports whether this process leads, and in which epoch. Lease: not after its end, also before Tick has noticed that.
func (q *Quorum) Leading() (epoch uint64, ok bool) {
	return q.leader.epoch, q.leads() && q.now < q.leader.leaseEnd && q.stateIsReplicated()
}

// Leader is the peer that this voter takes for the leader, by the lease that it granted; 0: none.
func (q *Quorum) Leader() uint32 {
	if q.leads() {
		return q.self
	}
	if q.now < q.voter.grantEnd {
		return q.voter.grantee
	}
	return 0
}

// LeaseEnd is when the lead ends, unless it is renewed.
func (q *Quorum) LeaseEnd() Time { return q.leader.leaseEnd }
