package membership

import (
	"math/rand/v2"
	"net/netip"
)

// Effects is what Core has its caller do.
type Effects interface {
	Send(slot int, datagram []byte) // the datagram is valid during the call only
	Changed(c Change)
}

// PayloadReceiver is what Effects may implement besides: it receives the data that another process has sent with Core.SendPayload.
type PayloadReceiver interface {
	PayloadReceived(from uint32, channel byte, data []byte) // data is valid during the call only
}

// Core is one process's part. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	effects     Effects
	rng         *rand.Rand
	selfID      uint32 // the name, hashed
	fleet       uint32 // the fleet's name, hashed
	incarnation Incarnation
	now         Time
	hasLeft     bool

	members     memberTable
	addresses   addressBook
	prober      prober
	gossip      gossipQueue
	antiEntropy antiEntropy
	isolation   isolation

	lastRejection Time // when a rejection was last sent; 0: never
	counts        Counts
}

// New makes a process's part. The error says what of the configuration cannot be used.
func New(cfg Config, effects Effects) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	id := ID(cfg.Name)
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(id)))
	return &Core{
		cfg:         cfg,
		effects:     effects,
		rng:         rng,
		selfID:      id,
		fleet:       ID("fleet " + cfg.Fleet),
		incarnation: cfg.Incarnation,
		members:     newMemberTable(),
		addresses:   newAddressBook(cfg),
		prober:      newProber(rng, cfg.Slots, cfg.OwnSlot),
	}, nil
}

// Tick must be called every 50 ms or so; wall is the wall clock, in Unix nanoseconds. A gap between two calls shows that the process slept.
func (c *Core) Tick(now, wall Time) {
	c.now = now
	if !c.isolation.started {
		c.isolation.start(now, wall)
		c.prober.nextProbe = now
		c.prober.shuffle()
	} else if gap, paused := c.isolation.tick(now, wall, c.pauseThreshold()); paused && !c.cfg.IgnorePause {
		c.resumeAfterPause(gap)
	}
	c.expireProbes()
	for c.now >= c.prober.nextProbe && !c.hasLeft {
		c.prober.nextProbe = max(c.prober.nextProbe+c.cfg.ProbeInterval, now-c.cfg.ProbeInterval)
		c.probeNext()
	}
	c.reviewSuspectOrUnreachable()
	if c.antiEntropy.requestDue(c.now) {
		c.requestView()
	}
}

func (c *Core) pauseThreshold() Time { return minPauseIntervals * c.cfg.ProbeInterval }

// resumeAfterPause discounts the time in which this process slept: that it heard nothing then says nothing of the others.
func (c *Core) resumeAfterPause(gap Time) {
	c.counts.Pauses++
	c.isolation.noSuspicionBefore = c.now + noSuspicionAfterPause
	c.isolation.lastHeard = c.now
	clear(c.prober.outstanding)
	for _, id := range c.members.ids {
		if m := c.members.get(id); m.State.countsForMajority() {
			m.HeardByAny += gap
			c.members.setUnanswered(m, 0)
			c.markAlive(m, reasonOwnPause)
		}
	}
	// A newer incarnation refutes what others have concluded meanwhile, before this process has even heard of it.
	c.incarnation++
	c.spread(c.selfID)
	c.prober.nextProbe = c.now
}

// Leave announces the graceful shutdown of this process to some members, whose gossip spreads it; from then on it probes nobody.
func (c *Core) Leave(now Time) {
	const announcements = 4 * indirectProbes
	c.now = max(c.now, now)
	c.hasLeft = true
	c.spread(c.selfID)
	sent := 0
	for slot, id := range c.addresses.memberAt {
		if m := c.members.get(id); id != 0 && m.State == Alive && sent < announcements {
			sent++
			c.send(slot, c.newDatagram())
		}
	}
}

// SendPayload sends another package's data to a member whose address is known: at most MaxPayload bytes, once, and they may be lost. The
// channel says whose data it is.
func (c *Core) SendPayload(now Time, to uint32, channel byte, data []byte) {
	c.now = max(c.now, now)
	if slot := c.SlotOf(to); slot >= 0 && !c.hasLeft {
		if d := c.newDatagram(); d.carried(channel, data) {
			c.transmit(slot, d)
		}
	}
}

// Quorum says whether more than half of the fleet is alive in this process's view, itself included, and it hears somebody.
func (c *Core) Quorum() bool {
	return 2*(1+c.members.alive) > c.cfg.FleetSize && (c.cfg.FleetSize == 1 || !c.isolation.hearsNothing(c.now))
}

// FleetSize is how many members the fleet is intended to have.
func (c *Core) FleetSize() int { return c.cfg.FleetSize }

// Address is the address of a slot, where addresses are learnt.
func (c *Core) Address(slot int) netip.AddrPort { return c.addresses.addresses[slot] }

// SlotOf is a member's slot, by its id; below 0 where that is not known.
func (c *Core) SlotOf(id uint32) int {
	if m := c.members.get(id); m != nil {
		return m.Slot
	}
	return -1
}

// View is the members as this process sees them, itself left out, by id.
func (c *Core) View() []Member { return c.members.members() }

// Version rises with each change of the view.
func (c *Core) Version() uint64 { return c.members.version }

// Digest is equal at processes whose views are equal, each counting itself as the others do.
func (c *Core) Digest() uint32 {
	self := member{Member: Member{ID: c.selfID, State: Alive, Incarnation: c.incarnation}}
	return c.members.digest ^ self.digest()
}

// Incarnation is this process's own.
func (c *Core) Incarnation() Incarnation { return c.incarnation }

// Counts are what was sent and received so far.
func (c *Core) Counts() Counts { return c.counts }
