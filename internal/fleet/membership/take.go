package membership

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
		if o, takes := c.fx.(Carrier); takes {
			o.CarriedData(from.ID, p.why, p.data)
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
	m.HeardByAny = max(m.HeardByAny, at)
	fresh := c.now-m.HeardByAny < c.cfg.UnreachableAfter/2
	if fresh && (m.State == Suspect || m.State == Unreachable || m.State == Joining) {
		m.suspected = 0
		c.set(m, Alive, "another has heard it")
	}
}

// told takes news of a member.
func (c *Core) told(n MemberNews) {
	if n.ID == c.id {
		if n.Incarnation > c.life || n.Incarnation == c.life && (n.State == Suspect || n.State == Unreachable || n.State == Gone || n.State == Left && !c.left) {
			c.life = n.Incarnation + 1
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
	if n.Incarnation < m.Incarnation && !c.cfg.IgnoreIncarnation {
		return
	}
	newer := n.Incarnation > m.Incarnation
	c.live(m, n.Incarnation)
	at := c.now - Time(n.Age)*ms
	ended := m.State == Left || m.State == Gone
	switch {
	case n.State == Left:
		if !ended || newer {
			c.set(m, Left, "said so")
			c.spread(m.ID)
		}
	case ended && !newer && !c.cfg.IgnoreIncarnation:
	case n.State == Gone:
		if c.now-m.HeardByAny > c.cfg.UnreachableAfter && c.now >= c.distrust {
			c.set(m, Gone, "others say so, and nobody here has heard it")
		}
		c.spread(m.ID) // or that it was heard
	case n.State == Joining:
	default:
		if newer && ended {
			c.set(m, Alive, "a newer life is told")
			m.HeardByAny = at
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
		if c.now-m.HeardByAny < c.cfg.UnreachableAfter && m.HeardByAny > at+50*ms {
			c.spread(m.ID)
		} else if m.State == Alive && c.now >= c.distrust && c.now-m.HeardByAny > c.cfg.ProbeTimeout {
			m.suspected = c.now
			c.set(m, Suspect, "others say that it does not answer")
			c.spread(m.ID)
			c.ask(m)
		}
		if n.State == Unreachable && m.State == Suspect && c.now-m.HeardByAny > c.cfg.UnreachableAfter && c.now >= c.distrust {
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
