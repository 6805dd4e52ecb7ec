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
	"hash/fnv"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

// State is what a member is held to be.
type State uint8

// The states of a member.
const (
	Joining     State = iota // not heard yet
	Alive                    // heard of late, by this process or by another that says so
	Suspect                  // did not answer; others are asked, and it still counts
	Unreachable              // nobody here has heard it for SilentFor; it may be cut off
	Left                     // it said so itself
	Gone                     // unreachable for GoneAfter, in the view of a majority of the base
)

var stateNames = [...]string{"joining", "alive", "suspect", "unreachable", "left", "gone"}

// String names a state as operators read it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// ID names a member in datagrams: its name, hashed.
func ID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Config is what a process is told once.
type Config struct {
	Name, Fleet string
	Life        Life // of this process; a successor that takes over the name's work goes on with the same one
	Slots       int  // addresses at which members may be, by number
	Own         int  // the own one among them; -1: none
	// Seeds are addresses of some members, in place of Slots and Own, where members come and go: the others' are learnt.
	Seeds    []netip.AddrPort
	Base     int // how many members the fleet is meant to have; a majority is more than half of it
	Overhead int // bytes of each datagram that the caller adds, such as a keyed hash

	Period    Time // between two probes; 0: 200 ms
	Within    Time // how long an answer may take before others are asked; 0: 150 ms
	SilentFor Time // unheard by anybody for so long, a suspect is unreachable; 0: 2.3 s
	GoneAfter Time // and for so long after that, gone; 0: 10 s
	Seed      uint64

	// Planted faults, for the proof that the checks find them.
	IgnoreLife, IgnorePause bool
}

// Effects is what a process can do.
type Effects interface {
	Send(slot int, datagram []byte) // valid during the call only
	Changed(c Change)
}

// Others is what Effects may have besides: it takes what another package's like has sent by the way that members have.
type Others interface {
	Other(from uint32, whose byte, data []byte) // data is valid during the call only
}

// Change is one change of the view, with its reason.
type Change struct {
	Name     string // "" where it has not been told yet
	ID       uint32
	From, To State
	Life     Life
	Version  uint64
	Reason   string
}

// Member is one member as others may see it.
type Member struct {
	Name      string
	ID        uint32
	Slot      int // -1: not known
	State     State
	Life      Life
	Heard     Time     // when it was last heard here; 0: never
	HeardBy   Time     // and by anybody
	Unheard   []uint32 // whom it does not hear, as it says itself
	UnheardAt Time
}

type member struct {
	Member
	missed    Time // when it first did not answer since it was last heard here; 0: it did
	suspected Time
	since     Time // in this state
}

// rumour is news that is still being spread.
type rumour struct {
	id   uint32
	left int
}

// pending is a probe that is out.
type pending struct {
	id     uint32
	at     Time
	asked  bool // others are asked
	onward bool // it is another's probe
	to     int  // whose, by slot
	seq    uint32
}

// Counts are what a process has done and met.
type Counts struct {
	Sent, Bytes, Heard                    int
	Malformed, OtherVersion, OtherFleet   int
	OldLife, Clashes, Pauses, Refutations int
}

