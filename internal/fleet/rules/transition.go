package rules

// A transition is a change of the coordinator's state that takes effect once the group has stored the new state: nobody acts by what a next
// coordinator would not know.
type transition interface {
	commit(k *Coordinator)
	// abort leaves the state as it was: the group has not confirmed that it stores the new one.
	abort(k *Coordinator)
}

// pendingTransition is the transition that the group is storing.
type pendingTransition struct {
	sequence  uint64 // of the last checkpoint
	next      transition
	startedAt Time
}

// begin has the group store a state, and the transition to it wait for that.
func (k *Coordinator) begin(now Time, state []byte, t transition) {
	k.pending.sequence++
	k.pending.next, k.pending.startedAt = t, now
	if err := k.owner.StoreCheckpoint(k.pending.sequence, state); err != nil {
		k.pending.next = nil
		t.abort(k)
	}
}

// CheckpointStored commits or aborts the pending transition.
func (k *Coordinator) CheckpointStored(now Time, sequence uint64, stored bool) {
	if t := k.pending.next; t != nil && sequence == k.pending.sequence {
		k.pending.next = nil
		if stored {
			t.commit(k)
		} else {
			t.abort(k)
		}
	}
	k.Step(now)
}

// abortLate aborts a transition that the group has not answered for: the answer may be lost.
func (k *Coordinator) abortLate(now Time) {
	if t := k.pending.next; t != nil && now-k.pending.startedAt > k.AgreeWithin {
		k.pending.next = nil
		t.abort(k)
	}
}

// staging makes a version the next one.
type staging struct {
	startedAt Time
	version   *Version
	audit     []AuditEntry
	proposals []*proposal
}

func (k *Coordinator) stage(s *staging) {
	k.proposals.staged = s.proposals
	k.begin(s.startedAt, k.encodeCheckpoint(k.versions.active, s.version, s.audit, k.versions.history), s)
}

func (s *staging) commit(k *Coordinator) {
	k.versions.stage(s.version, s.startedAt)
	k.audit.staged = s.audit
	k.leases.clearFaults()
	k.notifyMembers()
}

func (s *staging) abort(k *Coordinator) {
	k.proposals.staged = nil
	replyAll(s.proposals, "unknown: the group has not said whether it keeps it; show tells")
}

// activation makes the staged version the active one.
type activation struct {
	startedAt Time
	history   [][]byte
}

func (k *Coordinator) activate(now Time) {
	a := &activation{now, k.versions.historyAfter(k.versions.staged)}
	k.begin(now, k.encodeCheckpoint(k.versions.staged, nil, k.audit.staged, a.history), a)
}

func (a *activation) commit(k *Coordinator) {
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
func (a *activation) abort(*Coordinator) {}

// stageReassigned follows a transitional version, by which nobody uses what was reassigned, with one that gives it to its new owner.
func (k *Coordinator) stageReassigned(now Time, proposals []*proposal) {
	v := k.versions.active.next()
	if err := v.finish(); err == nil {
		k.stage(&staging{now, v, k.audit.active, proposals})
	}
}

// abandonment drops the staged version.
type abandonment struct {
	proposals []*proposal
	reason    string
}

func (k *Coordinator) abandon(now Time, reason string) {
	state := k.encodeCheckpoint(k.versions.active, nil, k.audit.active, k.versions.history)
	k.begin(now, state, &abandonment{k.proposals.staged, reason})
}

// commit rejects a single proposal; of several each is tried once more by itself, so that one that can't be used holds up no other.
func (a *abandonment) commit(k *Coordinator) {
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
func (a *abandonment) abort(*Coordinator) {}
