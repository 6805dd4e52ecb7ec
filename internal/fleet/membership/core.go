package membership

import (
	"math/rand/v2"
	"net/netip"
)

// Effects is implemented by the caller of Core. Core calls it to send datagrams and to report changes.
type Effects interface {
	// Send sends a datagram to the address with the number slot. datagram is valid only during the call.
	Send(slot int, datagram []byte)
	// Changed is called after each change of a member's state and after each restart of a member.
	Changed(c Change)
}

// PayloadReceiver may be implemented by an Effects to receive the data that another process has sent
// with Core.SendPayload.
type PayloadReceiver interface {
	// PayloadReceived is called with the sender's member ID. data is valid only during the call.
	PayloadReceived(from uint32, channel byte, data []byte)
}

// Core runs the membership protocol for one process. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	effects     Effects
	rng         *rand.Rand
	selfID      uint32 // hash of this process's name
	fleet       uint32 // hash of the fleet's name
	incarnation Incarnation
	now         Time // latest time that the caller has passed, on its monotonic clock
	hasLeft     bool // whether Leave was called

	members     memberTable
	addresses   addressBook
	prober      prober
	gossip      gossipQueue
	antiEntropy antiEntropy
	isolation   isolation

	lastRejection Time // when a rejection was last sent; zero if never
	counts        Counts
}

// New returns a Core for one process. It returns an error if the configuration is invalid.
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

// Tick sends probes and updates the states of members. The caller must call it about every 50 ms; wall
// is the wall clock, in Unix nanoseconds. A gap of more than minPauseIntervals probe intervals between two
// calls, by either clock, shows that the process was paused.
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

// pauseThreshold returns the gap between two ticks above which this process was paused.
func (c *Core) pauseThreshold() Time { return minPauseIntervals * c.cfg.ProbeInterval }

// resumeAfterPause discounts gap, the time since the last tick, in which this process was paused: that it
// heard nothing meanwhile proves nothing about the others. It drops the outstanding probes, marks the
// suspects as alive and raises this process's incarnation.
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
	// A newer incarnation refutes what others may have concluded during the pause, even before this
	// process hears of it.
	c.incarnation++
	c.spread(c.selfID)
	c.prober.nextProbe = c.now
}

// Leave announces the graceful shutdown of this process to some alive members, whose gossip spreads it.
// Afterwards Tick probes no more slots, and SendPayload drops its data.
func (c *Core) Leave(now Time) {
	const maxAnnouncements = 4 * maxIndirectProbes // maximum number of datagrams; gossip reaches the rest
	c.now = max(c.now, now)
	c.hasLeft = true
	c.spread(c.selfID)
	sent := 0
	for slot, id := range c.addresses.memberAt {
		if m := c.members.get(id); id != 0 && m.State == Alive && sent < maxAnnouncements {
			sent++
			c.send(slot, c.newDatagram())
		}
	}
}

// SendPayload sends data of another package, identified by channel, to the member with the ID to. data
// may have at most MaxPayload bytes. It is sent once and may be lost. SendPayload drops it if it is too
// long, the member's slot is not known, or this process has left.
func (c *Core) SendPayload(now Time, to uint32, channel byte, data []byte) {
	c.now = max(c.now, now)
	if slot := c.SlotOf(to); slot >= 0 && !c.hasLeft {
		if d := c.newDatagram(); d.payload(channel, data) {
			c.transmit(slot, d)
		}
	}
}

// Quorum reports whether this process sees more than half of the fleet alive or suspect, itself included,
// and has received a datagram within isolatedAfter. A fleet of one always has a quorum.
func (c *Core) Quorum() bool {
	return 2*(1+c.members.alive) > c.cfg.FleetSize && (c.cfg.FleetSize == 1 || !c.isolation.hearsNothing(c.now))
}

// FleetSize returns the intended number of members.
func (c *Core) FleetSize() int { return c.cfg.FleetSize }

// Address returns the address of a slot. It may be called only if Config.Seeds is set.
func (c *Core) Address(slot int) netip.AddrPort { return c.addresses.addresses[slot] }

// SlotOf returns the slot of the member with the given ID, or -1 if the slot is not known.
func (c *Core) SlotOf(id uint32) int {
	if m := c.members.get(id); m != nil {
		return m.Slot
	}
	return -1
}

// View returns the other members as this process sees them, sorted by ID. Member.Unheard is valid only until
// the next call of Receive or ReceiveFrom.
func (c *Core) View() []Member { return c.members.members() }

// Version returns a number that rises with each change of the view.
func (c *Core) Version() uint64 { return c.members.version }

// Digest returns a hash of the view, to which it adds this process itself. Processes with equal views have
// equal digests.
func (c *Core) Digest() uint32 {
	self := member{Member: Member{ID: c.selfID, State: Alive, Incarnation: c.incarnation}}
	return c.members.digest ^ self.digest()
}

// Incarnation returns the incarnation of this process.
func (c *Core) Incarnation() Incarnation { return c.incarnation }

// Counts returns the counts since New.
func (c *Core) Counts() Counts { return c.counts }
