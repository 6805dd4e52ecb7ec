package rules

// clockDriftDivisor: each side's fiftieth of a lease covers a clock that is fast or slow by 2 %. The member counts its lease from before it sent the
// request and ends it a margin early; the publisher counts from when the request arrived and ends it a margin late. So a lease that the publisher
// takes for ended has ended at the member too, whatever the delay of the messages.
const clockDriftDivisor = 50

// MemberLeaseEnd is when a lease that was requested at a time ends at the member that holds it.
func MemberLeaseEnd(requestedAt, duration Time) Time {
	return requestedAt + duration - duration/clockDriftDivisor
}

// PublisherLeaseEnd is when the publisher may take a lease for ended whose request arrived at a time.
func PublisherLeaseEnd(receivedAt, duration Time) Time {
	return receivedAt + duration + duration/clockDriftDivisor
}

// memberState is what the publisher knows of a member.
type memberState struct {
	leaseNumber uint64 // number of the version that it may act by
	leaseEnd    Time   // 0: none was granted
	ready       Hash   // of the newest version that it has compiled
	fault       string // why it can't use the staged version; "": it has reported none
}

// recordReport records what a member's query says of the versions that it has compiled, or can't use. A fault counts for the staged version only:
// one of an earlier version may be reported late.
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

// leaseTable is which member may act by which version until when. Members are known by their peer id.
type leaseTable struct {
	unknownUntil Time // until then leases of an earlier publisher, which are not in the table, may be valid
	members      map[uint32]*memberState
}

func newLeaseTable(now, duration Time) leaseTable {
	return leaseTable{unknownUntil: PublisherLeaseEnd(now, duration), members: map[uint32]*memberState{}}
}

// member is a member's state, which the caller may change; it is added where there is none.
func (t *leaseTable) member(peer uint32) *memberState {
	m := t.members[peer]
	if m == nil {
		m = &memberState{}
		t.members[peer] = m
	}
	return m
}

// leaseHolder is a member's state if it holds a lease now; nil: it holds none.
func (t *leaseTable) leaseHolder(peer uint32, now Time) *memberState {
	if m := t.members[peer]; m != nil && m.holdsLease(now) {
		return m
	}
	return nil
}

func (t *leaseTable) clearFaults() {
	for _, m := range t.members {
		m.fault = ""
	}
}

// readiness is what lease holders have reported of the staged version.
type readiness struct {
	all         bool   // every holder has it compiled
	faultyPeer  uint32 // one that can't use it
	faultReason string // "": there is none
}

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
