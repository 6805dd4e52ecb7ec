package ownership

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

// voterNames holds the names of the voters, by number.
var voterNames = []string{"a", "b", "c"}

const (
	candidateCount = 2 // number of voters, counted from the first, that may become candidates
	receiverNumber = 3 // number of the receiver of effects (messages of the leader), after those of the voters
)

// packet is a message between voters, or an effect for the receiver.
type packet struct {
	from, to int    // numbers of voters; to may be receiverNumber
	data     []byte // the message; nil for an effect
	epoch    uint64 // in which the sender of the effect led; 0 for a message
}

// world is a state of the exploration: three voters, a receiver and the packets in flight.
type world struct {
	voters       [3]*Quorum
	inFlight     []packet
	fence        *Fence
	highestEpoch uint64 // highest epoch of an effect that the receiver has accepted; 0 if none
	violation    string // description of the last violation; empty if there is none

	// Number of times that each step may still happen.
	elections, renewals, restarts, clockSteps, skews, effects int
}

// worldEffects adds the messages that a voter sends to the packets in flight.
type worldEffects struct {
	world *world
	voter int
}

// Send adds a message to the packets in flight.
func (e worldEffects) Send(peer uint32, msg []byte) {
	for to, name := range voterNames {
		if group.Peer(name) == peer {
			e.world.inFlight = append(e.world.inFlight, packet{from: e.voter, to: to, data: slices.Clone(msg)})
		}
	}
}

func (worldEffects) Applied(byte, uint64, []byte) {}
func (worldEffects) Confirmed(uint64)             {}
func (worldEffects) LogEvent(string, ...any)      {}

// newVoter returns a new process of the voter with the number voter. The process starts at now on its own
// clock, with f injected.
func (w *world) newVoter(voter int, now Time, f FaultInjection) *Quorum {
	cfg := QuorumConfig{Group: "g", Name: voterNames[voter], Voters: voterNames, Lease: quorumLease, WallClockAtStart: now / (10 * ms), Faults: f}
	q, err := NewQuorum(cfg, map[byte]group.Machine{}, worldEffects{w, voter})
	if err != nil {
		panic(err)
	}
	q.startedAt, q.now = now, now
	return q
}

// clone returns a deep copy of a world, so that steps in one copy do not change another.
func (w *world) clone() *world {
	c := *w
	c.inFlight = slices.Clone(w.inFlight)
	c.fence = &Fence{last: maps.Clone(w.fence.last), Faults: w.fence.Faults}
	for i, q := range w.voters {
		n := *q
		n.effects = worldEffects{&c, i}
		n.candidate.promises = maps.Clone(q.candidate.promises)
		n.log.acknowledged = maps.Clone(q.log.acknowledged)
		n.rounds.requestedAt = maps.Clone(q.rounds.requestedAt)
		n.rounds.grants = map[uint64]map[uint32]bool{}
		for round, grants := range q.rounds.grants {
			n.rounds.grants[round] = maps.Clone(grants)
		}
		c.voters[i] = &n
	}
	return &c
}

// hasher collects the numbers that identify a world.
type hasher struct{ data []byte }

// append adds numbers that identify the world.
func (h *hasher) append(numbers ...uint64) {
	for _, n := range numbers {
		h.data = binary.AppendUvarint(h.data, n)
	}
}

// key returns a hash that is the same for worlds with the same possible successors.
func (w *world) key() uint64 {
	var h hasher
	for _, q := range w.voters {
		h.appendVoter(q)
	}
	sum := uint64(0) // a sum, since the order of packets in flight makes no difference
	for _, p := range w.inFlight {
		sum += xxhash.Sum64(append([]byte{byte(p.from), byte(p.to), byte(p.epoch), byte(p.epoch >> 8), byte(p.epoch >> 16), byte(p.epoch >> 24)}, p.data...))
	}
	h.append(sum, uint64(w.elections), uint64(w.renewals), uint64(w.restarts), uint64(w.clockSteps), uint64(w.skews), uint64(w.effects), w.highestEpoch)
	return xxhash.Sum64(h.data)
}

// appendVoter appends the parts of a voter's state that determine its behavior.
func (h *hasher) appendVoter(q *Quorum) {
	h.append(uint64(q.now), uint64(q.startedAt+1))
	h.append(q.voter.promised, uint64(q.voter.grantee), q.voter.epoch, uint64(q.voter.grantEnd))
	h.append(q.log.position.epoch, q.log.position.version, q.ballotCounter, q.candidate.ballot, uint64(q.candidate.stateSource), q.rounds.last)
	h.append(q.leader.epoch, q.leader.ballot, uint64(q.leader.leaseEnd), uint64(len(q.log.acknowledged)))
	for _, name := range voterNames {
		p, ok := q.candidate.promises[group.Peer(name)]
		if ok && p.promised {
			h.append(1) // promised
		} else if ok {
			h.append(2) // refused
		}
		h.append(p.position.epoch)
	}
	for round := range uint64(4) {
		grants := q.rounds.grants[round]
		h.append(uint64(q.rounds.requestedAt[round]), uint64(len(grants)))
		for _, name := range voterNames {
			if grants[group.Peer(name)] {
				h.append(round)
			}
		}
	}
}

// dropIgnored drops the packets that their receivers would ignore: they would only multiply the
// worlds.
func (w *world) dropIgnored() {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(p packet) bool {
		if p.to == receiverNumber || len(p.data) == 0 {
			return false
		}
		r := encoding.Reader{Data: p.data}
		kind, _, ballot := quorumMessageKind(r.Uint()), r.Text(maxNameBytes), r.Uint()
		q := w.voters[p.to]
		switch kind {
		case kindPrepareReply:
			return ballot != q.candidate.ballot || q.candidate.stateSource != 0
		case kindLeaseAccepted, kindLeaseRejected:
			return ballot != q.candidate.ballot && ballot != q.leader.epoch
		case kindAppendAcknowledged:
			return ballot != q.leader.epoch
		case kindStateTransfer, kindAppendEntries:
			return ballot != q.candidate.ballot && (p.from == p.to || ballot < q.voter.epoch)
		}
		return false
	})
}