// Core is one process's part.
type Core struct {
	cfg     Config
	fx      Effects
	rng     *rand.Rand
	id      uint32
	fleet   uint32
	life    Life
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
		cfg.Slots, cfg.Own = len(cfg.Seeds), -1
	}
	if cfg.Slots < 1 || cfg.Own >= cfg.Slots || cfg.Overhead < 0 || cfg.Overhead > 64 {
		return nil, fmt.Errorf("membership: %d addresses, the own one number %d, %d bytes taken off each datagram", cfg.Slots, cfg.Own, cfg.Overhead)
	}
	if cfg.Base < 1 {
		cfg.Base = cfg.Slots
	}
	for _, d := range []struct {
		v    *Time
		that Time
	}{{&cfg.Period, 200 * ms}, {&cfg.Within, 150 * ms}, {&cfg.SilentFor, 2300 * ms}, {&cfg.GoneAfter, 10 * sec}} {
		if *d.v <= 0 {
			*d.v = d.that
		}
	}
	c := &Core{cfg: cfg, fx: fx, id: ID(cfg.Name), fleet: ID("fleet " + cfg.Fleet), life: cfg.Life, members: map[uint32]*member{},
		slots: make([]uint32, cfg.Slots), probes: map[uint32]*pending{}}
	c.rng = rand.New(rand.NewPCG(cfg.Seed, uint64(c.id)))
	c.where = slices.Clone(cfg.Seeds)
	for i := range cfg.Slots {
		if i != cfg.Own {
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
	} else if (gap > 4*c.cfg.Period || jump > 4*c.cfg.Period) && !c.cfg.IgnorePause {
		c.woke(gap)
	}
	c.expire()
	for c.now >= c.nextProbe && !c.left {
		c.nextProbe = max(c.nextProbe+c.cfg.Period, now-c.cfg.Period)
		c.probe()
	}
	c.judge()
}

// woke takes back what the time in which this process heard nothing would have it conclude.
func (c *Core) woke(gap Time) {
	c.counts.Pauses++
	c.distrust = c.now + trustAfter
	c.lastHeard = c.now
	clear(c.probes)
	for _, id := range c.order {
		m := c.members[id]
		if m.State == Alive || m.State == Suspect {
			m.HeardBy += gap
			c.miss(m, 0)
			m.suspected = 0
			c.set(m, Alive, "this process slept")
		}
	}
	// What others concluded meanwhile is answered before it is heard.
	c.life++
	c.spread(c.id)
	c.nextProbe = c.now
}

func (c *Core) shuffle() {
	c.rng.Shuffle(len(c.turn), func(i, j int) { c.turn[i], c.turn[j] = c.turn[j], c.turn[i] })
}

// slow is how much longer this process waits, the less it trusts itself.
func (c *Core) slow(d Time) Time { return d + d*Time(c.health)/2 }

// expire looks at the probes that are out.
func (c *Core) expire() {
	for _, seq := range c.outstanding() {
		p := c.probes[seq]
		m := c.members[p.id]
		switch age := c.now - p.at; {
		case p.onward && age > 2*sec:
			delete(c.probes, seq)
		case p.onward:
		case !p.asked && age > c.slow(c.cfg.Within):
			p.asked = true
			if m != nil && m.missed == 0 {
				c.miss(m, p.at)
			}
			c.askOthers(p.id, seq)
		case p.asked && age > 2*c.slow(c.cfg.Within):
			delete(c.probes, seq)
			if m == nil {
				break
			}
			if c.now-m.HeardBy > c.cfg.Within && m.suspected == 0 && m.State == Alive && c.now >= c.distrust {
				m.suspected = c.now
				c.set(m, Suspect, "did not answer, directly or through others")
				c.spread(p.id)
			}
			if c.now-c.lastHeard > 2*c.cfg.Period {
				c.health = min(maxHealth, c.health+1) // nothing comes at all: the fault may be here
			}
		}
	}
}

// outstanding is the probes that are out, in order.
func (c *Core) outstanding() []uint32 {
	s := make([]uint32, 0, len(c.probes))
	for seq := range c.probes {
		s = append(s, seq)
	}
	sort.Slice(s, func(i, j int) bool { return s[i] < s[j] })
	return s
}

// probe asks the next member in turn.
func (c *Core) probe() {
	for range c.turn {
		if c.at >= len(c.turn) {
			c.at = 0
			c.shuffle()
		}
		slot := c.turn[c.at]
		c.at++
		id := c.slots[slot]
		if m := c.members[id]; m != nil && (m.State == Left || m.State == Gone) && c.rng.IntN(8) > 0 {
			continue // seldom: it may be back, at the same address and under any name
		}
		c.seq++
		if id != 0 {
			c.probes[c.seq] = &pending{id: id, at: c.now}
		}
		d := c.datagram()
		d.seq(partPing, c.seq)
		d.name(c.cfg.Name)
		c.send(slot, d)
		return
	}
}

