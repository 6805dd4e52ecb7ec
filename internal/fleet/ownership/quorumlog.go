package ownership

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

// push sends a voter the whole state.
func (q *Quorum) push(to uint32) {
	var w encoding.Writer
	q.send(to, w.Uint(quorumState).Text(q.cfg.Group).Uint(q.leads).Uint(q.leads).Uint(q.done).Bytes(q.snapshot()).Data)
}

// resend brings voters that lag up to date.
func (q *Quorum) resend() {
	for _, v := range q.cfg.Voters {
		p := group.Peer(v)
		have, known := q.acked[p]
		switch {
		case p == q.me || known && have >= q.state.version:
		case !known || len(q.log) == 0 || q.log[0].version > have+1:
			q.push(p)
		default:
			q.sendCommands(p, have)
		}
	}
}

// sendCommands sends a voter what it has not said it has, as far as fits a message or two: one that is overtaken or lost is made good by
// the next.
func (q *Quorum) sendCommands(to uint32, have uint64) {
	var some encoding.Writer
	n := 0
	for _, c := range q.log {
		if c.version > have && (n == 0 || len(some.Data)+len(c.data) < 4096) {
			some.Uint(c.version).Uint(c.tag).Uint(uint64(c.machine)).Bytes(c.data)
			n++
		}
	}
	var w encoding.Writer
	w.Uint(quorumCommand).Text(q.cfg.Group).Uint(q.leads).Uint(uint64(n))
	w.Data = append(w.Data, some.Data...)
	q.send(to, w.Data)
}

// settle tells of commands that a majority has.
func (q *Quorum) settle() {
	for len(q.log) > 0 && q.done < q.state.version {
		n := 0
		for _, v := range q.cfg.Voters {
			if have, known := q.acked[group.Peer(v)]; known && have > q.done {
				n++
			}
		}
		if !q.majority(n) {
			return
		}
		q.done++
		for _, c := range q.log {
			if c.version == q.done {
				q.fx.Applied(c.machine, c.tag, q.machines[c.machine].Apply(c.data))
				break // an effect may have asked for more, and had it
			}
		}
	}
}

func (q *Quorum) snapshot() []byte {
	var w encoding.Writer
	w.Uint(uint64(len(q.kinds)))
	for _, k := range q.kinds {
		w.Uint(uint64(k)).Bytes(q.machines[k].Snapshot())
	}
	return w.Data
}

func (q *Quorum) restore(data []byte) bool {
	r := encoding.Reader{Data: data}
	for n := r.Count(256); n > 0; n-- {
		k, state := byte(r.Uint()), r.Bytes(1<<18)
		if r.Err() != nil {
			return false
		}
		if m := q.machines[k]; m != nil && m.Restore(state) != nil {
			return false
		}
	}
	return r.Err() == nil
}

// Leading tells whether this process leads: not after its lease, whatever else it heard.
func (q *Quorum) Leading() (epoch uint64, ok bool) {
	return q.leads, q.leads != 0 && q.now < q.lease && q.ready()
}

// ready tells whether a majority has the state that this epoch begins with: before, what it grants could be lost with this process alone.
func (q *Quorum) ready() bool { return q.majority(len(q.acked)) }

// Leader is whom this voter has granted the lead, or held it for.
func (q *Quorum) Leader() uint32 {
	if q.leads != 0 {
		return q.me
	}
	if q.now < q.until {
		return q.holder
	}
	return 0
}

// Propose has a command agreed on.
func (q *Quorum) Propose(now Time, machine byte, tag uint64, cmd []byte) error {
	q.now = max(q.now, now)
	if _, ok := q.Leading(); !ok {
		return group.ErrNotLeader
	}
	if q.state.version-q.done >= inFlight || q.machines[machine] == nil {
		return group.ErrBusy
	}
	q.state.version++
	c := command{version: q.state.version, tag: tag, machine: machine, data: append([]byte(nil), cmd...)}
	if q.log = append(q.log, c); len(q.log) > inFlight {
		q.log = q.log[1:]
	}
	q.acked[q.me] = c.version
	for _, v := range q.cfg.Voters {
		if p := group.Peer(v); p != q.me {
			if have, known := q.acked[p]; known {
				q.sendCommands(p, have)
			}
		}
	}
	q.settle()
	return nil
}

// Confirm needs nobody's word: the lease is it.
func (q *Quorum) Confirm(now Time, tag uint64) error {
	q.now = max(q.now, now)
	if _, ok := q.Leading(); !ok {
		return group.ErrNotLeader
	}
	q.fx.Confirmed(tag)
	return nil
}

// Yield gives the lead up.
func (q *Quorum) Yield(now Time) {
	q.now = max(q.now, now)
	q.yielded = q.now + 2*q.cfg.Lease
	b := q.leads
	q.follow()
	if b != 0 {
		var w encoding.Writer
		q.all(w.Uint(quorumFree).Text(q.cfg.Group).Uint(b).Data)
	}
}

// LeaseEnd is when the lead ends, unless it is given again.
func (q *Quorum) LeaseEnd() Time { return q.lease }
