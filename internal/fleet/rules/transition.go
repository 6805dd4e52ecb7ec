package rules

// transition is a change of the publisher's state that takes effect once the replicated group has
// stored the new state, so that no member acts by a version that the next publisher does not know.
type transition interface {
	// commit applies the new state. It is called once the group has stored it.
	commit(p *Publisher)
	// abort keeps the old state. It is called if the group has not confirmed that it stored the new
	// one.
	abort(p *Publisher)
}

// pendingTransition is the transition that the group is storing.
type pendingTransition struct {
	checkpointNumber uint64     // number of the last checkpoint that was sent to the group
	next             transition // nil if none is pending
	startedAt        Time       // when its checkpoint was sent to the group
}

// beginTransition asks the group to store state, an encoded checkpoint. CheckpointStored commits or
// aborts t when the group answers. If the group does not accept the request, beginTransition aborts
// t immediately.
func (p *Publisher) beginTransition(now Time, state []byte, t transition) {
	p.pending.checkpointNumber++
	p.pending.next, p.pending.startedAt = t, now
	if err := p.owner.StoreCheckpoint(p.pending.checkpointNumber, state); err != nil {
		p.pending.next = nil
		t.abort(p)
	}
}

// CheckpointStored commits the pending transition if stored is true, and aborts it otherwise. It
// ignores a checkpoint that is not the last one, and then calls Step.
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

// abortTimedOut aborts a transition that the group has not confirmed within LeaseDuration, since
// the confirmation may be lost.
func (p *Publisher) abortTimedOut(now Time) {
	if t := p.pending.next; t != nil && now-p.pending.startedAt > p.LeaseDuration {
		p.pending.next = nil
		t.abort(p)
	}
}

// staging is the transition that stages a version: once the group has stored the version, the
// members fetch and compile it.
type staging struct {
	startedAt Time
	version   *Version
	audit     []AuditEntry // the audit log including the changes of the version
	proposals []*proposal  // whose changes the version contains
}

// stage begins to stage a version.
func (p *Publisher) stage(s *staging) {
	p.proposals.staged = s.proposals
	p.beginTransition(s.startedAt, p.encodeCheckpoint(p.versions.active, s.version, s.audit, p.versions.history), s)
}

// commit makes the version the staged one, and notifies the members so that they fetch and compile
// it.
func (s *staging) commit(p *Publisher) {
	p.versions.stage(s.version, s.startedAt)
	p.audit.staged = s.audit
	p.leases.clearFaults()
	p.notifyMembers()
}

// abort answers that the outcome is unknown, since the group may have stored the version.
func (s *staging) abort(p *Publisher) {
	p.proposals.staged = nil
	replyAll(s.proposals, "unknown: the group has not said whether it keeps it; show tells")
}

// activation is the transition that makes the staged version the active one.
type activation struct {
	startedAt Time
	history   [][]byte // the earlier versions once this one is active; see versionStore.history
}

// activate begins to activate the staged version.
func (p *Publisher) activate(now Time) {
	a := &activation{now, p.versions.historyAfter(p.versions.staged)}
	p.beginTransition(now, p.encodeCheckpoint(p.versions.staged, nil, p.audit.staged, a.history), a)
}

// commit activates the version and answers its proposals. If the version is transitional, it stages
// the following version instead, and the proposals are answered once that one is active.
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

// abort does nothing: a later Step activates the version again.
func (a *activation) abort(*Publisher) {}

// stageAfterTransitional stages the version that follows the active, transitional one. By the
// transitional version no account uses the reassigned hosts and tenants; by the following one their
// new owners do. proposals are answered once the following version is active.
func (p *Publisher) stageAfterTransitional(now Time, proposals []*proposal) {
	v := p.versions.active.next()
	if err := v.normalizeAndCheck(); err == nil {
		p.stage(&staging{now, v, p.audit.active, proposals})
	}
}

// abandonment is the transition that drops the staged version.
type abandonment struct {
	proposals []*proposal // whose changes the version contains
	reason    string      // why the version is dropped
}

// abandon begins to drop the staged version. If the version has only one proposal, reason is the
// answer to it.
func (p *Publisher) abandon(now Time, reason string) {
	state := p.encodeCheckpoint(p.versions.active, nil, p.audit.active, p.versions.history)
	p.beginTransition(now, state, &abandonment{p.proposals.staged, reason})
}

// commit drops the staged version. It rejects a single proposal. Several proposals it requeues, to
// be staged one by one, so that one that a member can't use does not block the others.
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

// abort does nothing: a later Step abandons the version again.
func (a *abandonment) abort(*Publisher) {}