// askOthers has some members that are heard ask one that did not answer.
func (c *Core) askOthers(id uint32, seq uint32) {
	var able []int
	for slot, o := range c.slots {
		if m := c.members[o]; o != 0 && o != id && m.State == Alive && m.missed == 0 {
			able = append(able, slot)
		}
	}
	for range min(helpers, len(able)) {
		i := c.rng.IntN(len(able))
		d := c.datagram()
		d.seqID(partPingFor, seq, id)
		c.send(able[i], d)
		able = append(able[:i], able[i+1:]...)
	}
}

// judge draws the conclusions that time brings.
func (c *Core) judge() {
	alone := c.now-c.lastHeard > deafAfter
	if !c.Quorum() {
		c.many = c.now
	}
	patience := suspectFor * Time(1+bits.Len(uint(len(c.order))))
	for _, id := range c.order {
		if c.troubled == 0 {
			break
		}
		m := c.members[id]
		unheard := c.now - m.HeardBy
		switch {
		case c.now < c.distrust:
		case m.State == Suspect && unheard < c.cfg.Period:
			m.suspected = 0
			c.set(m, Alive, "heard again")
		case m.State == Suspect && unheard > c.slow(c.cfg.SilentFor) && c.now-m.suspected > patience:
			why := "nobody has heard it"
			if alone {
				why = "nothing at all is heard: this process may be cut off"
			}
			c.set(m, Unreachable, why)
			if !alone {
				c.spread(id)
			}
		case m.State == Unreachable && c.now-max(m.since, c.many) > c.cfg.GoneAfter:
			c.set(m, Gone, "unreachable for long, to a majority of the base")
			c.spread(id)
		}
	}
	if c.differs > 0 && c.now-c.differs > sec && c.now-c.lastWant > wantEach {
		c.lastWant = c.now
		for slot, id := range c.slots {
			if m := c.members[id]; id != 0 && m.State == Alive && c.rng.IntN(2) == 0 {
				d := c.datagram()
				d.want()
				c.send(slot, d)
				return
			}
		}
	}
}

// tally counts members by what matters often: a large fleet's members can't be looked through at each turn.
func (c *Core) tally(s State, n int) {
	switch s {
	case Alive:
		c.alive += n
	case Suspect:
		c.alive += n
		c.troubled += n
	case Unreachable:
		c.troubled += n
	}
}

// miss notes since when a member has not answered; 0: it has.
func (c *Core) miss(m *member, at Time) {
	if (m.missed > 0) != (at > 0) {
		if at > 0 {
			c.missing++
		} else {
			c.missing--
		}
	}
	m.missed = at
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
	c.fx.Changed(Change{m.Name, m.ID, from, to, m.Life, c.version, why})
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
	x := uint64(m.ID)<<32 ^ m.Life.Start()*0x9e3779b97f4a7c15 ^ uint64(s)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return uint32(x ^ x>>29)
}

// spread has what is known of a member told with the next datagrams, as often as it takes for all to hear.
func (c *Core) spread(id uint32) {
	n := 3 * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
	for i := range c.rumours {
		if c.rumours[i].id == id {
			c.rumours[i].left = n
			return
		}
	}
	c.rumours = append(c.rumours, rumour{id, n})
}

func (c *Core) datagram() *Datagram {
	d := &Datagram{}
	d.begin(c.fleet, c.id, c.life, c.Digest(), Longest-c.cfg.Overhead)
	return d
}

// send fills a datagram up with news and whom this process does not hear, and sends it.
func (c *Core) send(slot int, d *Datagram) {
	if d.fits(2 + 4*rowShown) {
		d.row(c.unheard())
	}
	sort.SliceStable(c.rumours, func(i, j int) bool { return c.rumours[i].left > c.rumours[j].left })
	kept := c.rumours[:0]
	for _, r := range c.rumours {
		if d.news(c.about(r.id)) {
			r.left--
			c.tellWhere(d, r.id)
		}
		if r.left > 0 {
			kept = append(kept, r)
		}
	}
	c.rumours = kept
	c.transmit(slot, d)
}

