// Package membership says which of a fleet's processes are there, alike at all of them, through pauses, lost messages and cuts in one
// direction. It owns what one process knows of the others, what it tells them and when, and the form of its datagrams. It does no I/O
// and reads no clock: time, datagrams and randomness are passed in, what is to be sent and what has changed goes to Effects, so that a
// run can be played again. docs/design-membership.md says why it is as it is.
//
// What it says is advice. Nobody's safety may rest on it: a member that sleeps, or is cut off, does not know that others have given it
// up.
package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

// The states of a member.
const (
	Joining     State = iota // not heard yet
	Alive                    // heard of late, by this process or by another that says so
	Suspect                  // did not answer; others are asked, and it still counts
	Unreachable              // nobody here has heard it for SilentFor; it may be cut off
	Left                     // it said so itself
	Gone                     // unreachable for GoneAfter, in the view of a majority of the base
)

// Config is what a process is told once.
type Config struct {
	Name, Fleet string
	Incarnation Incarnation // of this process; a successor that takes over the name's work goes on with the same one
	Slots       int         // addresses at which members may be, by number
	OwnSlot     int         // the own one among them; -1: none
	// Seeds are addresses of some members, in place of Slots and Own, where members come and go: the others' are learnt.
	Seeds     []netip.AddrPort
	FleetSize int // how many members the fleet is meant to have; a majority is more than half of it
	Overhead  int // bytes of each datagram that the caller adds, such as a keyed hash

	ProbeInterval    Time // between two probes; 0: 200 ms
	ProbeTimeout     Time // how long an answer may take before others are asked; 0: 150 ms
	UnreachableAfter Time // unheard by anybody for so long, a suspect is unreachable; 0: 2.3 s
	GoneAfter        Time // and for so long after that, gone; 0: 10 s
	Seed             uint64

	// Planted faults, for the proof that the checks find them.
	IgnoreIncarnation, IgnorePause bool
}

// Effects is what a process can do.
type Effects interface {
	Send(slot int, datagram []byte) // valid during the call only
	Changed(c Change)
}

// Carrier is what Effects may have besides: it takes what another package's like has sent by the way that members have.
type Carrier interface {
	CarriedData(from uint32, whose byte, data []byte) // data is valid during the call only
}

// Core is one process's part.
type Core struct {
	cfg     Config
	fx      Effects
	rng     *rand.Rand
	id      uint32
	fleet   uint32
	life    Incarnation
	now     Time
	started bool

	members map[uint32]*member
	order   []uint32         // of ids, sorted: what is drawn must not follow the order of a map
	slots   []uint32         // who is at an address; 0: not known
	where   []netip.AddrPort // the addresses, where members come and go
	turn    []int            // slots in the order in which they are probed
	at      int
	probes  map[uint32]*pending
	seq     uint32
	rumours []rumour
	page    int

	alive, troubled, missing int // members: alive or suspect; suspect or unreachable; that have not answered since they were heard
	health                   int // 0 well; the higher, the less this process trusts itself
	nextProbe                Time
	lastTick                 Time
	lastWall                 Time
	lastHeard                Time // when any datagram last came
	many                     Time // when this process last was without a majority: it gives nobody up in the moment in which it is back
	distrust                 Time // until then nobody is accused
	differs                  Time // since when others' views differ from this one; 0: they do not
	lastWant                 Time
	refusedAt                Time
	refusedBy                string // why another did not take this process in; "": none did
	left                     bool
	version                  uint64
	digest                   uint32
	counts                   Counts
}

const (
	maxHealth = 8
	helpers   = 3
	// suspectFor is how long a suspicion lasts at least, for each doubling of the fleet and once more: it has to reach whoever has
	// heard the suspect, and the answer to come back. In a large fleet a process may not have heard a member for a minute.
	suspectFor = 250 * ms
	// deafAfter is how long nothing at all may come before a process takes itself for the one that is cut off.
	deafAfter = sec
	// trustAfter is how long a process that slept asks before it accuses.
	trustAfter = 1500 * ms
	// rowShown bounds whom a datagram names as unheard.
	rowShown = 8
	wantPage = 4 // datagrams that answer a wish for the whole view
	wantEach = sec
)

