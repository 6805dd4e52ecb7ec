package rules

import (
	"errors"
	"fmt"
)

// queriesPerLease is how many queries a member sends within a lease: several may be lost before the lease ends.
const queriesPerLease = 6

// Member is the part that every process has: it renews its lease and compiles the staged version. It belongs to one goroutine, while its Enforcer
// may be read by any.
type Member struct {
	LeaseDuration Time // duration of a lease
	MaxEntries    int  // entries of a version that this process accepts; 0: any number
	Enforcer      *Enforcer
	// SendQuery sends a query to the publisher; its answer comes to ReplyReceived under the tag.
	SendQuery func(tag uint64, body []byte)
	// VersionChanged is called when the version that this process acts by changes; nil: nothing is.
	VersionChanged func(number uint64, hash Hash)

	queries  queryTracker
	versions map[Hash]*compiledVersion // the version acted by, and the newest one
	active   Hash
	ready    versionID // the newest version that was compiled; zero: none
	fault    versionFault
}

// versionID is a version's number and hash.
type versionID struct {
	number uint64
	hash   Hash
}

// versionFault is why a version can't be used at this process.
type versionFault struct {
	reason string // "": there is none
	hash   Hash
}

// queryTracker is the queries that have no answer yet.
type queryTracker struct {
	lastTag    uint64
	lastSentAt Time // 0: none was sent
	sentAt     map[uint64]Time
}

// start gives the tag of a query sent now, and forgets those whose lease would have ended.
func (q *queryTracker) start(now, leaseDuration Time) (tag uint64) {
	if q.sentAt == nil {
		q.sentAt = map[uint64]Time{}
	}
	q.lastSentAt = now
	for t, at := range q.sentAt {
		if now-at > leaseDuration {
			delete(q.sentAt, t)
		}
	}
	q.lastTag++
	q.sentAt[q.lastTag] = now
	return q.lastTag
}

// Step renews the lease once a sixth of its time has passed.
func (m *Member) Step(now Time) {
	if now >= m.queries.lastSentAt+m.LeaseDuration/queriesPerLease || m.queries.lastSentAt == 0 {
		m.requestLease(now)
	}
}

// NotificationReceived takes the publisher's notice that there is something new, and requests it at once.
func (m *Member) NotificationReceived(now Time) { m.requestLease(now) }

func (m *Member) requestLease(now Time) {
	if m.versions == nil {
		m.versions = map[Hash]*compiledVersion{}
	}
	tag := m.queries.start(now, m.LeaseDuration)
	number, _ := m.Enforcer.ActiveVersion()
	q := leaseQuery{ActiveNumber: number, ReadyNumber: m.ready.number, Fault: m.fault.reason}
	if m.ready.number > 0 {
		q.ReadyHash = m.ready.hash[:]
	}
	if m.fault.reason != "" {
		q.FaultyVersion = m.fault.hash[:]
	}
	m.SendQuery(tag, q.encode())
}

// ReplyReceived takes a lease, and the versions that came with it. The lease counts from when it was requested, so that a late reply does not
// prolong it.
func (m *Member) ReplyReceived(now Time, tag uint64, body []byte) {
	requestedAt, pending := m.queries.sentAt[tag]
	if !pending {
		return
	}
	r, err := decodeLeaseReply(body)
	if err != nil {
		return
	}
	delete(m.queries.sentAt, tag)
	stagedReported := m.receiveVersion(r.Staged)
	m.receiveVersion(r.Active)
	if len(r.Hash) == len(Hash{}) {
		hash := Hash(r.Hash)
		if v := m.versions[hash]; v != nil && v.version.Number == r.Number {
			m.applyLease(hash, v, MemberLeaseEnd(requestedAt, m.LeaseDuration))
		}
	}
	if stagedReported {
		m.requestLease(now) // the version becomes active only once the publisher knows that this member is ready
	}
}

// applyLease acts by a version until its lease ends. A late reply, with an older version or an earlier end, changes nothing: a member never goes back
// to an older version.
func (m *Member) applyLease(hash Hash, v *compiledVersion, leaseEnd Time) {
	old := m.Enforcer.active.Load()
	if old != nil && (old.version.Number > v.version.Number || old.version.Number == v.version.Number && old.leaseEnd >= leaseEnd) {
		return
	}
	m.Enforcer.active.Store(&leasedVersion{v, leaseEnd})
	if m.active == hash {
		return
	}
	m.active = hash
	for other := range m.versions {
		if other != hash && other != m.ready.hash {
			delete(m.versions, other)
		}
	}
	if m.VersionChanged != nil {
		m.VersionChanged(v.version.Number, hash)
	}
}

// receiveVersion compiles a version, and says whether the publisher is to be notified at once: the version is ready, or it can't be used here and
// must become active nowhere.
func (m *Member) receiveVersion(data []byte) (notifyPublisher bool) {
	if len(data) == 0 {
		return false
	}
	v, err := decodeVersion(data, m.versionByHash)
	if errors.Is(err, errMissingBase) {
		m.ready = versionID{} // so that the reply to the next query has it complete
		return true
	}
	if err == nil && m.MaxEntries > 0 && v.Entries() > m.MaxEntries {
		err = fmt.Errorf("rules: %d entries, this process takes %d", v.Entries(), m.MaxEntries)
	}
	if err != nil {
		m.fault = versionFault{err.Error(), transferredHash(data)}
		return true
	}
	id := versionID{v.Number, v.Hash()}
	if m.versions[id.hash] == nil {
		m.versions[id.hash] = compileVersion(v)
	}
	if id.number < m.ready.number || id == m.ready {
		return false
	}
	m.ready, m.fault.reason = id, ""
	return true
}

func (m *Member) versionByHash(h Hash) *Version {
	if v := m.versions[h]; v != nil {
		return v.version
	}
	return nil
}
