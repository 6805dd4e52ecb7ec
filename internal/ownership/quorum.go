package ownership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"

	"croftlock/internal/group"
	"croftlock/internal/pack"
)

// Quorum is a Group of voters without disks, after PaxosLease: a fixed set of them grants the lead for a time, from memory. A voter that has
// just started may have granted it before and does not know; it abstains until every lease that it could have granted has ended.
//
// What it promises: no two lead at a time, as long as clocks run apart by no more than the stated drift; epochs, and tokens with them, rise
// while one voter of each majority remembers; what was agreed on survives as long as no majority has lost its memory at a time. After a
// start of all voters at once epochs rise if their clocks are not set back by more than the fleet was up; where they were, receivers'
// fences refuse, and the job's next token is taken from what they remember.
type Quorum struct {
	cfg      QuorumConfig
	fx       group.Effects
	machines map[byte]group.Machine
	kinds    []byte
	rng      *rand.Rand
	me       uint32
	now      Time
	started  Time // -1: not yet

	// As a voter.
	promised uint64
	holder   uint32 // to whom the lead is granted
	epoch    uint64 // and for which epoch
	until    Time   // of the grant, as this voter counts it
	state    at     // of the machines here

	// As one that would lead.
	counter  uint64
	trying   uint64 // ballot; 0: none
	tryAt    Time
	promises map[uint32]promise
	fetchOf  uint32 // whose state is awaited
	round    uint64 // of the grant asked for last
	askedAt  map[uint64]Time
	grants   map[uint64]map[uint32]bool
	leads    uint64 // epoch, the ballot under which it came to lead; 0: it does not
	ballot   uint64 // under which it asks for more: above what voters have promised since
	lease    Time   // until when it leads
	renewAt  Time
	nextTry  Time
	yielded  Time

	sure bool // what this lead began with is all that was agreed on

	log   []command // of the epoch, the last ones
	acked map[uint32]uint64
	done  uint64 // version up to which commands are agreed on
}

// at is a place in the order of commands.
type at struct{ epoch, version uint64 }

func (a at) before(b at) bool {
	return a.epoch < b.epoch || a.epoch == b.epoch && a.version < b.version
}

type promise struct {
	open  bool
	state at
}

type command struct {
	version uint64
	tag     uint64
	machine byte
	data    []byte
}

// QuorumConfig is what a voter is told once.
type QuorumConfig struct {
	Group, Name string
	Voters      []string // the same list everywhere
	Lease       Time     // of the lead; 0: 1.5 s
	Seed        uint64
	Clock       int64 // wall clock at the start, in hundredths of a second: the first epoch is above it
	// Eager and FromAnswer are planted faults: a voter that has just started does not abstain; a lease is counted from its answer.
	Eager, FromAnswer bool
}

// NewQuorum makes a voter.
func NewQuorum(cfg QuorumConfig, machines map[byte]group.Machine, fx group.Effects) (*Quorum, error) {
	if cfg.Lease <= 0 {
		cfg.Lease = 1500 * ms
	}
	if len(cfg.Voters) == 0 || len(cfg.Voters) > 15 || cfg.Clock < 0 {
		return nil, fmt.Errorf("ownership: %d voters, clock at %d: 1 to 15 voters and a clock after 1970 are possible", len(cfg.Voters), cfg.Clock)
	}
	q := &Quorum{cfg: cfg, fx: fx, machines: machines, rng: rand.New(rand.NewPCG(cfg.Seed, 5)), me: group.Peer(cfg.Name), started: -1,
		counter: uint64(cfg.Clock), askedAt: map[uint64]Time{}, grants: map[uint64]map[uint32]bool{}}
	for k := range machines {
		q.kinds = append(q.kinds, k)
	}
	sort.Slice(q.kinds, func(i, j int) bool { return q.kinds[i] < q.kinds[j] })
	return q, nil
}

const (
	quorumPrepare = 1
	quorumPromise = 2
	quorumPropose = 3
	quorumGranted = 4
	quorumFetch   = 5
	quorumState   = 6
	quorumCommand = 7
	quorumHave    = 8
	quorumFree    = 9
	quorumNo      = 10

	inFlight  = 64 // commands that may wait to be agreed on
	voterBits = 4
)

func (q *Quorum) number() uint64 {
	for i, v := range q.cfg.Voters {
		if v == q.cfg.Name {
			return uint64(i)
		}
	}
	return uint64(len(q.cfg.Voters))
}

func (q *Quorum) majority(n int) bool { return 2*n > len(q.cfg.Voters) }

// abstains tells whether this voter may have granted what it does not remember.
func (q *Quorum) abstains() bool {
	return q.started < 0 || !q.cfg.Eager && q.now < q.started+q.cfg.Lease+q.cfg.Lease/drift
}

func (q *Quorum) send(peer uint32, msg []byte) {
	if peer == q.me {
		q.Receive(q.now, peer, msg)
		return
	}
	q.fx.Send(peer, msg)
}

