package rules

import (
	"bytes"
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

// maxWaitingProposals bounds the proposals that are buffered until their version is active.
const maxWaitingProposals = 64

// proposal is a change and who waits for its answer.
type proposal struct {
	*Change
	proposer string
	reply    func(text string)
	alone    bool // it is staged without others: a rollback, or one of a round that could not be used
}

// replyAll gives one answer to several proposals.
func replyAll(proposals []*proposal, text string) {
	for _, p := range proposals {
		p.reply(text)
	}
}

// proposalQueue is the proposals that have no answer yet.
type proposalQueue struct {
	waiting []*proposal // no version holds them yet
	staged  []*proposal // the staged version holds them
}

// find gives the first proposal that matches; nil: none does.
func (q *proposalQueue) find(match func(*proposal) bool) *proposal {
	for _, list := range [...][]*proposal{q.waiting, q.staged} {
		if i := slices.IndexFunc(list, match); i >= 0 {
			return list[i]
		}
	}
	return nil
}

func (q *proposalQueue) byID(id []byte) *proposal {
	return q.find(func(p *proposal) bool { return len(id) > 0 && bytes.Equal(p.ID, id) })
}

func (q *proposalQueue) bySubject(subject string) *proposal {
	return q.find(func(p *proposal) bool { return p.subject() == subject })
}

// nextRound takes the proposals that are staged together.
func (q *proposalQueue) nextRound() []*proposal {
	round := q.waiting
	if i := slices.IndexFunc(round, func(p *proposal) bool { return p.alone }); i >= 0 {
		round = round[:max(1, i)]
	}
	q.waiting = q.waiting[len(round):]
	return round
}

// retryAlone has proposals that were staged together staged one by one.
func (q *proposalQueue) retryAlone(proposals []*proposal) {
	for _, p := range proposals {
		p.alone = true
	}
	q.waiting = append(proposals, q.waiting...)
}

// propose takes a change. One that is invalid by itself is rejected at once and enters no round, so that it delays nobody else's.
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
		reply(p.summary(now)) // it holds already
	case len(p.proposals.waiting) >= maxWaitingProposals:
		reply("refused: too many changes are on their way, ask again")
	default:
		p.proposals.waiting = append(p.proposals.waiting, &proposal{Change: change, proposer: proposer, reply: reply, alone: change.Kind == KindRollback})
		p.Step(now)
	}
}

// handleRetry handles a change that was proposed before, as by an administrator who got no answer: it is applied once, and takes no tokens.
func (p *Publisher) handleRetry(now Time, change *Change, reply func(string)) bool {
	if proposal := p.proposals.byID(change.ID); proposal != nil {
		proposal.reply = reply
		return true
	}
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

// stageProposals makes one version of all proposals that wait, so that one customer's change waits for nobody else's. Where the previous publisher
// has left a transitional version active, the version that completes it comes first.
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

// applyRound applies each proposal that is still allowed. It is authorized again on the version as the round has made it so far: a grant that was
// revoked, or a subject that was changed, since the proposal arrived rejects it.
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