func (c *Core) transmit(slot int, d *Datagram) {
	c.counts.Sent++
	c.counts.Bytes += d.n + c.cfg.Overhead
	c.fx.Send(slot, d.Bytes())
}

// about is the news of a member as they stand.
func (c *Core) about(id uint32) News {
	if id == c.id {
		s := Alive
		if c.left {
			s = Left
		}
		return News{ID: id, State: s, Life: c.life}
	}
	m := c.members[id]
	age := min((c.now-m.HeardBy)/ms, math.MaxUint16)
	return News{ID: id, State: m.State, Life: m.Life, Age: uint16(max(0, age))}
}

// tellWhere tells a member's address, where members come and go.
func (c *Core) tellWhere(d *Datagram, id uint32) {
	if m := c.members[id]; m != nil && m.Slot >= 0 && m.Slot < len(c.where) && m.State != Left && m.State != Gone {
		d.where(id, c.where[m.Slot])
	}
}

// unheard are those alive members that did not answer this process since it last heard them.
func (c *Core) unheard() (ids []uint32) {
	if c.missing == 0 {
		return nil
	}
	for _, id := range c.order {
		m := c.members[id]
		if (m.State == Alive || m.State == Suspect) && m.missed > 0 && len(ids) < rowShown {
			ids = append(ids, id)
		}
	}
	return ids
}

// SlotOf is where a member is, by its id; under 0 where that is not known.
func (c *Core) SlotOf(id uint32) int {
	if m := c.members[id]; m != nil {
		return m.Slot
	}
	return -1
}

// Carry sends another package's data to a member whose address is known; at most Room bytes, once, and it may be lost.
func (c *Core) Carry(now Time, to uint32, whose byte, data []byte) {
	c.now = max(c.now, now)
	if slot := c.SlotOf(to); slot >= 0 && !c.left {
		if d := c.datagram(); d.other(whose, data) {
			c.transmit(slot, d)
		}
	}
}

// Base is how many members the fleet is meant to have.
func (c *Core) Base() int { return c.cfg.Base }

// Where is the address of a slot, where members come and go.
func (c *Core) Where(slot int) netip.AddrPort { return c.where[slot] }

// mostSlots bounds how many addresses are kept.
const mostSlots = 4096

// place gives the slot of an address, a new one where there is none yet; under 0 where there is no room.
func (c *Core) place(a netip.AddrPort) int {
	for i, w := range c.where {
		if w == a {
			return i
		}
	}
	for i, id := range c.slots {
		// Who has left or is gone makes room, but no seed does: by those a fleet that was apart finds together.
		if m := c.members[id]; i >= len(c.cfg.Seeds) && m != nil && (m.State == Left || m.State == Gone) {
			m.Slot = -1
			c.where[i], c.slots[i] = a, 0
			return i
		}
	}
	if len(c.where) >= mostSlots {
		return -1
	}
	c.where, c.slots, c.turn = append(c.where, a), append(c.slots, 0), append(c.turn, len(c.where))
	return len(c.where) - 1
}

// ReceiveFrom is Receive where members come and go: an address is kept once what came from it can be read and is this fleet's.
func (c *Core) ReceiveFrom(now Time, from netip.AddrPort, data []byte) error {
	if _, err := read(data, c.fleet); err != nil {
		return c.Receive(now, -1, data)
	}
	return c.Receive(now, c.place(from), data)
}

