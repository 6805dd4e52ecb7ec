package membership

// refutationMargin is by how much this process must have heard a member later than its accuser did, to contradict: ages are rounded.
const refutationMargin = 50 * ms

// handleUpdate handles what one member gossips of another, or of this process.
func (c *Core) handleUpdate(n MemberUpdate) {
	if n.ID == c.selfID {
		c.handleSelfUpdate(n)
		return
	}
	m := c.members.get(n.ID)
	if m == nil {
		if n.State.ended() || n.State == Joining {
			return // nothing is lost by not knowing such a member
		}
		m = c.members.add(n.ID, c.now)
	}
	if n.Incarnation < m.Incarnation && !c.cfg.IgnoreIncarnation {
		return
	}
	newer := n.Incarnation > m.Incarnation
	c.raiseIncarnation(m, n.Incarnation)
	ended := m.State.ended()
	switch {
	case n.State == Left:
		if !ended || newer {
			c.markLeft(m)
			c.spread(m.ID)
		}
	case ended && !newer && !c.cfg.IgnoreIncarnation:
		// Only a newer incarnation brings a member back.
	case n.State == Gone:
		c.handleGivenUp(m)
	case n.State != Joining:
		c.handleLivingUpdate(m, n, newer)
	}
}

// handleSelfUpdate refutes what others wrongly gossip of this process, and goes beyond a newer incarnation that they know.
func (c *Core) handleSelfUpdate(n MemberUpdate) {
	accused := n.State == Suspect || n.State == Unreachable || n.State == Gone || n.State == Left && !c.hasLeft
	if n.Incarnation > c.incarnation || n.Incarnation == c.incarnation && accused {
		c.refute(n.Incarnation)
	}
}

// handleGivenUp agrees that a member is gone, or contradicts by what is known here.
func (c *Core) handleGivenUp(m *member) {
	if c.now-m.HeardByAny > c.cfg.UnreachableAfter && c.isolation.mayAccuse(c.now) {
		c.markGone(m, "others say so, and nobody here has heard it")
	}
	c.spread(m.ID)
}

// handleLivingUpdate is for a member that is alive, suspect or unreachable.
func (c *Core) handleLivingUpdate(m *member, n MemberUpdate, newer bool) {
	heardAt := c.now - Time(n.Age)*ms
	if newer && m.State.ended() {
		c.setState(m, Alive, "a newer life is told")
		m.HeardByAny = heardAt
		c.spread(m.ID)
	}
	if newer && n.State == Alive {
		c.spread(m.ID)
	}
	c.handleIndirectContact(m, heardAt)
	if m.State == Joining && c.isolation.mayAccuse(c.now) {
		c.suspectUnseen(m, n.State)
	}
	if n.State != Alive {
		c.handleAccusation(m, n.State, heardAt)
	}
}

// suspectUnseen doubts a member that is known by gossip alone and that nobody has heard lately: it is not about to join.
func (c *Core) suspectUnseen(m *member, said State) {
	if said == Unreachable {
		m.suspectedAt = c.now
		c.markUnreachable(m, "others say so, and it was never heard here")
	} else {
		c.markSuspect(m, "others have not heard it of late, and it was never heard here")
	}
}

// handleAccusation contradicts a suspicion where the member was heard since; otherwise it suspects too and probes for itself.
func (c *Core) handleAccusation(m *member, said State, heardAt Time) {
	unheard := c.now - m.HeardByAny
	mayAccuse := c.isolation.mayAccuse(c.now)
	if unheard < c.cfg.UnreachableAfter && m.HeardByAny > heardAt+refutationMargin {
		c.spread(m.ID)
	} else if m.State == Alive && mayAccuse && unheard > c.cfg.ProbeTimeout {
		c.markSuspect(m, "others say that it does not answer")
		c.spread(m.ID)
		c.probeNow(m)
	}
	if said == Unreachable && m.State == Suspect && unheard > c.cfg.UnreachableAfter && mayAccuse {
		c.markUnreachable(m, "nobody has heard it, others say so too")
		c.spread(m.ID)
	}
}
