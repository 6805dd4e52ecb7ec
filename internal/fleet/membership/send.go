package membership

import (
	"math"
	"net/netip"
	"sort"
)

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
	d.begin(c.fleet, c.id, c.life, c.Digest(), MaxDatagram-c.cfg.Overhead)
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
func (c *Core) about(id uint32) MemberNews {
	if id == c.id {
		s := Alive
		if c.left {
			s = Left
		}
		return MemberNews{ID: id, State: s, Incarnation: c.life}
	}
	m := c.members[id]
	age := min((c.now-m.HeardByAny)/ms, math.MaxUint16)
	return MemberNews{ID: id, State: m.State, Incarnation: m.Incarnation, Age: uint16(max(0, age))}
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
