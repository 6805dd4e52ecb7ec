package membership

import (
	"cmp"
	"math"
	"slices"
)

// gossipItem is a member whose update, which is what this process knows about it, still has to be sent
// sendsLeft times.
type gossipItem struct {
	member    uint32 // member ID
	sendsLeft int
}

// gossipQueue holds the members whose updates go out with the next datagrams, the least often sent first.
type gossipQueue struct{ items []gossipItem }

// spread queues the update of the member id, or starts its count of sends again if it is queued. members
// is the number of other members in the view: epidemic broadcast needs O(log n) sends per process. The
// two added to it keep the logarithm at 1 or more.
func (q *gossipQueue) spread(id uint32, members int) {
	sends := 3 * int(math.Ceil(math.Log2(float64(members+2))))
	for i := range q.items {
		if q.items[i].member == id {
			q.items[i].sendsLeft = sends
			return
		}
	}
	q.items = append(q.items, gossipItem{id, sends})
}

// drain calls write for each queued member, the least often sent first, and removes those whose update
// has been sent often enough. write must add the update to a datagram and report whether it fitted.
func (q *gossipQueue) drain(write func(id uint32) bool) {
	slices.SortStableFunc(q.items, func(a, b gossipItem) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	remaining := q.items[:0]
	for _, item := range q.items {
		if write(item.member) {
			item.sendsLeft--
		}
		if item.sendsLeft > 0 {
			remaining = append(remaining, item)
		}
	}
	q.items = remaining
}

// spread queues what this process knows about a member for the next datagrams.
func (c *Core) spread(id uint32) { c.gossip.spread(id, len(c.members.ids)) }

// updateFor returns the current update about a known member or about this process.
func (c *Core) updateFor(id uint32) MemberUpdate {
	if id == c.selfID {
		s := Alive
		if c.hasLeft {
			s = Left
		}
		return MemberUpdate{ID: id, State: s, Incarnation: c.incarnation}
	}
	m := c.members.get(id)
	age := min((c.now-m.HeardByAny)/ms, math.MaxUint16)
	return MemberUpdate{ID: id, State: m.State, Incarnation: m.Incarnation, Age: uint16(max(0, age))}
}

// writeUpdate writes what is known about a member and reports whether it fitted. If addresses are learnt,
// it adds the member's address.
func (c *Core) writeUpdate(d *datagram, id uint32) bool {
	if !d.update(c.updateFor(id)) {
		return false
	}
	m := c.members.get(id)
	if m != nil && m.Slot >= 0 && m.Slot < len(c.addresses.addresses) && !m.State.ended() {
		d.address(id, c.addresses.addresses[m.Slot])
	}
	return true
}

// newDatagram returns a datagram with this process's header.
func (c *Core) newDatagram() *datagram {
	d := &datagram{}
	d.begin(header{fleet: c.fleet, sender: c.selfID, incarnation: c.incarnation, digest: c.Digest()}, MaxDatagramBytes-c.cfg.Overhead)
	return d
}

// send adds the unheard members and as much gossip as fits to a datagram, and sends it.
func (c *Core) send(slot int, d *datagram) {
	if d.fits(unheardHeaderLength + 4*maxUnheardListed) {
		d.unheard(c.members.unheard())
	}
	c.gossip.drain(func(id uint32) bool { return c.writeUpdate(d, id) })
	c.transmit(slot, d)
}

// transmit sends a datagram without adding to it, and counts it.
func (c *Core) transmit(slot int, d *datagram) {
	c.counts.Sent++
	c.counts.Bytes += d.length + c.cfg.Overhead
	c.effects.Send(slot, d.bytes())
}
