package membership

// refutationMargin is how much later than reported a member must have been heard, for this process to
// contradict a reported suspicion. Reported ages are rounded, and they do not include the time that the
// datagram travels.
const refutationMargin = 50 * ms

// handleUpdate handles what a member gossips about another member, itself, or this process.
func (c *Core) handleUpdate(u MemberUpdate) {
	if u.ID == c.selfID {
		c.handleSelfUpdate(u)
		return
	}
	m := c.members.get(u.ID)
	if m == nil {
		if u.State.ended() || u.State == Joining {
			return // members that have ended or that no process has heard need not become known by gossip
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

// handleSelfUpdate refutes a report that this process is suspect, unreachable or ended. It also raises
// the incarnation above a reported newer one, as after this process's clock was set back.
func (c *Core) handleSelfUpdate(u MemberUpdate) {
	mustRefute := u.State == Suspect || u.State == Unreachable || u.State == Gone || u.State == Left && !c.hasLeft
	if u.Incarnation > c.incarnation || u.Incarnation == c.incarnation && mustRefute {
		c.refute(u.Incarnation)
	}
}

// handleReportedGone handles a report that a member is gone. It marks the member as gone, unless a process is
// known to have heard it within Config.UnreachableAfter or this process was just paused. In each case it
// spreads the resulting state, which may contradict the report.
func (c *Core) handleReportedGone(m *member) {
	if c.now-m.HeardByAny > c.cfg.UnreachableAfter && c.isolation.maySuspect(c.now) {
		c.markGone(m, reasonGoneToOthers)
	}
	c.spread(m.ID)
}

// handleLivingUpdate handles an update that reports a member as alive, suspect or unreachable. newer reports
// whether the update has a newer incarnation than the one known before.
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

// suspectNeverHeard handles a member that is known only by gossip and that no process has heard lately, so
// that it is unlikely to be joining. It marks the member as unreachable if others report that, and
// otherwise as suspect.
func (c *Core) suspectNeverHeard(m *member, reported State) {
	if reported == Unreachable {
		m.suspectedAt = c.now
		c.markUnreachable(m, reasonUnreachableNeverHeard)
	} else {
		c.markSuspect(m, reasonNotHeardLately)
	}
}

// handleReportedSuspicion handles a report that a member is suspect or unreachable. It contradicts the
// report if the member was heard since; otherwise this process suspects the member, too, and probes it. It
// marks a suspect as unreachable if that is reported and no process has heard the member for
// Config.UnreachableAfter.
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