func (q *Quorum) all(msg []byte) {
	for _, v := range q.cfg.Voters {
		q.send(group.Peer(v), msg)
	}
}

// Tick is to be called every 50 to 100 ms.
func (q *Quorum) Tick(now Time) {
	q.now = max(q.now, now)
	if q.started < 0 {
		q.started = q.now
		q.nextTry = q.now + q.some()
	}
	if q.leads != 0 && q.now >= q.lease {
		q.fx.Tell("quorum_lost", "epoch", q.leads)
		q.follow()
		q.nextTry = q.now + q.some()
	}
	switch {
	case q.leads != 0 && q.now >= q.renewAt:
		q.propose()
		q.resend()
	case q.leads != 0, q.abstains():
	case q.trying != 0 && q.now-q.tryAt > q.cfg.Lease/2:
		q.trying = 0
		q.nextTry = q.now + q.some()
	case q.trying != 0 && q.fetchOf == 0:
		q.gather()
	case q.trying == 0 && q.now >= q.until && q.now >= q.nextTry && q.now >= q.yielded:
		q.prepare()
	}
}

// follow ends the lead. What was not agreed on is forgotten: it was not applied here.
func (q *Quorum) follow() {
	q.state = q.here()
	q.leads, q.trying, q.log = 0, 0, nil
}

// here is how far the machines are. One that leads applies what is agreed on, and no sooner: what it grants must not be lost with it.
func (q *Quorum) here() at {
	if q.leads != 0 {
		return at{q.leads, q.done}
	}
	return q.state
}

// some is a wait by lot, so that two that would lead do not go on hindering each other.
func (q *Quorum) some() Time { return q.cfg.Lease/16 + Time(q.rng.Int64N(int64(q.cfg.Lease/4))) }

func (q *Quorum) prepare() {
	q.counter++
	q.trying, q.tryAt = q.counter<<voterBits|q.number(), q.now
	q.promises, q.fetchOf = map[uint32]promise{}, 0
	var w pack.Writer
	q.all(w.Uint(quorumPrepare).Text(q.cfg.Group).Uint(q.trying).Data)
}

// propose asks for the lead, or for more of it.
func (q *Quorum) propose() {
	q.round++
	q.askedAt[q.round], q.grants[q.round] = q.now, map[uint32]bool{}
	for r := range q.askedAt {
		if r+8 < q.round {
			delete(q.askedAt, r)
			delete(q.grants, r)
		}
	}
	b, epoch := q.trying, q.trying
	if q.leads != 0 {
		b, epoch = q.ballot, q.leads
	}
	q.renewAt = q.now + q.cfg.Lease/5
	var w pack.Writer
	q.all(w.Uint(quorumPropose).Text(q.cfg.Group).Uint(b).Uint(epoch).Uint(q.round).Data)
}

// Receive takes another voter's message.
func (q *Quorum) Receive(now Time, from uint32, msg []byte) error {
	q.now = max(q.now, now)
	r := pack.Reader{Data: msg}
	kind, of := r.Uint(), r.Text(mostName)
	voter := false
	for _, v := range q.cfg.Voters {
		voter = voter || group.Peer(v) == from
	}
	if r.Err() != nil || of != q.cfg.Group || !voter {
		return errors.New("ownership: a message of another group, or of no voter, or torn")
	}
	b := r.Uint()
	var w pack.Writer
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
	var w pack.Writer
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
	var w pack.Writer
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
	until := began + q.cfg.Lease - q.cfg.Lease/drift
	if until <= q.now {
		return
	}
	if q.leads == 0 && b == q.trying {
		q.leads, q.ballot, q.trying = b, b, 0
		q.state = at{b, 0}
		q.lease, q.done, q.log, q.acked = until, 0, nil, map[uint32]uint64{q.me: 0}
		q.fx.Tell("quorum_leads", "epoch", b, "sure", q.sure)
		for _, k := range q.kinds {
			if m, may := q.machines[k].(interface{ Unsure() }); may && !q.sure {
				m.Unsure()
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

// push sends a voter the whole state.
func (q *Quorum) push(to uint32) {
	var w pack.Writer
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
	var some pack.Writer
	n := 0
	for _, c := range q.log {
		if c.version > have && (n == 0 || len(some.Data)+len(c.data) < 4096) {
			some.Uint(c.version).Uint(c.tag).Uint(uint64(c.machine)).Bytes(c.data)
			n++
		}
	}
	var w pack.Writer
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
	var w pack.Writer
	w.Uint(uint64(len(q.kinds)))
	for _, k := range q.kinds {
		w.Uint(uint64(k)).Bytes(q.machines[k].Snapshot())
	}
	return w.Data
}

func (q *Quorum) restore(data []byte) bool {
	r := pack.Reader{Data: data}
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
		var w pack.Writer
		q.all(w.Uint(quorumFree).Text(q.cfg.Group).Uint(b).Data)
	}
}

// Until is when the lead ends, unless it is given again.
func (q *Quorum) Until() Time { return q.lease }