// New makes a process's part. It refuses what can't be used.
func New(cfg Config, fx Effects) (*Core, error) {
	if cfg.Name == "" || len(cfg.Name) > 64 {
		return nil, fmt.Errorf("membership: a name of %d bytes, 1 to 64 are possible", len(cfg.Name))
	}
	if len(cfg.Seeds) > 0 {
		cfg.Slots, cfg.OwnSlot = len(cfg.Seeds), -1
	}
	if cfg.Slots < 1 || cfg.OwnSlot >= cfg.Slots || cfg.Overhead < 0 || cfg.Overhead > 64 {
		return nil, fmt.Errorf("membership: %d addresses, the own one number %d, %d bytes taken off each datagram", cfg.Slots, cfg.OwnSlot, cfg.Overhead)
	}
	if cfg.FleetSize < 1 {
		cfg.FleetSize = cfg.Slots
	}
	for _, d := range []struct {
		v    *Time
		that Time
	}{{&cfg.ProbeInterval, 200 * ms}, {&cfg.ProbeTimeout, 150 * ms}, {&cfg.UnreachableAfter, 2300 * ms}, {&cfg.GoneAfter, 10 * sec}} {
		if *d.v <= 0 {
			*d.v = d.that
		}
	}
	c := &Core{cfg: cfg, fx: fx, id: ID(cfg.Name), fleet: ID("fleet " + cfg.Fleet), life: cfg.Incarnation, members: map[uint32]*member{},
		slots: make([]uint32, cfg.Slots), probes: map[uint32]*pending{}}
	c.rng = rand.New(rand.NewPCG(cfg.Seed, uint64(c.id)))
	c.where = slices.Clone(cfg.Seeds)
	for i := range cfg.Slots {
		if i != cfg.OwnSlot {
			c.turn = append(c.turn, i)
		}
	}
	return c, nil
}

// Tick is to be called every 50 ms or so; wall is the wall clock, in nanoseconds. A gap shows that the process slept.
func (c *Core) Tick(now, wall Time) {
	gap, jump := now-c.lastTick, (wall-c.lastWall)-(now-c.lastTick)
	c.now, c.lastTick, c.lastWall = now, now, wall
	if !c.started {
		c.started, c.nextProbe, c.lastHeard = true, now, now
		c.shuffle()
	} else if (gap > 4*c.cfg.ProbeInterval || jump > 4*c.cfg.ProbeInterval) && !c.cfg.IgnorePause {
		c.woke(gap)
	}
	c.expire()
	for c.now >= c.nextProbe && !c.left {
		c.nextProbe = max(c.nextProbe+c.cfg.ProbeInterval, now-c.cfg.ProbeInterval)
		c.probe()
	}
	c.judge()
}

// set changes a member's state.
func (c *Core) set(m *member, to State, why string) {
	from := m.State
	if from == to {
		return
	}
	c.digest ^= m.mark()
	c.tally(from, -1)
	c.tally(to, 1)
	m.State, m.since = to, c.now
	c.digest ^= m.mark()
	c.version++
	c.fx.Changed(Change{m.Name, m.ID, from, to, m.Incarnation, c.version, why})
}

// mark is a member's part of the digest of a view. A suspect counts still, and a life's own counter does not matter. Who has left
// or is gone has no part: a process that came later need not know of it.
func (m *member) mark() uint32 {
	s := m.State
	switch s {
	case Left, Gone:
		return 0
	case Suspect:
		s = Alive
	}
	x := uint64(m.ID)<<32 ^ m.Incarnation.Start()*0x9e3779b97f4a7c15 ^ uint64(s)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return uint32(x ^ x>>29)
}

// Why a process is not taken in, as it is told.
const (
	refusedFleet = 1
	refusedName  = 2
)
