package rules

// A transition is a change of the publisher's state that takes effect once the group has stored the new state: nobody acts by a version that the
// next publisher would not know.
type transition interface {
	commit(p *Publisher)
	// abort leaves the state as it was: the group has not confirmed that it stores the new one.
	abort(p *Publisher)
}

// pendingTransition is the transition that the group is storing.
type pendingTransition struct {
	checkpointNumber uint64 // of the last checkpoint
	next             transition
	startedAt        Time
}

// beginTransition has the group store a state; the transition to it waits for the confirmation.
func (p *Publisher) beginTransition(now Time, state []byte, t transition) {
	p.pending.checkpointNumber++
	p.pending.next, p.pending.startedAt = t, now
	if err := p.owner.StoreCheckpoint(p.pending.checkpointNumber, state); err != nil {
		p.pending.next = nil
		t.abort(p)
	}
}

// CheckpointStored commits or aborts the pending transition.
func (p *Publisher) CheckpointStored(now Time, checkpointNumber uint64, stored bool) {
	if t := p.pending.next; t != nil && checkpointNumber == p.pending.checkpointNumber {
		p.pending.next = nil
		if stored {
			t.commit(p)
		} else {
			t.abort(p)
		}
	}
	p.Step(now)
}

// abortTimedOut aborts a transition that the group has not confirmed in time: the answer may be lost.
func (p *Publisher) abortTimedOut(now Time) {
	if t := p.pending.next; t != nil && now-p.pending.startedAt > p.LeaseDuration {
		p.pending.next = nil
		t.abort(p)
	}
}

// staging makes a version the next one.
type staging struct {
	startedAt Time
	version   *Version
	audit     []AuditEntry
	proposals []*proposal
}

func (p *Publisher) stage(s *staging) {
	p.proposals.staged = s.proposals
	p.beginTransition(s.startedAt, p.encodeCheckpoint(p.versions.active, s.version, s.audit, p.versions.history), s)
}

func (s *staging) commit(p *Publisher) {
	p.versions.stage(s.version, s.startedAt)
	p.audit.staged = s.audit
	p.leases.clearFaults()
	p.notifyMembers()
}

func (s *staging) abort(p *Publisher) {
	p.proposals.staged = nil
	replyAll(s.proposals, "unknown: the group has not said whether it keeps it; show tells")
}

// activation makes the staged version the active one.
type activation struct {
	startedAt Time
	history   [][]byte
}

func (p *Publisher) activate(now Time) {
	a := &activation{now, p.versions.historyAfter(p.versions.staged)}
	p.beginTransition(now, p.encodeCheckpoint(p.versions.staged, nil, p.audit.staged, a.history), a)
}

func (a *activation) commit(p *Publisher) {
	proposals := p.proposals.staged
	p.versions.activate(a.history)
	p.audit.active = p.audit.staged
	p.proposals.staged = nil
	transitional := p.versions.active.transitional()
	if transitional {
		p.stageAfterTransitional(a.startedAt, proposals)
	}
	p.notifyMembers()
	if !transitional {
		for _, proposal := range proposals {
			proposal.reply(p.summary(a.startedAt))
		}
	}
}

// abort does nothing: the same state is stored at a later step.
func (a *activation) abort(*Publisher) {}

// stageAfterTransitional stages what follows a transitional version: by that one nobody uses what is reassigned, by this one its new owner does.
func (p *Publisher) stageAfterTransitional(now Time, proposals []*proposal) {
	v := p.versions.active.next()
	if err := v.normalizeAndCheck(); err == nil {
		p.stage(&staging{now, v, p.audit.active, proposals})
	}
}

// abandonment drops the staged version.
type abandonment struct {
	proposals []*proposal
	reason    string
}

func (p *Publisher) abandon(now Time, reason string) {
	state := p.encodeCheckpoint(p.versions.active, nil, p.audit.active, p.versions.history)
	p.beginTransition(now, state, &abandonment{p.proposals.staged, reason})
}

// commit rejects a single proposal; several are retried one by one, so that one that can't be used holds up no other.
func (a *abandonment) commit(p *Publisher) {
	p.versions.staged, p.proposals.staged, p.audit.staged = nil, nil, p.audit.active
	if len(a.proposals) > 1 {
		p.proposals.retryAlone(a.proposals)
		return
	}
	for _, proposal := range a.proposals {
		proposal.alone = false
		p.audit.reject(proposal.Change, proposal.proposer, a.reason)
		proposal.reply(a.reason)
	}
}

// abort does nothing: Step abandons the version again.
func (a *abandonment) abort(*Publisher) {}
