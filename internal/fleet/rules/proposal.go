package rules

import (
	"bytes"
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

// maxWaitingProposals bounds what the coordinator holds for answers.
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

// propose takes a change. What is wrong with it by itself is answered at once, and takes nobody's time but the coordinator's.
func (c *Publisher) propose(now Time, change *Change, reply func(string)) {
	if c.isRetry(now, change, reply) {
		return
	}
	if !c.limiter.allow(now, change, c.versions.active) {
		reply(fmt.Sprintf("refused: more changes of %s a minute than it may have, ask again in some seconds", change.subject()))
		return
	}
	reject := func(proposer, reason string) {
		c.audit.reject(change, proposer, reason)
		reply("refused: " + reason)
	}
	if c.proposals.bySubject(change.subject()) != nil {
		reject("", fmt.Sprintf("another change of %s is on its way, ask again", change.subject()))
		return
	}
	proposer, err := c.authorize(change, c.versions.active)
	if err != nil {
		reject(proposer, err.Error())
		return
	}
	v, err := c.versions.active.Apply(change, c.versions.byNumber)
	switch {
	case err != nil:
		reject(proposer, err.Error())
	case c.versions.staged == nil && equalIgnoringNumbers(v, c.versions.active):
		reply(c.summary(now)) // it holds already
	case len(c.proposals.waiting) >= maxWaitingProposals:
		reply("refused: too many changes are on their way, ask again")
	default:
		c.proposals.waiting = append(c.proposals.waiting, &proposal{Change: change, proposer: proposer, reply: reply, alone: change.Kind == KindRollback})
		c.Step(now)
	}
}

// isRetry handles a change that was proposed before: whoever has heard no answer asks again, which is applied once and costs no tokens.
func (c *Publisher) isRetry(now Time, change *Change, reply func(string)) bool {
	if p := c.proposals.byID(change.ID); p != nil {
		p.reply = reply
		return true
	}
	if e := findEntry(c.audit.active, change.ID); e != nil && (c.versions.staged == nil || !c.versions.active.transitional()) {
		reply(c.summaryOfChange(now, e))
		return true
	}
	if c.versions.staged != nil && findEntry(c.audit.staged, change.ID) != nil { // staged by a coordinator before this one
		c.proposals.staged = append(c.proposals.staged, &proposal{Change: change, reply: reply})
		return true
	}
	return false
}

// stageProposals makes one version of all changes that wait, so that one customer's change waits for nobody else's. After a transitional version
// of a coordinator before this one it stages what follows that.
func (c *Publisher) stageProposals(now Time) {
	if c.versions.active.transitional() {
		c.stageReassigned(now, nil)
		return
	}
	for len(c.proposals.waiting) > 0 {
		s := c.applyRound(now, c.proposals.nextRound())
		if len(s.proposals) == 0 {
			continue
		}
		if reassigns(c.versions.active, s.version) {
			s.version.Directory.Previous = ownersFrame(c.versions.active)
		}
		if err := s.version.finish(); err != nil {
			replyAll(s.proposals, "refused: "+err.Error())
			return
		}
		c.stage(s)
		return
	}
}

// applyRound applies each proposal that is still allowed: what was revoked since it came, or changed by another, is rejected.
func (c *Publisher) applyRound(now Time, round []*proposal) *staging {
	s := &staging{startedAt: now, version: c.versions.active.next(), audit: c.audit.active}
	for _, p := range round {
		proposer, err := c.authorize(p.Change, s.version)
		next := s.version.next()
		next.Number = s.version.Number
		if err == nil {
			err = next.apply(c.versions.active, p.Change, c.versions.byNumber)
		}
		if err != nil {
			c.audit.reject(p.Change, p.proposer, err.Error())
			p.reply("refused: " + err.Error())
			continue
		}
		if next.Directory == nil {
			next.Directory = &namespace.Directory{}
		}
		s.version, s.proposals = next, append(s.proposals, p)
		s.audit = appendEntry(s.audit, AuditEntry{Number: next.Number, ID: p.ID, Who: proposer, What: p.subject(), Wall: c.wallMillis()})
	}
	return s
}
