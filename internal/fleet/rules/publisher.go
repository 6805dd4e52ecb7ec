package rules

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// stagingLeases is after how many lease durations a staged version that lease holders have not compiled is abandoned.
const stagingLeases = 3

// Publisher is the owner's part: it orders the versions and grants the lease to act by the active one. A newer version becomes active once
// every lease holder has it compiled, or that lease has ended, so that no two versions are acted by side by side. It belongs to one goroutine.
type Publisher struct {
	AgreeWithin Time           // duration of a lease
	Notified    func(now Time) // the receiver's part: there is something new; nil: nothing is done
	Wall        func() int64   // Unix milliseconds; nil: 0

	owner     jobs.Owner // nil: this process does not own the job
	versions  versionStore
	leases    leaseTable
	proposals proposalQueue
	limiter   rateLimiter
	audit     auditLog
	pending   pendingTransition
}

var _ jobs.Job = (*Publisher)(nil)

// Start goes on from the checkpoint that the coordinator before has left; an error says that it can't be read.
func (c *Publisher) Start(now Time, o jobs.Owner, _, sequence uint64, left []byte) error {
	c.owner = o
	c.versions = versionStore{stagedAt: now}
	c.leases = newLeaseTable(now, c.AgreeWithin)
	c.proposals = proposalQueue{}
	c.limiter = rateLimiter{buckets: map[string]*tokenBucket{}}
	c.audit = auditLog{}
	c.pending = pendingTransition{sequence: sequence}
	return c.restore(left)
}

// Stop ends the coordinator's part. Whoever waits for an answer gets none: the outcome is not known.
func (c *Publisher) Stop() (sequence uint64, left []byte) {
	left = c.encodeCheckpoint(c.versions.active, c.versions.staged, c.audit.staged, c.versions.history)
	c.owner = nil
	c.pending.sequence++
	return c.pending.sequence, left
}

// Step activates the staged version once nobody can act by another without having it, or abandons it; without one it stages what is proposed.
func (c *Publisher) Step(now Time) {
	if c.owner == nil {
		return
	}
	c.abortLate(now)
	if c.pending.next != nil {
		return
	}
	if c.versions.staged == nil {
		c.stageProposals(now)
		return
	}
	r := c.leases.readiness(c.versions.stagedHash, now)
	switch {
	case r.faultReason != "":
		c.abandon(now, fmt.Sprintf("refused: %s: %s", c.memberName(r.faultyPeer), r.faultReason))
	case !r.all && now-c.versions.stagedAt > stagingLeases*c.AgreeWithin:
		c.abandon(now, "refused: not everyone that holds a right has it ready")
	case r.all && now >= c.leases.unknownUntil:
		c.activate(now)
	}
}

// QueryReceived answers a query.
func (c *Publisher) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	if c.owner == nil || len(body) == 0 {
		return
	}
	reply := func(text string) { c.owner.Reply(from, tag, []byte(text)) }
	q, err := decodeQuery(body)
	if err != nil {
		if !errors.Is(err, errMalformedLease) {
			reply("refused: " + err.Error())
		}
		return
	}
	switch q := q.(type) {
	case *leaseQuery:
		r := c.grantLease(now, from, q)
		c.owner.Reply(from, tag, r.encode())
		c.Step(now)
	case proposalQuery:
		c.propose(now, q.change, reply)
	case activeQuery:
		reply(c.overview(now))
	case statusQuery:
		reply(string(compress([]byte(c.status(now)))))
	case historyQuery:
		reply(c.audit.text(q.about))
	case versionQuery:
		reply(c.versionText(q.number))
	}
}

// grantLease records what a member has, and grants it the lease to act by the active version.
func (c *Publisher) grantLease(now Time, from uint32, q *leaseQuery) leaseReply {
	m, v := c.leases.member(from), &c.versions
	m.ready, m.fault = Hash{}, ""
	if v.staged != nil && q.Fault != "" && string(q.FaultyVersion) == string(v.stagedHash[:]) {
		m.fault = q.Fault
	}
	if len(q.ReadyHash) == len(Hash{}) {
		m.ready = Hash(q.ReadyHash)
	}
	activeHash := v.activeHash
	r := leaseReply{Number: v.active.Number, Hash: activeHash[:]}
	if q.ActiveNumber != v.active.Number && m.ready != activeHash || q.ActiveNumber == 0 && q.ReadyNumber == 0 {
		r.Active = v.transfers.encode(v.active, nil)
	}
	if v.staged != nil && m.ready != v.stagedHash && m.fault == "" {
		base := v.active
		if m.ready != activeHash {
			base = nil
		}
		r.Staged = v.transfers.encode(v.staged, base)
	}
	m.leaseNumber, m.leaseEnd = v.active.Number, LeaseSurelyEnded(now, c.AgreeWithin)
	return r
}

// notifyMembers has every member ask for its lease at once.
func (c *Publisher) notifyMembers() {
	for _, m := range c.owner.Members() {
		if m.Present {
			c.owner.SendEffect(m.Peer, c.pending.sequence, []byte{1})
		}
	}
}

// EffectAcknowledged does nothing: a member that was notified asks by itself.
func (c *Publisher) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// ApplyEffect is the receiver's part of the job.
func (c *Publisher) ApplyEffect(now Time, _ ownership.FencingToken, _ []byte) {
	if c.Notified != nil {
		c.Notified(now)
	}
}

func (c *Publisher) wallMillis() int64 {
	if c.Wall == nil {
		return 0
	}
	return c.Wall()
}
