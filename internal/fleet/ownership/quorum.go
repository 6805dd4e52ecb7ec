package ownership

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
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
	return q.started < 0 || !q.cfg.Eager && q.now < q.started+q.cfg.Lease+q.cfg.Lease/clockDriftDivisor
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
		q.fx.LogEvent("quorum_leader_lost", "epoch", q.leads)
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
	var w encoding.Writer
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
	var w encoding.Writer
	q.all(w.Uint(quorumPropose).Text(q.cfg.Group).Uint(b).Uint(epoch).Uint(q.round).Data)
}
