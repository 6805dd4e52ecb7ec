package ownership

import (
	"errors"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

// Receive takes another voter's message.
func (q *Quorum) Receive(now Time, from uint32, msg []byte) error {
	q.now = max(q.now, now)
	r := encoding.Reader{Data: msg}
	kind, of := r.Uint(), r.Text(maxNameBytes)
	voter := false
	for _, v := range q.cfg.Voters {
		voter = voter || group.Peer(v) == from
	}
	if r.Err() != nil || of != q.cfg.Group || !voter {
		return errors.New("ownership: a message of another group, or of no voter, or torn")
	}
	b := r.Uint()
	var w encoding.Writer
	switch kind {
	case quorumPrepare:
		if r.Err() != nil || q.abstains() || b <= q.promised {
			break
		}
		q.counter = max(q.counter, b>>voterBits)
		// While a lead that this voter granted lasts, nobody else is told that it is free.
		open := q.now >= q.until || q.holder == from
		if open {
			q.promised = b
		}
		have := q.here()
		q.send(from, w.Uint(quorumPromise).Text(q.cfg.Group).Uint(b).Bool(open).Uint(have.epoch).Uint(have.version).Data)
	case quorumPromise:
		p := promise{r.Bool(), at{r.Uint(), r.Uint()}}
		if r.Err() != nil || b != q.trying || q.fetchOf != 0 {
			break
		}
		q.promises[from] = p
		q.gather()
	case quorumPropose:
		epoch, round := r.Uint(), r.Uint()
		if r.Err() != nil || q.abstains() {
			break
		}
		q.counter = max(q.counter, b>>voterBits)
		// A voter has granted the lead to one at a time: what a majority has granted nobody else has.
		if b < q.promised || q.now < q.until && q.holder != from {
			q.send(from, w.Uint(quorumNo).Text(q.cfg.Group).Uint(epoch).Uint(q.promised).Data)
			break
		}
		q.promised, q.holder, q.epoch = b, from, epoch
		q.until = q.now + q.cfg.Lease
		q.send(from, w.Uint(quorumGranted).Text(q.cfg.Group).Uint(epoch).Uint(round).Uint(q.state.epoch).Uint(q.state.version).Data)
	case quorumNo:
		promised := r.Uint()
		if r.Err() != nil {
			break
		}
		q.counter = max(q.counter, promised>>voterBits)
		switch {
		case b == q.leads && b != 0 && promised > q.ballot:
			// Somebody tried while this voter did not hear: one that leads asks above that, or would lead without this voter.
			q.counter++
			q.ballot = q.counter<<voterBits | q.number()
		case b == q.trying && b != 0:
			q.trying = 0
			q.nextTry = q.now + q.some()
		}
	case quorumGranted:
		round, have := r.Uint(), at{r.Uint(), r.Uint()}
		if r.Err() != nil || b != q.trying && b != q.leads || q.grants[round] == nil {
			break
		}
		q.granted(from, b, round, have)
	case quorumFetch:
		if r.Err() == nil {
			have := q.here()
			q.send(from, w.Uint(quorumState).Text(q.cfg.Group).Uint(b).Uint(have.epoch).Uint(have.version).Bytes(q.snapshot()).Data)
		}
	case quorumState:
		have, data := at{r.Uint(), r.Uint()}, r.Bytes(1<<18)
		if r.Err() != nil {
			break
		}
		switch {
		case b == q.trying && q.fetchOf == from && b != 0:
			if q.restore(data) {
				q.state = have
				q.propose()
			}
		case q.follows(from, b) && have.epoch == b && q.state.before(have):
			if q.restore(data) {
				q.state = have
				q.have(from)
			}
		}
	case quorumCommand:
		if r.Err() != nil || !q.follows(from, b) || q.state.epoch != b {
			break
		}
		for n := r.Count(inFlight); n > 0; n-- {
			version, tag, machine, data := r.Uint(), r.Uint(), byte(r.Uint()), r.Bytes(1<<16)
			if r.Err() == nil && version == q.state.version+1 && q.machines[machine] != nil {
				q.fx.Applied(machine, tag, q.machines[machine].Apply(data))
				q.state.version = version
			}
		}
		q.have(from)
	case quorumHave:
		version := r.Uint()
		if r.Err() == nil && b == q.leads && b != 0 {
			q.acked[from] = max(q.acked[from], version)
			q.settle()
		}
	case quorumFree:
		if r.Err() == nil && from == q.holder && b == q.epoch {
			q.until = q.now
		}
	default:
		return errors.New("ownership: a message of no known kind")
	}
	return r.Err()
}

// follows tells whether this voter takes an epoch's commands from a process: only while what it granted lasts. One that it promised
// something since would begin without them.
func (q *Quorum) follows(from uint32, epoch uint64) bool {
	return from != q.me && from == q.holder && epoch == q.epoch && q.now < q.until
}

func (q *Quorum) have(to uint32) {
	var w encoding.Writer
	q.send(to, w.Uint(quorumHave).Text(q.cfg.Group).Uint(q.state.epoch).Uint(q.state.version).Data)
}

// gather sees whether a majority has promised. The state that goes furthest among theirs is the one to go on from.
func (q *Quorum) gather() {
	open, knowing, best, whose := 0, 0, q.state, uint32(0)
	for _, v := range q.cfg.Voters {
		p, ok := q.promises[group.Peer(v)]
		if !ok || !p.open {
			continue
		}
		open++
		if p.state != (at{}) {
			knowing++
		}
		if best.before(p.state) {
			best, whose = p.state, group.Peer(v)
		}
	}
	// Of what was agreed on a majority knew. Those that have lost their memory since know nothing, and are no part of one that would
	// surely hold somebody who knows; only where there is no such majority it has to do without, and what it begins with may lack something.
	q.sure = q.majority(knowing)
	alone := q.now - max(q.until, q.started+q.cfg.Lease)
	if !q.majority(open) || !q.sure && open < len(q.cfg.Voters) && (alone < 3*q.cfg.Lease || q.now-q.tryAt < q.cfg.Lease/4) {
		return
	}
	if whose == 0 || whose == q.me {
		q.fetchOf = q.me
		q.propose()
		return
	}
	q.fetchOf = whose
	var w encoding.Writer
	q.send(whose, w.Uint(quorumFetch).Text(q.cfg.Group).Uint(q.trying).Data)
}

func (q *Quorum) granted(from uint32, b, round uint64, have at) {
	q.grants[round][from] = true
	if q.leads == b {
		if have.epoch == b {
			q.acked[from] = max(q.acked[from], have.version)
		} else if from != q.me {
			q.push(from)
		}
	}
	if !q.majority(len(q.grants[round])) {
		return
	}
	began := q.askedAt[round]
	if q.cfg.FromAnswer {
		began = q.now
	}
	until := began + q.cfg.Lease - q.cfg.Lease/clockDriftDivisor
	if until <= q.now {
		return
	}
	if q.leads == 0 && b == q.trying {
		q.leads, q.ballot, q.trying = b, b, 0
		q.state = at{b, 0}
		q.lease, q.done, q.log, q.acked = until, 0, nil, map[uint32]uint64{q.me: 0}
		q.fx.LogEvent("quorum_leader_elected", "epoch", b, "sure", q.sure)
		for _, k := range q.kinds {
			if m, may := q.machines[k].(uncertainMachine); may && !q.sure {
				m.MarkUncertain()
			}
		}
		for _, v := range q.cfg.Voters {
			if p := group.Peer(v); p != q.me {
				q.push(p)
			}
		}
	}
	if q.leads == b {
		q.lease = max(q.lease, until)
	}
}

// uncertainMachine is a machine that has to know where its state may lack what was agreed on.
type uncertainMachine interface{ MarkUncertain() }
