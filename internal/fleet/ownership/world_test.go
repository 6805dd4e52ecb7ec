package ownership

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

type envelope struct {
	from, to int // to 3: the receiver
	data     []byte
	epoch    uint64
}

type world struct {
	voters [3]*Quorum
	flight []envelope
	// What may happen still.
	tries, renewals, starts, steps, skews, acts int
	seen                                        uint64 // the receiver's highest token
	fence                                       *Fence
	bad                                         string
}

type wire struct {
	w  *world
	me int
}

func (x wire) Send(peer uint32, msg []byte) {
	for i := range 3 {
		if group.Peer(names[i]) == peer {
			x.w.flight = append(x.w.flight, envelope{from: x.me, to: i, data: slices.Clone(msg)})
		}
	}
}

var names = []string{"a", "b", "c"}

type planted struct{ eager, fromAnswer, forget bool }

func (w *world) voter(i int, now Time, p planted) *Quorum {
	q, err := NewQuorum(QuorumConfig{Group: "g", Name: names[i], Voters: names, Lease: quorumLease, Clock: now / (10 * ms), Eager: p.eager, FromAnswer: p.fromAnswer},
		map[byte]group.Machine{}, wire{w, i})
	if err != nil {
		panic(err)
	}
	q.startedAt, q.now = now, now
	return q
}

// clone copies a world: what one order does must not touch another.
func (w *world) clone() *world {
	c := *w
	c.flight = slices.Clone(w.flight)
	c.fence = &Fence{last: maps.Clone(w.fence.last), Forget: w.fence.Forget}
	for i, q := range w.voters {
		n := *q
		n.effects = wire{&c, i}
		n.candidate.promises, n.rounds.requestedAt, n.log.acknowledged = maps.Clone(q.candidate.promises), maps.Clone(q.rounds.requestedAt), maps.Clone(q.log.acknowledged)
		n.rounds.grants = map[uint64]map[uint32]bool{}
		for k, v := range q.rounds.grants {
			n.rounds.grants[k] = maps.Clone(v)
		}
		c.voters[i] = &n
	}
	return &c
}

// key is what a world is, for whatever can follow from it.
func (w *world) key() uint64 {
	var b []byte
	put := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	for _, q := range w.voters {
		put(uint64(q.now), uint64(q.startedAt+1), q.voter.promised, uint64(q.voter.grantee), q.voter.epoch, uint64(q.voter.grantEnd), q.log.position.epoch, q.log.position.version, q.ballotCounter, q.candidate.ballot,
			uint64(q.candidate.stateFrom), q.rounds.last, q.leader.epoch, q.leader.ballot, uint64(q.leader.leaseEnd), uint64(len(q.log.acknowledged)))
		for _, n := range names {
			p, ok := q.candidate.promises[group.Peer(n)]
			if ok && p.promised {
				put(1)
			} else if ok {
				put(2)
			}
			put(p.position.epoch)
		}
		for r := range 4 {
			put(uint64(q.rounds.requestedAt[uint64(r)]), uint64(len(q.rounds.grants[uint64(r)])))
			for _, n := range names {
				if q.rounds.grants[uint64(r)][group.Peer(n)] {
					put(uint64(r))
				}
			}
		}
	}
	mail := uint64(0) // in any order
	for _, e := range w.flight {
		mail += xxhash.Sum64(append([]byte{byte(e.from), byte(e.to), byte(e.epoch), byte(e.epoch >> 8), byte(e.epoch >> 16), byte(e.epoch >> 24)}, e.data...))
	}
	put(mail, uint64(w.tries), uint64(w.renewals), uint64(w.starts), uint64(w.steps), uint64(w.skews), uint64(w.acts), w.seen)
	return xxhash.Sum64(b)
}

// trim drops what can't matter any more: answers to what is not asked.
func (w *world) trim() {
	w.flight = slices.DeleteFunc(w.flight, func(e envelope) bool {
		if e.to == 3 || len(e.data) == 0 {
			return false
		}
		r := encoding.Reader{Data: e.data}
		kind, _, b := r.Uint(), r.Text(maxNameBytes), r.Uint()
		q := w.voters[e.to]
		switch kind {
		case kindPrepareReply:
			return b != q.candidate.ballot || q.candidate.stateFrom != 0
		case kindLeaseAccepted, kindLeaseRejected:
			return b != q.candidate.ballot && b != q.leader.epoch
		case kindAppendAcknowledged:
			return b != q.leader.epoch
		case kindStateTransfer, kindAppendEntries:
			return b != q.candidate.ballot && (e.from == e.to || b < q.voter.epoch)
		}
		return false
	})
}
