package membership

import (
	"math/bits"
	"sort"
)

// woke takes back what the time in which this process heard nothing would have it conclude.
func (c *Core) woke(gap Time) {
	c.counts.Pauses++
	c.distrust = c.now + trustAfter
	c.lastHeard = c.now
	clear(c.probes)
	for _, id := range c.order {
		m := c.members[id]
		if m.State == Alive || m.State == Suspect {
			m.HeardByAny += gap
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
		case !p.asked && age > c.slow(c.cfg.ProbeTimeout):
			p.asked = true
			if m != nil && m.missed == 0 {
				c.miss(m, p.at)
			}
			c.askOthers(p.id, seq)
		case p.asked && age > 2*c.slow(c.cfg.ProbeTimeout):
			delete(c.probes, seq)
			if m == nil {
				break
			}
			if c.now-m.HeardByAny > c.cfg.ProbeTimeout && m.suspected == 0 && m.State == Alive && c.now >= c.distrust {
				m.suspected = c.now
				c.set(m, Suspect, "did not answer, directly or through others")
				c.spread(p.id)
			}
			if c.now-c.lastHeard > 2*c.cfg.ProbeInterval {
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
		unheard := c.now - m.HeardByAny
		switch {
		case c.now < c.distrust:
		case m.State == Suspect && unheard < c.cfg.ProbeInterval:
			m.suspected = 0
			c.set(m, Alive, "heard again")
		case m.State == Suspect && unheard > c.slow(c.cfg.UnreachableAfter) && c.now-m.suspected > patience:
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
