package rules

import (
	"bytes"
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

// maxWaitingProposals bounds the proposals that wait to become part of a staged version, which the
// members compile before it becomes active.
const maxWaitingProposals = 64

// proposal is a change and the administrator's pending query for it.
type proposal struct {
	*Change
	proposer string // see AuditEntry.Proposer; empty if the previous publisher staged the change
	reply    func(text string)
	alone    bool // must be the only change of its version: a rollback, or part of a version that a member could not use
}

// replyAll sends the same answer to several proposals.
func replyAll(proposals []*proposal, text string) {
	for _, p := range proposals {
		p.reply(text)
	}
}

// proposalQueue holds the proposals that have no answer yet.
type proposalQueue struct {
	waiting []*proposal // not yet part of a version, oldest first
	staged  []*proposal // part of the staged version, or of the version that the group is storing
}

// find returns the first proposal for which match returns true, or nil if there is none.
func (q *proposalQueue) find(match func(*proposal) bool) *proposal {
	for _, list := range [...][]*proposal{q.waiting, q.staged} {
		if i := slices.IndexFunc(list, match); i >= 0 {
			return list[i]
		}
	}
	return nil
}

// byID returns the proposal of the change with an ID, or nil. An empty ID matches no proposal.
func (q *proposalQueue) byID(id []byte) *proposal {
	return q.find(func(p *proposal) bool { return len(id) > 0 && bytes.Equal(p.ID, id) })
}

// bySubject returns the proposal of a change with a subject, or nil.
func (q *proposalQueue) bySubject(subject string) *proposal {
	return q.find(func(p *proposal) bool { return p.subject() == subject })
}

// nextRound removes from the waiting proposals those that are staged together next, and returns
// them: all before the first one that must be staged alone, or only that one if it is the oldest.
func (q *proposalQueue) nextRound() []*proposal {
	round := q.waiting
	if i := slices.IndexFunc(round, func(p *proposal) bool { return p.alone }); i >= 0 {
		round = round[:max(1, i)]
	}
	q.waiting = q.waiting[len(round):]
	return round
}

// retryAlone requeues proposals that were staged together, so that they are staged one by one
// before all others.
func (q *proposalQueue) retryAlone(proposals []*proposal) {
	for _, p := range proposals {
		p.alone = true
	}
	q.waiting = append(proposals, q.waiting...)
}

// propose queues a change and calls reply once the outcome of the change is known. It rejects a
// change that is invalid by itself immediately, so that such a change never delays others.
func (p *Publisher) propose(now Time, change *Change, reply func(string)) {
	if p.handleRetry(now, change, reply) {
		return
	}
	if !p.limiter.allow(now, change, p.versions.active) {
		reply(fmt.Sprintf("refused: more changes of %s a minute than it may have, ask again in some seconds", change.subject()))
		return
	}
	reject := func(proposer, reason string) {
		p.audit.reject(change, proposer, reason)
		reply("refused: " + reason)
	}
	if p.proposals.bySubject(change.subject()) != nil {
		reject("", fmt.Sprintf("another change of %s is on its way, ask again", change.subject()))
		return
	}
	proposer, err := p.authorize(change, p.versions.active)
	if err != nil {
		reject(proposer, err.Error())
		return
	}
	v, err := p.versions.active.Apply(change, p.versions.byNumber)
	switch {
	case err != nil:
		reject(proposer, err.Error())
	case p.versions.staged == nil && equalIgnoringNumbers(v, p.versions.active):
		reply(p.summary(now)) // the change is already in effect
	case len(p.proposals.waiting) >= maxWaitingProposals:
		reply("refused: too many changes are on their way, ask again")
	default:
		p.proposals.waiting = append(p.proposals.waiting, &proposal{Change: change, proposer: proposer, reply: reply, alone: change.Kind == KindRollback})
		p.Step(now)
	}
}

// handleRetry reports whether a change with the same ID was proposed before, for example by an
// administrator who got no answer. If so, it calls reply for an applied change, or keeps reply for
// the outcome of a pending one. A retried change is applied once, and does not count against the
// rate limit.
func (p *Publisher) handleRetry(now Time, change *Change, reply func(string)) bool {
	if proposal := p.proposals.byID(change.ID); proposal != nil {
		proposal.reply = reply
		return true
	}
	// A change in a transitional version is answered once the version that completes the transition
	// is active.
	if e := findEntry(p.audit.active, change.ID); e != nil && (p.versions.staged == nil || !p.versions.active.transitional()) {
		reply(p.summaryOfChange(now, e))
		return true
	}
	if p.versions.staged != nil && findEntry(p.audit.staged, change.ID) != nil { // staged by the previous publisher
		p.proposals.staged = append(p.proposals.staged, &proposal{Change: change, reply: reply})
		return true
	}
	return false
}

// stageProposals stages one version with the waiting proposals that nextRound returns, so that one
// customer's change does not wait for the changes of others. If that version reassigns hosts or
// tenants, it is transitional: no account uses them until the following version. If the previous
// publisher left a transitional version active, stageProposals only stages the following one.
func (p *Publisher) stageProposals(now Time) {
	if p.versions.active.transitional() {
		p.stageAfterTransitional(now, nil)
		return
	}
	for len(p.proposals.waiting) > 0 {
		s := p.applyRound(now, p.proposals.nextRound())
		if len(s.proposals) == 0 {
			continue
		}
		if reassigns(p.versions.active, s.version) {
			s.version.Directory.Previous = ownerAssignment(p.versions.active)
		}
		if err := s.version.normalizeAndCheck(); err != nil {
			replyAll(s.proposals, "refused: "+err.Error())
			return
		}
		p.stage(s)
		return
	}
}

// applyRound applies the proposals of a round, one after the other, to a copy of the active version,
// and returns the result for staging. It authorizes each proposal again by the version that the
// earlier ones have made, and rejects it if its grant was revoked or its subject changed since it
// arrived.
func (p *Publisher) applyRound(now Time, round []*proposal) *staging {
	staged := &staging{startedAt: now, version: p.versions.active.next(), audit: p.audit.active}
	for _, proposal := range round {
		proposer, err := p.authorize(proposal.Change, staged.version)
		next := staged.version.next()
		next.Number = staged.version.Number
		if err == nil {
			err = next.apply(p.versions.active, proposal.Change, p.versions.byNumber)
		}
		if err != nil {
			p.audit.reject(proposal.Change, proposal.proposer, err.Error())
			proposal.reply("refused: " + err.Error())
			continue
		}
		if next.Directory == nil {
			next.Directory = &namespace.Directory{}
		}
		staged.version, staged.proposals = next, append(staged.proposals, proposal)
		staged.audit = appendEntry(staged.audit, AuditEntry{Number: next.Number, ID: proposal.ID, Proposer: proposer, Subject: proposal.subject(), WallMillis: p.wallMillis()})
	}
	return staged
}
