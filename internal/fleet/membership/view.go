package membership

import (
	"net/netip"
)

// FleetSize is how many members the fleet is meant to have.
func (c *Core) FleetSize() int { return c.cfg.FleetSize }

// Address is the address of a slot, where members come and go.
func (c *Core) Address(slot int) netip.AddrPort { return c.where[slot] }

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
	return 2*(1+c.alive) > c.cfg.FleetSize && (c.cfg.FleetSize == 1 || c.now-c.lastHeard <= deafAfter)
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
	self := member{Member: Member{ID: c.id, State: Alive, Incarnation: c.life}}
	return c.digest ^ self.mark()
}

// Incarnation is this process's own.
func (c *Core) Incarnation() Incarnation { return c.life }

// Counts are what was done and met so far.
func (c *Core) Counts() Counts { return c.counts }
