package membership

// refutationMargin is by how much later than its accuser this process must have heard a member, to contradict: ages are rounded and travel.
const refutationMargin = 50 * ms

// handleUpdate handles what one member gossips of another, or of this process.
func (c *Core) handleUpdate(u MemberUpdate) {
	if u.ID == c.selfID {
		c.handleSelfUpdate(u)
		return
	}
	m := c.members.get(u.ID)
	if m == nil {
		if u.State.ended() || u.State == Joining {
			return // an ended member, or one that nobody has heard, need not become known by gossip
		}
		m = c.members.add(u.ID, c.now)
	}
	if u.Incarnation < m.Incarnation && !c.cfg.IgnoreIncarnation {
		return
	}
	newer := u.Incarnation > m.Incarnation
	c.raiseIncarnation(m, u.Incarnation)
	ended := m.State.ended()
	switch {
	case u.State == Left:
		if !ended || newer {
			c.markLeft(m)
			c.spread(m.ID)
		}
	case ended && !newer && !c.cfg.IgnoreIncarnation:
		// Only a newer incarnation brings a member back.
	case u.State == Gone:
		c.handleReportedGone(m)
	case u.State != Joining:
		c.handleLivingUpdate(m, u, newer)
	}
}

// handleSelfUpdate refutes an accusation of this process. An incarnation newer than its own, as after its clock was set back, is exceeded too.
func (c *Core) handleSelfUpdate(u MemberUpdate) {
	accused := u.State == Suspect || u.State == Unreachable || u.State == Gone || u.State == Left && !c.hasLeft
	if u.Incarnation > c.incarnation || u.Incarnation == c.incarnation && accused {
		c.refute(u.Incarnation)
	}
}

// handleReportedGone agrees that a member is gone, unless somebody is known to have heard it lately or this process has just slept. Either
// way what is known here spreads, as a contradiction or not.
func (c *Core) handleReportedGone(m *member) {
	if c.now-m.HeardByAny > c.cfg.UnreachableAfter && c.isolation.maySuspect(c.now) {
		c.markGone(m, reasonGoneToOthers)
	}
	c.spread(m.ID)
}

// handleLivingUpdate is for a member that is alive, suspect or unreachable.
func (c *Core) handleLivingUpdate(m *member, u MemberUpdate, newer bool) {
	heardAt := c.now - Time(u.Age)*ms
	if newer && m.State.ended() {
		c.setState(m, Alive, reasonNewerIncarnation)
		m.HeardByAny = heardAt
		c.spread(m.ID)
	}
	if newer && u.State == Alive {
		c.spread(m.ID)
	}
	c.handleIndirectContact(m, heardAt)
	if m.State == Joining && c.isolation.maySuspect(c.now) {
		c.suspectNeverHeard(m, u.State)
	}
	if u.State != Alive {
		c.handleReportedSuspicion(m, u.State, heardAt)
	}
}

// suspectNeverHeard suspects a member that is known by gossip alone and that nobody has heard lately: it is not about to join.
func (c *Core) suspectNeverHeard(m *member, reported State) {
	if reported == Unreachable {
		m.suspectedAt = c.now
		c.markUnreachable(m, reasonUnreachableNeverHeard)
	} else {
		c.markSuspect(m, reasonNotHeardLately)
	}
}

// handleReportedSuspicion contradicts a suspicion where the member was heard since; otherwise it suspects too and probes for itself.
func (c *Core) handleReportedSuspicion(m *member, reported State, heardAt Time) {
	unheard := c.now - m.HeardByAny
	maySuspect := c.isolation.maySuspect(c.now)
	if unheard < c.cfg.UnreachableAfter && m.HeardByAny > heardAt+refutationMargin {
		c.spread(m.ID)
	} else if m.State == Alive && maySuspect && unheard > c.cfg.ProbeTimeout {
		c.markSuspect(m, reasonSuspectedByOthers)
		c.spread(m.ID)
		c.probeNow(m)
	}
	if reported == Unreachable && m.State == Suspect && unheard > c.cfg.UnreachableAfter && maySuspect {
		c.markUnreachable(m, reasonUnreachableToOthers)
		c.spread(m.ID)
	}
}
