package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
)

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
	if gap := now - c.lastTick; c.started && gap > 4*c.cfg.ProbeInterval && !c.cfg.IgnorePause {
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
	if m != nil && m.Slot >= 0 && m.Slot != slot && r.life.Start() != m.Incarnation.Start() && now-m.HeardHere < c.cfg.UnreachableAfter && m.State == Alive {
		c.counts.Clashes++
		c.refuse(slot, c.fleet, refusedName)
		return fmt.Errorf("membership: the name of %08x is in use by a live member", r.from)
	}
	if m != nil && r.life < m.Incarnation && !c.cfg.IgnoreIncarnation {
		// An earlier life, or one whose clock was set back: if it is the one that runs, it raises its own once it hears this.
		c.counts.OldIncarnation++
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

// refuse tells a process why it is not taken in, once a second at most: whoever it is can't have this one send without end.
func (c *Core) refuse(slot int, fleet uint32, why byte) {
	if slot < 0 || slot >= len(c.slots) || c.now-c.refusedAt < sec && c.refusedAt > 0 {
		return
	}
	c.refusedAt = c.now
	d := c.datagram()
	d.begin(fleet, c.id, c.life, c.Digest(), MaxDatagram-c.cfg.Overhead)
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
func (c *Core) heard(m *member, slot int, life Incarnation) {
	newer := life > m.Incarnation
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
	m.HeardHere, m.HeardByAny, m.suspected = c.now, c.now, 0
	c.set(m, Alive, "heard")
}

// live takes in a member's newer life.
func (c *Core) live(m *member, life Incarnation) {
	if life <= m.Incarnation && !(c.cfg.IgnoreIncarnation && life != m.Incarnation) {
		return
	}
	c.digest ^= m.mark()
	again := m.Incarnation != 0 && life.Start() != m.Incarnation.Start()
	m.Incarnation = life
	c.digest ^= m.mark()
	if again {
		c.version++
		c.fx.Changed(Change{m.Name, m.ID, m.State, m.State, life, c.version, "a new life"})
	}
}