// Receive takes a datagram that came from an address. What is wrong with it is counted, and told.
func (c *Core) Receive(now Time, slot int, data []byte) error {
	c.now = max(c.now, now)
	if gap := now - c.lastTick; c.started && gap > 4*c.cfg.Period && !c.cfg.IgnorePause {
		// This process slept, and what waited for it comes before its turn does.
		c.lastTick, c.lastWall = now, c.lastWall+gap
		c.woke(gap)
	}
	r, err := read(data, c.fleet)
	switch err {
	case nil:
	case ErrVersion:
		c.counts.OtherVersion++
		return err
	case ErrFleet:
		c.counts.OtherFleet++
		c.refuse(slot, r.fleet, refusedFleet)
		return err
	default:
		c.counts.Malformed++
		return err
	}
	if slot < 0 || slot >= len(c.slots) {
		c.counts.Malformed++
		return ErrMalformed
	}
	if r.from == c.id && len(c.where) > 0 && r.life.Start() == c.life.Start() {
		// The own address is among the seeds.
		c.turn = slices.DeleteFunc(c.turn, func(i int) bool { return i == slot })
		return nil
	}
	if r.from == c.id {
		c.counts.Clashes++
		return fmt.Errorf("membership: another process has the name %s", c.cfg.Name)
	}
	m := c.members[r.from]
	if m != nil && m.Slot >= 0 && m.Slot != slot && r.life.Start() != m.Life.Start() && now-m.Heard < c.cfg.SilentFor && m.State == Alive {
		c.counts.Clashes++
		c.refuse(slot, c.fleet, refusedName)
		return fmt.Errorf("membership: the name of %08x is in use by a live member", r.from)
	}
	if m != nil && r.life < m.Life && !c.cfg.IgnoreLife {
		// An earlier life, or one whose clock was set back: if it is the one that runs, it raises its own once it hears this.
		c.counts.OldLife++
		d := c.datagram()
		d.news(c.about(r.from))
		c.transmit(slot, d)
		return nil
	}
	c.counts.Heard++
	c.lastHeard = now
	c.health = max(0, c.health-1)
	if m == nil {
		m = c.add(r.from)
		if len(c.where) > 0 {
			defer c.spread(r.from) // the others may not know where it is
		}
	}
	c.heard(m, slot, r.life)
	if r.digest != c.Digest() {
		if c.differs == 0 {
			c.differs = now
		}
	} else {
		c.differs = 0
	}
	for len(r.rest) > 0 {
		p, _ := r.next()
		c.take(m, slot, p)
	}
	if why := c.refusedBy; why != "" {
		c.refusedBy = ""
		return fmt.Errorf("membership: %08x does not take this process in: %s", r.from, why)
	}
	return nil
}

// Why a process is not taken in, as it is told.
const (
	refusedFleet = 1
	refusedName  = 2
)

// refuse tells a process why it is not taken in, once a second at most: whoever it is can't have this one send without end.
func (c *Core) refuse(slot int, fleet uint32, why byte) {
	if slot < 0 || slot >= len(c.slots) || c.now-c.refusedAt < sec && c.refusedAt > 0 {
		return
	}
	c.refusedAt = c.now
	d := c.datagram()
	d.begin(fleet, c.id, c.life, c.Digest(), Longest-c.cfg.Overhead)
	d.refused(why)
	c.transmit(slot, d)
}

func (c *Core) add(id uint32) *member {
	m := &member{Member: Member{ID: id, Slot: -1}}
	m.since = c.now
	c.members[id] = m
	i := sort.Search(len(c.order), func(i int) bool { return c.order[i] >= id })
	c.order = append(c.order, 0)
	copy(c.order[i+1:], c.order[i:])
	c.order[i] = id
	c.digest ^= m.mark()
	return m
}

// heard takes in that a member was heard here.
func (c *Core) heard(m *member, slot int, life Life) {
	newer := life > m.Life
	c.live(m, life)
	if (m.State == Left || m.State == Gone) && !newer {
		// It is to know what it is held to be; its answer is a newer life.
		if m.State == Gone {
			c.spread(m.ID)
		}
		return
	}
	if m.Slot >= 0 && m.Slot != slot && c.slots[m.Slot] == m.ID {
		c.slots[m.Slot] = 0
	}
	m.Slot = slot
	c.slots[slot] = m.ID
	c.miss(m, 0)
	m.Heard, m.HeardBy, m.suspected = c.now, c.now, 0
	c.set(m, Alive, "heard")
}

