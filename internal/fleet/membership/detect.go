package membership

import "math/bits"

// suspicionStep is the unit of minSuspicion: a suspicion lasts at least one step, plus one for each
// doubling of the fleet. Gossip needs O(log n) rounds to reach the processes that have heard the
// suspect, and as many for their refutation.
const suspicionStep = 250 * ms

// minSuspicion returns the minimum time for which a member stays suspect. members is the number of other
// members in the view.
func minSuspicion(members int) Time { return suspicionStep * Time(1+bits.Len(uint(members))) }

// probeNext probes the next slot (number of an address) in turn, but skips most turns of members
// that have left or are gone. It also probes slots at which no member is known, so that members
// find each other.
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

// probeNow probes a member out of turn if its slot is known.
func (c *Core) probeNow(m *member) {
	if m.Slot >= 0 {
		c.sendProbe(m, nil)
	}
}

// sendProbe probes a member, whose slot must be known, on behalf of requester, or for this process itself
// if requester is nil.
func (c *Core) sendProbe(m *member, requester *probeRequester) {
	sequence := c.prober.begin(m.ID, c.now, requester)
	d := c.newDatagram()
	d.ping(sequence)
	c.send(m.Slot, d)
}

// expireProbes handles the outstanding probes that have timed out. For a probe of this process, it first
// requests indirect probes of the target, and after twice the timeout suspects the target. It drops a probe
// on behalf of another member after requestedProbeTimeout.
func (c *Core) expireProbes() {
	for _, sequence := range c.prober.sequences() {
		p := c.prober.outstanding[sequence]
		age := c.now - p.sentAt
		timeout := c.prober.health.extend(c.cfg.ProbeTimeout)
		switch {
		case p.requester != nil:
			if age > requestedProbeTimeout {
				delete(c.prober.outstanding, sequence)
			}
		case !p.indirectRequested && age > timeout:
			c.handleProbeTimeout(p, sequence)
		case p.indirectRequested && age > 2*timeout:
			delete(c.prober.outstanding, sequence)
			c.handleIndirectProbeTimeout(p)
		}
	}
}

// handleProbeTimeout records that a member did not answer this process, and requests indirect probes of it.
func (c *Core) handleProbeTimeout(p *probe, sequence uint32) {
	p.indirectRequested = true
	if m := c.members.get(p.target); m != nil && m.unansweredSince == 0 {
		c.members.setUnanswered(m, p.sentAt)
	}
	c.requestIndirectProbes(indirectProbe{sequence: sequence, target: p.target})
}

// requestIndirectProbes asks up to maxIndirectProbes randomly chosen members that answer this process to
// probe one that did not.
func (c *Core) requestIndirectProbes(request indirectProbe) {
	var candidates []int
	for slot, id := range c.addresses.memberAt {
		if m := c.members.get(id); id != 0 && id != request.target && m.State == Alive && m.unansweredSince == 0 {
			candidates = append(candidates, slot)
		}
	}
	for range min(maxIndirectProbes, len(candidates)) {
		i := c.rng.IntN(len(candidates))
		d := c.newDatagram()
		d.pingRequest(request)
		c.send(candidates[i], d)
		candidates = append(candidates[:i], candidates[i+1:]...)
	}
}

// handleIndirectProbeTimeout suspects a member that answered neither this process nor those asked to
// probe it, unless a process is known to have heard it within Config.ProbeTimeout. If this process has
// heard nobody for two probe intervals, it also lengthens its own timeouts.
func (c *Core) handleIndirectProbeTimeout(p *probe) {
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
		c.prober.health.degrade() // no datagram has arrived lately: the fault may be at this process
	}
}

// reviewSuspectOrUnreachable records whether this process lacks a majority, and moves suspect and unreachable
// members to their next state when it is due.
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

// reviewSuspect marks a suspect as alive if a process has just heard it, and as unreachable if it was given
// enough time to refute the suspicion.
func (c *Core) reviewSuspect(m *member) {
	unheard := c.now - m.HeardByAny
	switch {
	case unheard < c.cfg.ProbeInterval:
		c.markAlive(m, reasonHeardAgain)
	case unheard <= c.prober.health.extend(c.cfg.UnreachableAfter) || c.now-m.suspectedAt <= minSuspicion(len(c.members.ids)):
		// The member still has time to refute the suspicion.
	case c.isolation.hearsNothing(c.now):
		// This change is not gossiped: the others must not follow a process that may itself be cut off.
		c.markUnreachable(m, reasonIsolated)
	default:
		c.markUnreachable(m, reasonHeardByNobody)
		c.spread(m.ID)
	}
}

// reviewUnreachable marks a member as gone that has been unreachable for GoneAfter while this process saw
// a majority alive. There is no vote: a single process decides. A process in a minority must not decide,
// as it may be on the side that is cut off.
func (c *Core) reviewUnreachable(m *member) {
	if c.now-max(m.stateSince, c.isolation.lastMinority) > c.cfg.GoneAfter {
		c.markGone(m, reasonUnreachableTooLong)
		c.spread(m.ID)
	}
}

// markAlive marks a member as alive and ends its suspicion.
func (c *Core) markAlive(m *member, reason ChangeReason) {
	m.suspectedAt = 0
	c.setState(m, Alive, reason)
}

// markSuspect starts a suspicion, which the member can refute for at least minSuspicion.
func (c *Core) markSuspect(m *member, reason ChangeReason) {
	m.suspectedAt = c.now
	c.setState(m, Suspect, reason)
}

func (c *Core) markUnreachable(m *member, reason ChangeReason) { c.setState(m, Unreachable, reason) }

func (c *Core) markGone(m *member, reason ChangeReason) { c.setState(m, Gone, reason) }

func (c *Core) markLeft(m *member) { c.setState(m, Left, reasonAnnouncedShutdown) }

// refute raises this process's incarnation above the reported one and gossips it, to refute what others
// report about this process.
func (c *Core) refute(reported Incarnation) {
	c.incarnation = reported + 1
	c.counts.Refutations++
	c.spread(c.selfID)
}

// setState changes a member's state and reports the change. It does nothing if the state is the same.
func (c *Core) setState(m *member, to State, reason ChangeReason) {
	from := m.State
	if from == to {
		return
	}
	c.members.setState(m, to, c.now)
	c.effects.Changed(Change{m.Name, m.ID, from, to, m.Incarnation, c.members.version, reason})
}

// raiseIncarnation records a newer incarnation of a member and reports the change if the member has
// restarted. It ignores an incarnation that is not newer.
func (c *Core) raiseIncarnation(m *member, to Incarnation) {
	if to == m.Incarnation || to < m.Incarnation && !c.cfg.IgnoreIncarnation {
		return
	}
	if restarted := c.members.setIncarnation(m, to); restarted {
		c.effects.Changed(Change{m.Name, m.ID, m.State, m.State, to, c.members.version, reasonRestarted})
	}
}
