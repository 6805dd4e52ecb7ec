package rules

// A transition is a change of the coordinator's state that takes effect once the group has stored the new state: nobody acts by what a next
// coordinator would not know.
type transition interface {
	commit(k *Publisher)
	// abort leaves the state as it was: the group has not confirmed that it stores the new one.
	abort(k *Publisher)
}

// pendingTransition is the transition that the group is storing.
type pendingTransition struct {
	sequence  uint64 // of the last checkpoint
	next      transition
	startedAt Time
}

// begin has the group store a state, and the transition to it wait for that.
func (c *Publisher) begin(now Time, state []byte, t transition) {
	c.pending.sequence++
	c.pending.next, c.pending.startedAt = t, now
	if err := c.owner.StoreCheckpoint(c.pending.sequence, state); err != nil {
		c.pending.next = nil
		t.abort(c)
	}
}

// CheckpointStored commits or aborts the pending transition.
func (c *Publisher) CheckpointStored(now Time, sequence uint64, stored bool) {
	if t := c.pending.next; t != nil && sequence == c.pending.sequence {
		c.pending.next = nil
		if stored {
			t.commit(c)
		} else {
			t.abort(c)
		}
	}
	c.Step(now)
}

// abortLate aborts a transition that the group has not answered for: the answer may be lost.
func (c *Publisher) abortLate(now Time) {
	if t := c.pending.next; t != nil && now-c.pending.startedAt > c.AgreeWithin {
		c.pending.next = nil
		t.abort(c)
	}
}

// staging makes a version the next one.
type staging struct {
	startedAt Time
	version   *Version
	audit     []AuditEntry
	proposals []*proposal
}

func (c *Publisher) stage(s *staging) {
	c.proposals.staged = s.proposals
	c.begin(s.startedAt, c.encodeCheckpoint(c.versions.active, s.version, s.audit, c.versions.history), s)
}

func (s *staging) commit(k *Publisher) {
	k.versions.stage(s.version, s.startedAt)
	k.audit.staged = s.audit
	k.leases.clearFaults()
	k.notifyMembers()
}

func (s *staging) abort(k *Publisher) {
	k.proposals.staged = nil
	replyAll(s.proposals, "unknown: the group has not said whether it keeps it; show tells")
}

// activation makes the staged version the active one.
type activation struct {
	startedAt Time
	history   [][]byte
}

func (c *Publisher) activate(now Time) {
	a := &activation{now, c.versions.historyAfter(c.versions.staged)}
	c.begin(now, c.encodeCheckpoint(c.versions.staged, nil, c.audit.staged, a.history), a)
}

func (a *activation) commit(k *Publisher) {
	proposals := k.proposals.staged
	k.versions.activate(a.history)
	k.audit.active = k.audit.staged
	k.proposals.staged = nil
	transitional := k.versions.active.transitional()
	if transitional {
		k.stageReassigned(a.startedAt, proposals)
	}
	k.notifyMembers()
	if !transitional {
		for _, p := range proposals {
			p.reply(k.summary(a.startedAt))
		}
	}
}

// abort does nothing: the same state is stored at a later step.
func (a *activation) abort(*Publisher) {}

// stageReassigned follows a transitional version, by which nobody uses what was reassigned, with one that gives it to its new owner.
func (c *Publisher) stageReassigned(now Time, proposals []*proposal) {
	v := c.versions.active.next()
	if err := v.finish(); err == nil {
		c.stage(&staging{now, v, c.audit.active, proposals})
	}
}

// abandonment drops the staged version.
type abandonment struct {
	proposals []*proposal
	reason    string
}

func (c *Publisher) abandon(now Time, reason string) {
	state := c.encodeCheckpoint(c.versions.active, nil, c.audit.active, c.versions.history)
	c.begin(now, state, &abandonment{c.proposals.staged, reason})
}

// commit rejects a single proposal; of several each is tried once more by itself, so that one that can't be used holds up no other.
func (a *abandonment) commit(k *Publisher) {
	k.versions.staged, k.proposals.staged, k.audit.staged = nil, nil, k.audit.active
	if len(a.proposals) > 1 {
		k.proposals.retryAlone(a.proposals)
		return
	}
	for _, p := range a.proposals {
		p.alone = false
		k.audit.reject(p.Change, p.proposer, a.reason)
		p.reply(a.reason)
	}
}

// abort does nothing: Step abandons the version again.
func (a *abandonment) abort(*Publisher) {}
