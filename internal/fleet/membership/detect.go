package membership

import "math/bits"

// suspicionStep is how long a suspicion lasts at least, for each doubling of the fleet and once more: gossip needs O(log n) rounds to reach
// those that have heard the suspect, and as many for their refutation.
const suspicionStep = 250 * ms

// minSuspicion is the least time that a member stays suspect in a view of a size.
func minSuspicion(members int) Time { return suspicionStep * Time(1+bits.Len(uint(members))) }

// probeNext probes the next slot in turn, also one at which no member is known: that is how members find each other.
func (c *Core) probeNext() {
	for range c.prober.slots {
		slot := c.prober.nextSlot()
		id := c.addresses.memberAt[slot]
		if m := c.members.get(id); m != nil && m.State.ended() && c.rng.IntN(turnsPerEndedProbe) > 0 {
			continue
		}
		var sequence uint32
		if id != 0 {
			sequence = c.prober.begin(id, c.now, nil)
		} else {
			sequence = c.prober.nextSequence()
		}
		d := c.newDatagram()
		d.ping(sequence)
		d.name(c.cfg.Name)
		c.send(slot, d)
		return
	}
}

// probeNow probes a member out of turn.
func (c *Core) probeNow(m *member) {
	if m.Slot >= 0 {
		c.sendProbe(m, nil)
	}
}

func (c *Core) sendProbe(m *member, requester *relay) {
	sequence := c.prober.begin(m.ID, c.now, requester)
	d := c.newDatagram()
	d.ping(sequence)
	c.send(m.Slot, d)
}

// expireProbes acts on the outstanding probes that took too long: first others are requested to probe the target, then it is suspected.
func (c *Core) expireProbes() {
	for _, sequence := range c.prober.sequences() {
		p := c.prober.outstanding[sequence]
		age := c.now - p.sentAt
		timeout := c.prober.health.extend(c.cfg.ProbeTimeout)
		switch {
		case p.relay != nil:
			if age > relayTimeout {
				delete(c.prober.outstanding, sequence)
			}
		case !p.indirect && age > timeout:
			c.probeUnanswered(p, sequence)
		case p.indirect && age > 2*timeout:
			delete(c.prober.outstanding, sequence)
			c.indirectProbesFailed(p)
		}
	}
}

// probeUnanswered has others probe a member that did not answer this process.
func (c *Core) probeUnanswered(p *probe, sequence uint32) {
	p.indirect = true
	if m := c.members.get(p.target); m != nil && m.unansweredSince == 0 {
		c.members.setUnanswered(m, p.sentAt)
	}
	c.requestIndirectProbes(relayed{sequence: sequence, target: p.target})
}

// requestIndirectProbes has some members that are heard, drawn at random, probe one that did not answer.
func (c *Core) requestIndirectProbes(r relayed) {
	var candidates []int
	for slot, id := range c.addresses.memberAt {
		if m := c.members.get(id); id != 0 && id != r.target && m.State == Alive && m.unansweredSince == 0 {
			candidates = append(candidates, slot)
		}
	}
	for range min(indirectProbes, len(candidates)) {
		i := c.rng.IntN(len(candidates))
		d := c.newDatagram()
		d.pingRequest(r)
		c.send(candidates[i], d)
		candidates = append(candidates[:i], candidates[i+1:]...)
	}
}

// indirectProbesFailed suspects a member that answered nobody, unless somebody has heard it meanwhile.
func (c *Core) indirectProbesFailed(p *probe) {
	m := c.members.get(p.target)
	if m == nil {
		return
	}
	unheard := c.now - m.HeardByAny
	if unheard > c.cfg.ProbeTimeout && m.suspectedAt == 0 && m.State == Alive && c.isolation.maySuspect(c.now) {
		c.markSuspect(m, reasonNoAnswer)
		c.spread(m.ID)
	}
	if c.now-c.isolation.lastHeard > 2*c.cfg.ProbeInterval {
		c.prober.health.degrade() // nothing arrives at all: the fault may be here
	}
}

// reviewSuspectOrUnreachable moves suspect and unreachable members to their next state once their time has passed.
func (c *Core) reviewSuspectOrUnreachable() {
	if !c.Quorum() {
		c.isolation.lastMinority = c.now
	}
	for _, id := range c.members.ids {
		if c.members.suspectOrUnreachable == 0 || !c.isolation.maySuspect(c.now) {
			return
		}
		switch m := c.members.get(id); m.State {
		case Suspect:
			c.reviewSuspect(m)
		case Unreachable:
			c.reviewUnreachable(m)
		}
	}
}

func (c *Core) reviewSuspect(m *member) {
	unheard := c.now - m.HeardByAny
	switch {
	case unheard < c.cfg.ProbeInterval:
		c.markAlive(m, reasonHeardAgain)
	case unheard <= c.prober.health.extend(c.cfg.UnreachableAfter) || c.now-m.suspectedAt <= minSuspicion(len(c.members.ids)):
		// it still has time to refute the suspicion
	case c.isolation.hearsNothing(c.now):
		// Not spread: the others must not follow a process that may be the one cut off.
		c.markUnreachable(m, reasonIsolated)
	default:
		c.markUnreachable(m, reasonHeardByNobody)
		c.spread(m.ID)
	}
}

// reviewUnreachable gives a member up that has been unreachable for long while this process saw a majority alive. No vote is taken: one process
// decides, and a process in a minority must not, as it may be on the side cut off.
func (c *Core) reviewUnreachable(m *member) {
	if c.now-max(m.stateSince, c.isolation.lastMinority) > c.cfg.GoneAfter {
		c.markGone(m, reasonUnreachableTooLong)
		c.spread(m.ID)
	}
}

// markAlive ends a suspicion.
func (c *Core) markAlive(m *member, reason ChangeReason) {
	m.suspectedAt = 0
	c.setState(m, Alive, reason)
}

// markSuspect begins a suspicion, which the member may refute for minSuspicion.
func (c *Core) markSuspect(m *member, reason ChangeReason) {
	m.suspectedAt = c.now
	c.setState(m, Suspect, reason)
}

func (c *Core) markUnreachable(m *member, reason ChangeReason) { c.setState(m, Unreachable, reason) }

func (c *Core) markGone(m *member, reason ChangeReason) { c.setState(m, Gone, reason) }

func (c *Core) markLeft(m *member) { c.setState(m, Left, reasonAnnouncedShutdown) }

// refute answers an accusation of this process with an incarnation newer than the accused one.
func (c *Core) refute(accused Incarnation) {
	c.incarnation = accused + 1
	c.counts.Refutations++
	c.spread(c.selfID)
}

// setState changes a member's state and reports it.
func (c *Core) setState(m *member, to State, reason ChangeReason) {
	from := m.State
	if from == to {
		return
	}
	c.members.setState(m, to, c.now)
	c.effects.Changed(Change{m.Name, m.ID, from, to, m.Incarnation, c.members.version, reason})
}

// raiseIncarnation records a member's newer incarnation, and reports a restart.
func (c *Core) raiseIncarnation(m *member, to Incarnation) {
	if to == m.Incarnation || to < m.Incarnation && !c.cfg.IgnoreIncarnation {
		return
	}
	if restarted := c.members.setIncarnation(m, to); restarted {
		c.effects.Changed(Change{m.Name, m.ID, m.State, m.State, to, c.members.version, reasonRestarted})
	}
}
