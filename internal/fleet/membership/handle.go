package membership

// handlePart handles one part of a datagram that the member from has sent from slot, the
// number of its address.
func (c *Core) handlePart(from *member, slot int, p part) {
	switch p.kind() {
	case partPing:
		c.handlePing(from, slot, decodeSequence(p))
	case partAck:
		c.handleAck(from, decodeSequence(p))
	case partPingRequest:
		c.handlePingRequest(slot, decodeIndirectProbe(p))
	case partIndirectAck:
		c.handleIndirectAck(decodeIndirectProbe(p))
	case partUpdate:
		c.handleUpdate(decodeUpdate(p))
	case partUnheard:
		from.Unheard = decodeUnheard(p, from.Unheard[:0])
		from.UnheardAt = c.now
	case partAddress:
		c.handleAddress(decodeAddress(p))
	case partPayload:
		if receiver, ok := c.effects.(PayloadReceiver); ok {
			received := decodePayload(p)
			receiver.PayloadReceived(from.ID, received.channel, received.data)
		}
	case partName:
		c.handleName(from, decodeName(p))
	case partViewRequest:
		c.sendView(slot)
	}
}

// handlePing answers a probe.
func (c *Core) handlePing(from *member, slot int, sequence uint32) {
	d := c.newDatagram()
	d.ack(sequence)
	if from.Name == "" {
		d.name(c.cfg.Name) // the sender may not know this process's name either
	}
	c.send(slot, d)
}

// handleAck completes a probe. If another member requested the probe, handleAck reports the answer to
// that member.
func (c *Core) handleAck(from *member, sequence uint32) {
	p := c.prober.completeProbe(sequence, from.ID)
	if p == nil || p.requester == nil {
		return
	}
	d := c.newDatagram()
	d.indirectAck(indirectProbe{sequence: p.requester.sequence, target: p.target})
	c.send(p.requester.slot, d)
}

// handlePingRequest probes the requested target on behalf of the member at slot, if the target's slot is
// known.
func (c *Core) handlePingRequest(slot int, request indirectProbe) {
	if m := c.members.get(request.target); m != nil && m.Slot >= 0 {
		c.sendProbe(m, &probeRequester{slot: slot, sequence: request.sequence})
	}
}

// handleIndirectAck completes a probe of this process whose target has answered another member.
func (c *Core) handleIndirectAck(ack indirectProbe) {
	if !c.prober.completeIndirectProbe(ack.sequence, ack.target) {
		return
	}
	if m := c.members.get(ack.target); m != nil {
		c.handleIndirectContact(m, c.now)
	}
}

// handleAddress learns the address of a member that is known only by gossip, and probes the member.
func (c *Core) handleAddress(a memberAddress) {
	m := c.members.get(a.member)
	if m == nil || m.Slot >= 0 || !c.addresses.learnsAddresses() || m.State.ended() {
		return
	}
	if slot := c.learnSlot(a.address); slot >= 0 {
		c.addresses.assign(m, slot)
		c.probeNow(m)
	}
}

// handleName records the name of a member if its hash is the member's ID.
func (c *Core) handleName(from *member, name []byte) {
	if from.Name != "" || len(name) > maxNameLength {
		return
	}
	if s := string(name); ID(s) == from.ID {
		from.Name = s
	}
}

// handleContact records that this process has heard a member at slot, and marks the member as alive. If the
// member has left or is gone, only a newer incarnation has this effect.
func (c *Core) handleContact(m *member, slot int, incarnation Incarnation) {
	newer := incarnation > m.Incarnation
	c.raiseIncarnation(m, incarnation)
	if m.State.ended() && !newer {
		// The member must learn that it is seen as gone, so that it refutes this with a newer incarnation.
		if m.State == Gone {
			c.spread(m.ID)
		}
		return
	}
	c.addresses.release(m, slot)
	c.addresses.assign(m, slot)
	c.members.setUnanswered(m, 0)
	m.HeardHere, m.HeardByAny = c.now, c.now
	c.markAlive(m, reasonHeard)
}

// handleIndirectContact records that another process heard a member at the given time. It marks the
// member as alive if it was last heard less than half of Config.UnreachableAfter ago, unless it has left
// or is gone.
func (c *Core) handleIndirectContact(m *member, at Time) {
	m.HeardByAny = max(m.HeardByAny, at)
	fresh := c.now-m.HeardByAny < c.cfg.UnreachableAfter/2
	if fresh && (m.State == Suspect || m.State == Unreachable || m.State == Joining) {
		c.markAlive(m, reasonHeardByOther)
	}
}
