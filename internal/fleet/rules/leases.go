package rules

// clockDriftDivisor determines the margin by which each side moves the end of a lease: the lease's
// duration divided by it, 2 %, which covers a clock that is 2 % fast or slow. The member counts its
// lease from before it sent the request and ends it a margin early; the publisher counts from when
// the request arrived and ends it a margin late. So a lease that has ended at the publisher has
// ended at the member too, no matter how long the messages were delayed.
const clockDriftDivisor = 50

// MemberLeaseEnd returns when a lease ends at the member that requested it at requestedAt, on the
// member's clock. The duration is in nanoseconds.
func MemberLeaseEnd(requestedAt, duration Time) Time {
	return requestedAt + duration - duration/clockDriftDivisor
}

// PublisherLeaseEnd returns when the publisher may treat a lease as ended whose request arrived at
// receivedAt, on the publisher's clock. The duration is in nanoseconds.
func PublisherLeaseEnd(receivedAt, duration Time) Time {
	return receivedAt + duration + duration/clockDriftDivisor
}

// memberState is the publisher's knowledge of a member's lease and versions.
type memberState struct {
	leaseNumber uint64 // number of the version that the lease covers
	leaseEnd    Time   // on the publisher's clock; 0 if no lease was granted
	ready       Hash   // hash of the newest version that the member has compiled; zero if none
	fault       string // why the member can't use the staged version; empty if it has reported no fault
}

// recordReport records from a member's query which version the member has compiled, and whether it
// can't use the staged version. A fault of another version is ignored, since it may be reported
// late.
func (m *memberState) recordReport(q *leaseQuery, versions *versionStore) {
	m.ready, m.fault = Hash{}, ""
	if versions.staged != nil && q.Fault != "" && string(q.FaultyVersion) == string(versions.stagedHash[:]) {
		m.fault = q.Fault
	}
	if len(q.ReadyHash) == len(Hash{}) {
		m.ready = Hash(q.ReadyHash)
	}
}

func (m *memberState) holdsLease(now Time) bool { return m.leaseEnd > now }

// leaseTable records which member may act by which version, and until when. Its keys are peer IDs.
type leaseTable struct {
	// unknownUntil is when the last lease of the previous publisher ends: until then, leases that
	// are not in the table may be valid.
	unknownUntil Time
	members      map[uint32]*memberState
}

// newLeaseTable returns an empty table for a publisher that starts at now.
func newLeaseTable(now, duration Time) leaseTable {
	return leaseTable{unknownUntil: PublisherLeaseEnd(now, duration), members: map[uint32]*memberState{}}
}

// member returns the state of a member, which the caller may change. It adds an empty state for an
// unknown member.
func (t *leaseTable) member(peer uint32) *memberState {
	m := t.members[peer]
	if m == nil {
		m = &memberState{}
		t.members[peer] = m
	}
	return m
}

// leaseHolder returns the state of a member that holds a lease now, or nil if it holds none.
func (t *leaseTable) leaseHolder(peer uint32, now Time) *memberState {
	if m := t.members[peer]; m != nil && m.holdsLease(now) {
		return m
	}
	return nil
}

// clearFaults removes the reported faults when another version is staged.
func (t *leaseTable) clearFaults() {
	for _, m := range t.members {
		m.fault = ""
	}
}

// readiness summarizes the lease holders' reports on the staged version.
type readiness struct {
	all         bool   // every holder has compiled it
	faultyPeer  uint32 // a holder that can't use it; valid if faultReason is not empty
	faultReason string // empty if no holder has reported a fault
}

// readiness returns the lease holders' reports on the version with the hash staged. Members without
// a valid lease do not count.
func (t *leaseTable) readiness(staged Hash, now Time) readiness {
	r := readiness{all: true}
	for peer, m := range t.members {
		if !m.holdsLease(now) {
			continue
		}
		if m.fault != "" {
			return readiness{faultyPeer: peer, faultReason: m.fault}
		}
		r.all = r.all && m.ready == staged
	}
	return r
}
