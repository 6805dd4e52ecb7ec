package rules

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// stagingLeases is after how many lease durations a staged version that lease holders have not compiled is abandoned.
const stagingLeases = 3

// Coordinator is the owner's part: it orders the versions and grants the lease to act by the active one. A newer version becomes active once
// every lease holder has it compiled, or that lease has ended, so that no two versions are acted by side by side. It belongs to one goroutine.
type Coordinator struct {
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

var _ jobs.Job = (*Coordinator)(nil)

// Start goes on from the checkpoint that the coordinator before has left; an error says that it can't be read.
func (k *Coordinator) Start(now Time, o jobs.Owner, _, sequence uint64, left []byte) error {
	k.owner = o
	k.versions = versionStore{stagedAt: now}
	k.leases = newLeaseTable(now, k.AgreeWithin)
	k.proposals = proposalQueue{}
	k.limiter = rateLimiter{buckets: map[string]*tokenBucket{}}
	k.audit = auditLog{}
	k.pending = pendingTransition{sequence: sequence}
	return k.restore(left)
}

// Stop ends the coordinator's part. Whoever waits for an answer gets none: the outcome is not known.
func (k *Coordinator) Stop() (sequence uint64, left []byte) {
	left = k.encodeCheckpoint(k.versions.active, k.versions.staged, k.audit.staged, k.versions.history)
	k.owner = nil
	k.pending.sequence++
	return k.pending.sequence, left
}

// Step activates the staged version once nobody can act by another without having it, or abandons it; without one it stages what is proposed.
func (k *Coordinator) Step(now Time) {
	if k.owner == nil {
		return
	}
	k.abortLate(now)
	if k.pending.next != nil {
		return
	}
	if k.versions.staged == nil {
		k.stageProposals(now)
		return
	}
	r := k.leases.readiness(k.versions.stagedHash, now)
	switch {
	case r.faultReason != "":
		k.abandon(now, fmt.Sprintf("refused: %s: %s", k.memberName(r.faultyPeer), r.faultReason))
	case !r.all && now-k.versions.stagedAt > stagingLeases*k.AgreeWithin:
		k.abandon(now, "refused: not everyone that holds a right has it ready")
	case r.all && now >= k.leases.unknownUntil:
		k.activate(now)
	}
}

// QueryReceived answers a query.
func (k *Coordinator) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	if k.owner == nil || len(body) == 0 {
		return
	}
	reply := func(text string) { k.owner.Reply(from, tag, []byte(text)) }
	q, err := decodeQuery(body)
	if err != nil {
		if !errors.Is(err, errMalformedLease) {
			reply("refused: " + err.Error())
		}
		return
	}
	switch q := q.(type) {
	case *leaseQuery:
		r := k.grantLease(now, from, q)
		k.owner.Reply(from, tag, r.encode())
		k.Step(now)
	case proposalQuery:
		k.propose(now, q.change, reply)
	case activeQuery:
		reply(k.overview(now))
	case statusQuery:
		reply(string(compress([]byte(k.status(now)))))
	case historyQuery:
		reply(k.audit.text(q.about))
	case versionQuery:
		reply(k.versionText(q.number))
	}
}

// grantLease records what a member has, and grants it the lease to act by the active version.
func (k *Coordinator) grantLease(now Time, from uint32, q *leaseQuery) leaseReply {
	m, v := k.leases.member(from), &k.versions
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
	m.leaseNumber, m.leaseEnd = v.active.Number, LeaseSurelyEnded(now, k.AgreeWithin)
	return r
}

// notifyMembers has every member ask for its lease at once.
func (k *Coordinator) notifyMembers() {
	for _, m := range k.owner.Members() {
		if m.Present {
			k.owner.SendEffect(m.Peer, k.pending.sequence, []byte{1})
		}
	}
}

// EffectAcknowledged does nothing: a member that was notified asks by itself.
func (k *Coordinator) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// ApplyEffect is the receiver's part of the job.
func (k *Coordinator) ApplyEffect(now Time, _ ownership.FencingToken, _ []byte) {
	if k.Notified != nil {
		k.Notified(now)
	}
}

func (k *Coordinator) wallMillis() int64 {
	if k.Wall == nil {
		return 0
	}
	return k.Wall()
}
