package rules

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// stagingTimeoutLeases is the number of lease durations after which the publisher abandons a
// staged version that a lease holder has not compiled. The publisher waits only for members that
// renew their leases. These send queriesPerLease queries in each lease duration, and several of the
// queries may be lost while the members fetch and compile the version.
const stagingTimeoutLeases = 3

// Publisher is the rules' job, which one process of the fleet owns at a time. It orders the
// versions and grants the leases to act by the active version. A newer version becomes active once
// each lease holder has compiled it or its lease has ended, so two versions are in use at the same
// time for at most LeaseDuration. Its methods must be called from one goroutine.
type Publisher struct {
	LeaseDuration        Time           // nanoseconds; the same at every process
	NotificationReceived func(now Time) // called at every process when there is a new version; may be nil
	WallClock            func() int64   // returns Unix milliseconds; if nil, audit entries and the checks of grants for their end use 0

	owner     jobs.Owner // nil if this process does not own the job
	versions  versionStore
	leases    leaseTable
	proposals proposalQueue
	limiter   rateLimiter
	audit     auditLog
	pending   pendingTransition
}

var _ jobs.Job = (*Publisher)(nil)

// Start continues from the previous publisher's checkpoint. It returns an error if the checkpoint
// cannot be decoded. The previous publisher's leases are unknown, so no version becomes active
// until all of them have ended.
func (p *Publisher) Start(now Time, o jobs.Owner, _, checkpointNumber uint64, checkpoint []byte) error {
	p.owner = o
	p.versions = versionStore{stagedAt: now}
	p.leases = newLeaseTable(now, p.LeaseDuration)
	p.proposals = proposalQueue{}
	p.limiter = rateLimiter{buckets: map[string]*tokenBucket{}}
	p.audit = auditLog{}
	p.pending = pendingTransition{checkpointNumber: checkpointNumber}
	return p.restore(checkpoint)
}

// Stop ends the ownership of the job and returns the last checkpoint with its number. Pending
// proposals get no answer, since their outcome is not known; the next publisher answers a retry.
func (p *Publisher) Stop() (checkpointNumber uint64, checkpoint []byte) {
	checkpoint = p.encodeCheckpoint(p.versions.active, p.versions.staged, p.audit.staged, p.versions.history)
	p.owner = nil
	p.pending.checkpointNumber++
	return p.pending.checkpointNumber, checkpoint
}

// Step activates the staged version once every lease holder has compiled it, or abandons it if a
// holder cannot use it or does not compile it in time. If no version is staged, Step stages the
// waiting proposals. The owner of the job calls it regularly.
func (p *Publisher) Step(now Time) {
	if p.owner == nil {
		return
	}
	p.abortTimedOut(now)
	if p.pending.next != nil {
		return
	}
	if p.versions.staged == nil {
		p.stageProposals(now)
		return
	}
	r := p.leases.readiness(p.versions.stagedHash, now)
	switch { // administrators get these texts, which must not change
	case r.faultReason != "":
		p.abandon(now, fmt.Sprintf("refused: %s: %s", p.memberName(r.faultyPeer), r.faultReason))
	case !r.all && now-p.versions.stagedAt > stagingTimeoutLeases*p.LeaseDuration:
		p.abandon(now, "refused: not everyone that holds a right has it ready")
	case r.all && now >= p.leases.unknownUntil:
		p.activate(now)
	}
}

// QueryReceived answers a query of a member or an administrator. from is the peer ID of the process
// that sent the query, and tag identifies the query there. A malformed lease query gets no answer,
// since the member sends its next query soon.
func (p *Publisher) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	if p.owner == nil || len(body) == 0 {
		return
	}
	reply := func(text string) { p.owner.Reply(from, tag, []byte(text)) }
	q, err := decodeQuery(body)
	if err != nil {
		if !errors.Is(err, errMalformedLease) {
			reply("refused: " + err.Error())
		}
		return
	}
	switch q := q.(type) {
	case *leaseQuery:
		r := p.grantLease(now, from, q)
		p.owner.Reply(from, tag, r.encode())
		p.Step(now)
	case proposalQuery:
		p.propose(now, q.change, reply)
	case activeQuery:
		reply(p.overview(now))
	case statusQuery:
		reply(string(compress([]byte(p.status(now)))))
	case historyQuery:
		reply(p.audit.text(q.about))
	case versionQuery:
		reply(p.versionText(q.number))
	}
}

// grantLease grants a member the lease to act by the active version, and returns the reply with the
// versions that the member lacks.
func (p *Publisher) grantLease(now Time, from uint32, q *leaseQuery) leaseReply {
	member, versions := p.leases.member(from), &p.versions
	member.recordReport(q, versions)
	member.leaseNumber, member.leaseEnd = versions.active.Number, PublisherLeaseEnd(now, p.LeaseDuration)
	activeHash := versions.activeHash
	reply := leaseReply{Number: versions.active.Number, Hash: activeHash[:]}
	reply.Active, reply.Staged = versions.missingVersions(member, q)
	return reply
}

// notifyMembers makes every present member request its lease immediately instead of at its next
// renewal. The body of the notification has no meaning.
func (p *Publisher) notifyMembers() {
	for _, m := range p.owner.Members() {
		if m.Present {
			p.owner.SendEffect(m.Peer, p.pending.checkpointNumber, []byte{1})
		}
	}
}

// EffectAcknowledged does nothing: a notified member sends a query, and a member that missed the
// notification sends its next regular query.
func (p *Publisher) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// ApplyEffect handles the publisher's notification at a receiving process, by calling
// NotificationReceived.
func (p *Publisher) ApplyEffect(now Time, _ ownership.FencingToken, _ []byte) {
	if p.NotificationReceived != nil {
		p.NotificationReceived(now)
	}
}

// wallMillis returns the time of day in Unix milliseconds, or 0 without a WallClock.
func (p *Publisher) wallMillis() int64 {
	if p.WallClock == nil {
		return 0
	}
	return p.WallClock()
}
