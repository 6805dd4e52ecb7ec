package rules

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// stagingTimeoutLeases is after how many lease durations a staged version that lease holders have not compiled is abandoned. Only members that renew are
// waited for, and these send queriesPerLease queries in each: several may be lost while they fetch and compile it.
const stagingTimeoutLeases = 3

// Publisher is the part of the process that owns the rules' job: it orders the versions and grants the leases to act by the active one. A newer
// version becomes active once each lease holder has compiled it or its lease has ended. So two versions are in use side by side for LeaseDuration at
// most. It belongs to one goroutine.
type Publisher struct {
	LeaseDuration        Time           // duration of a lease, the same at every process
	NotificationReceived func(now Time) // at every process: the publisher has something new; nil: nothing is called
	WallClock            func() int64   // Unix milliseconds; nil: 0

	owner     jobs.Owner // nil: this process does not own the job
	versions  versionStore
	leases    leaseTable
	proposals proposalQueue
	limiter   rateLimiter
	audit     auditLog
	pending   pendingTransition
}

var _ jobs.Job = (*Publisher)(nil)

// Start continues from the previous publisher's checkpoint; an error says that it can't be decoded. It knows none of the leases that this one
// granted, so nothing becomes active until all of them have ended.
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

// Stop ends the publisher's part. Pending proposals get no answer, since their outcome is not known; the next publisher answers a retry.
func (p *Publisher) Stop() (checkpointNumber uint64, checkpoint []byte) {
	checkpoint = p.encodeCheckpoint(p.versions.active, p.versions.staged, p.audit.staged, p.versions.history)
	p.owner = nil
	p.pending.checkpointNumber++
	return p.pending.checkpointNumber, checkpoint
}

// Step activates the staged version once every lease holder has compiled it, or abandons it; where none is staged it stages what is proposed.
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
	switch { // the texts are answers to administrators, and fixed
	case r.faultReason != "":
		p.abandon(now, fmt.Sprintf("refused: %s: %s", p.memberName(r.faultyPeer), r.faultReason))
	case !r.all && now-p.versions.stagedAt > stagingTimeoutLeases*p.LeaseDuration:
		p.abandon(now, "refused: not everyone that holds a right has it ready")
	case r.all && now >= p.leases.unknownUntil:
		p.activate(now)
	}
}

// QueryReceived answers a query.
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

// grantLease grants a member the lease to act by the active version, and sends it the versions that it lacks.
func (p *Publisher) grantLease(now Time, from uint32, q *leaseQuery) leaseReply {
	member, versions := p.leases.member(from), &p.versions
	member.recordReport(q, versions)
	member.leaseNumber, member.leaseEnd = versions.active.Number, PublisherLeaseEnd(now, p.LeaseDuration)
	activeHash := versions.activeHash
	reply := leaseReply{Number: versions.active.Number, Hash: activeHash[:]}
	reply.Active, reply.Staged = versions.missingVersions(member, q)
	return reply
}

// notifyMembers has every member request its lease now and not only at its next turn.
func (p *Publisher) notifyMembers() {
	for _, m := range p.owner.Members() {
		if m.Present {
			p.owner.SendEffect(m.Peer, p.pending.checkpointNumber, []byte{1})
		}
	}
}

// EffectAcknowledged does nothing: a notified member sends a query, and one that missed the notice sends its next one in time.
func (p *Publisher) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// ApplyEffect is the receiver's part, at every process.
func (p *Publisher) ApplyEffect(now Time, _ ownership.FencingToken, _ []byte) {
	if p.NotificationReceived != nil {
		p.NotificationReceived(now)
	}
}

func (p *Publisher) wallMillis() int64 {
	if p.WallClock == nil {
		return 0
	}
	return p.WallClock()
}
