package rules

import (
	"errors"
	"fmt"
)

// queriesPerLease is the number of queries that a member sends in each lease duration, so that
// several may be lost before the lease ends.
const queriesPerLease = 6

// Member renews a process's lease and compiles the staged version. Every process of the fleet has
// one. Its methods must be called from one goroutine, while any goroutine may read its Enforcer.
type Member struct {
	LeaseDuration Time // nanoseconds; the same as the publisher's. All times are on the clock Enforcer.Now
	MaxEntries    int  // maximum number of entries of a version; 0 means no limit
	Enforcer      *Enforcer
	// SendQuery sends a query to the publisher. The caller passes the reply to ReplyReceived with
	// the same tag.
	SendQuery func(tag uint64, body []byte)
	// VersionChanged is called when the version that this process acts by changes. It may be nil.
	VersionChanged func(number uint64, hash Hash)

	queries  queryTracker
	versions map[Hash]*compiledVersion // the active version, the newest one, and those received since the active one changed
	active   Hash                      // of the version that this process acts by; zero if none
	ready    versionID                 // the newest compiled version; zero if none
	fault    versionFault              // the last version that this process could not use, until a newer one is compiled
}

// versionID is a version's number and hash.
type versionID struct {
	number uint64
	hash   Hash
}

// versionFault is the reason why this process can't use a version.
type versionFault struct {
	reason string // empty if there is no fault
	hash   Hash
}

// queryTracker tracks the queries that have no reply yet.
type queryTracker struct {
	lastTag    uint64
	lastSentAt Time            // 0 if none was sent
	sentAt     map[uint64]Time // by tag
}

// start returns the tag of a query that is sent now. It removes the queries that are older than a
// lease duration: a lease from such a query would have ended.
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

// Step requests a renewal of the lease when a sixth of a lease duration has passed since the last
// query. The process calls it regularly.
func (m *Member) Step(now Time) {
	if now >= m.queries.lastSentAt+m.LeaseDuration/queriesPerLease || m.queries.lastSentAt == 0 {
		m.requestLease(now)
	}
}

// NotificationReceived requests a lease immediately. Call it when the publisher notifies its members
// of a new version.
func (m *Member) NotificationReceived(now Time) { m.requestLease(now) }

// requestLease sends a query that requests a lease and reports the versions of this process.
func (m *Member) requestLease(now Time) {
	if m.versions == nil {
		m.initVersions()
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

// initVersions makes the version that the Enforcer acts by, if there is one, known to the member: an
// earlier Member or another process of this proxy has received it. The publisher does not send a version
// that a query reports as active.
func (m *Member) initVersions() {
	m.versions = map[Hash]*compiledVersion{}
	if active := m.Enforcer.active.Load(); active != nil {
		hash := active.version.Hash()
		m.versions[hash], m.ready = active.compiledVersion, versionID{active.version.Number, hash}
	}
}

// ReplyReceived applies a reply: it compiles the versions in it and applies the lease. The lease
// counts from when it was requested, so that a late reply does not prolong it. Unexpected and
// malformed replies are ignored.
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

// applyLease makes a version the active one until its lease ends. It ignores a late reply with an
// older version or an earlier end, so that a member never goes back to an older version.
func (m *Member) applyLease(hash Hash, v *compiledVersion, leaseEnd Time) {
	if !m.Enforcer.apply(&leasedVersion{v, leaseEnd}) || m.active == hash {
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

// receiveVersion compiles a version, and reports whether the member must send a query immediately
// to report the result: the version is ready, or it can't be used here and must not become active
// anywhere, or its base is missing.
func (m *Member) receiveVersion(data []byte) (notifyPublisher bool) {
	if len(data) == 0 {
		return false
	}
	v, err := decodeVersion(data, m.versionByHash)
	if errors.Is(err, errMissingBase) {
		m.ready = versionID{} // makes the publisher send the complete version
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

// versionByHash returns a compiled version's source, or nil.
func (m *Member) versionByHash(h Hash) *Version {
	if v := m.versions[h]; v != nil {
		return v.version
	}
	return nil
}