// live takes in a member's newer life.
func (c *Core) live(m *member, life Life) {
	if life <= m.Life && !(c.cfg.IgnoreLife && life != m.Life) {
		return
	}
	c.digest ^= m.mark()
	again := m.Life != 0 && life.Start() != m.Life.Start()
	m.Life = life
	c.digest ^= m.mark()
	if again {
		c.version++
		c.fx.Changed(Change{m.Name, m.ID, m.State, m.State, life, c.version, "a new life"})
	}
}

// take acts on one part of a member's datagram.
func (c *Core) take(from *member, slot int, p part) {
	switch p.kind {
	case partPing:
		d := c.datagram()
		d.seq(partAck, p.seq)
		if from.Name == "" {
			d.name(c.cfg.Name) // new here, and so is this one there
		}
		c.send(slot, d)
	case partAck:
		q := c.probes[p.seq]
		if q == nil || q.id != from.ID {
			return
		}
		delete(c.probes, p.seq)
		if q.onward {
			d := c.datagram()
			d.seqID(partAckFor, q.seq, q.id)
			c.send(q.to, d)
		}
	case partPingFor:
		m := c.members[p.id]
		if m == nil || m.Slot < 0 {
			return
		}
		c.seq++
		c.probes[c.seq] = &pending{id: p.id, at: c.now, onward: true, to: slot, seq: p.seq}
		d := c.datagram()
		d.seq(partPing, c.seq)
		c.send(m.Slot, d)
	case partAckFor:
		if q := c.probes[p.seq]; q != nil && q.id == p.id && !q.onward {
			delete(c.probes, p.seq)
			if m := c.members[p.id]; m != nil {
				c.heardOf(m, c.now)
			}
		}
	case partNews:
		c.told(p.news)
	case partRow:
		from.Unheard = from.Unheard[:0]
		for b := p.row; len(b) >= 4; b = b[4:] {
			from.Unheard = append(from.Unheard, uint32(b[0])<<24|uint32(b[1])<<16|uint32(b[2])<<8|uint32(b[3]))
		}
		from.UnheardAt = c.now
	case partWhere:
		if m := c.members[p.id]; m != nil && m.Slot < 0 && len(c.where) > 0 && m.State != Left && m.State != Gone {
			if slot := c.place(p.addr); slot >= 0 {
				m.Slot, c.slots[slot] = slot, p.id
				c.ask(m)
			}
		}
	case partOther:
		if o, takes := c.fx.(Others); takes {
			o.Other(from.ID, p.why, p.data)
		}
	case partRefused:
		switch p.why {
		case refusedFleet:
			c.refusedBy = "it is of another fleet"
		case refusedName:
			c.refusedBy = "its name is in use by a live member"
		default:
			c.refusedBy = "for a reason that is not known here"
		}
	case partName:
		if from.Name == "" && len(p.name) <= 64 {
			if s := string(p.name); ID(s) == from.ID {
				from.Name = s
			}
		}
	case partWant:
		for range wantPage {
			d := c.datagram()
			for n := 0; n < len(c.order)+1; n++ {
				id := c.id
				if i := c.page % (len(c.order) + 1); i < len(c.order) {
					id = c.order[i]
				}
				if !d.news(c.about(id)) {
					break
				}
				c.tellWhere(d, id)
				c.page++
				if n == len(c.order) {
					c.transmit(slot, d)
					return
				}
			}
			c.transmit(slot, d)
		}
	}
}

// heardOf takes in that somebody heard a member at a time.
func (c *Core) heardOf(m *member, at Time) {
	m.HeardBy = max(m.HeardBy, at)
	fresh := c.now-m.HeardBy < c.cfg.SilentFor/2
	if fresh && (m.State == Suspect || m.State == Unreachable || m.State == Joining) {
		m.suspected = 0
		c.set(m, Alive, "another has heard it")
	}
}

// told takes news of a member.
func (c *Core) told(n News) {
	if n.ID == c.id {
		if n.Life > c.life || n.Life == c.life && (n.State == Suspect || n.State == Unreachable || n.State == Gone || n.State == Left && !c.left) {
			c.life = n.Life + 1
			c.counts.Refutations++
			c.spread(c.id)
		}
		return
	}
	m := c.members[n.ID]
	if m == nil {
		if n.State == Left || n.State == Gone || n.State == Joining {
			return // it is no member's loss not to have known it
		}
		m = c.add(n.ID)
	}
	if n.Life < m.Life && !c.cfg.IgnoreLife {
		return
	}
	newer := n.Life > m.Life
	c.live(m, n.Life)
	at := c.now - Time(n.Age)*ms
	ended := m.State == Left || m.State == Gone
	switch {
	case n.State == Left:
		if !ended || newer {
			c.set(m, Left, "said so")
			c.spread(m.ID)
		}
	case ended && !newer && !c.cfg.IgnoreLife:
	case n.State == Gone:
		if c.now-m.HeardBy > c.cfg.SilentFor && c.now >= c.distrust {
			c.set(m, Gone, "others say so, and nobody here has heard it")
		}
		c.spread(m.ID) // or that it was heard
	case n.State == Joining:
	default:
		if newer && ended {
			c.set(m, Alive, "a newer life is told")
			m.HeardBy = at
			c.spread(m.ID)
		}
		if newer && n.State == Alive {
			c.spread(m.ID)
		}
		c.heardOf(m, at)
		if m.State == Joining && c.now >= c.distrust {
			// Known by what others say alone, and nobody has heard it of late: it is not about to join.
			if m.suspected = c.now; n.State == Unreachable {
				c.set(m, Unreachable, "others say so, and it was never heard here")
			} else {
				c.set(m, Suspect, "others have not heard it of late, and it was never heard here")
			}
		}
		if n.State == Alive {
			return
		}
		// An accusation. Whoever has heard the member since says so; else it is looked into here.
		if c.now-m.HeardBy < c.cfg.SilentFor && m.HeardBy > at+50*ms {
			c.spread(m.ID)
		} else if m.State == Alive && c.now >= c.distrust && c.now-m.HeardBy > c.cfg.Within {
			m.suspected = c.now
			c.set(m, Suspect, "others say that it does not answer")
			c.spread(m.ID)
			c.ask(m)
		}
		if n.State == Unreachable && m.State == Suspect && c.now-m.HeardBy > c.cfg.SilentFor && c.now >= c.distrust {
			c.set(m, Unreachable, "nobody has heard it, others say so too")
			c.spread(m.ID)
		}
	}
}

// ask probes a member out of turn.
func (c *Core) ask(m *member) {
	if m.Slot < 0 {
		return
	}
	c.seq++
	c.probes[c.seq] = &pending{id: m.ID, at: c.now}
	d := c.datagram()
	d.seq(partPing, c.seq)
	c.send(m.Slot, d)
}

// Leave tells some members that this process ends in order, and answers probes no more as one that stays.
func (c *Core) Leave(now Time) {
	c.now = max(c.now, now)
	c.left = true
	c.spread(c.id)
	told := 0
	for slot, id := range c.slots {
		if m := c.members[id]; id != 0 && m.State == Alive && told < 4*helpers {
			told++
			c.send(slot, c.datagram())
		}
	}
}

// Quorum tells whether more than half of the base is alive in this process's view, itself included, and it hears somebody.
func (c *Core) Quorum() bool {
	return 2*(1+c.alive) > c.cfg.Base && (c.cfg.Base == 1 || c.now-c.lastHeard <= deafAfter)
}

// View is the members as this process sees them, itself left out, by id.
func (c *Core) View() []Member {
	out := make([]Member, 0, len(c.order))
	for _, id := range c.order {
		out = append(out, c.members[id].Member)
	}
	return out
}

// Version rises with each change of the view; Digest is alike where views are.
func (c *Core) Version() uint64 { return c.version }

// Digest is alike at processes whose views are, each counting itself as the others do.
func (c *Core) Digest() uint32 {
	self := member{Member: Member{ID: c.id, State: Alive, Life: c.life}}
	return c.digest ^ self.mark()
}

// Life is this process's own.
func (c *Core) Life() Life { return c.life }

// Counts are what was done and met so far.
func (c *Core) Counts() Counts { return c.counts }
