package rules

// clockDriftDivisor: one fiftieth of a lease covers the drift between two clocks, 1 % each. The member counts its lease from before it
// sent the request, on its monotonic clock, and less this margin; the coordinator from when the request came, and this margin more.
const clockDriftDivisor = 50

// LeaseEnd is when a lease that was asked for at a time ends at the member that acts by it.
func LeaseEnd(askedAt, duration Time) Time { return askedAt + duration - duration/clockDriftDivisor }

// LeaseSurelyEnded is when the coordinator that granted it may take a lease for ended.
func LeaseSurelyEnded(heardAt, duration Time) Time {
	return heardAt + duration + duration/clockDriftDivisor
}

// memberState is what the coordinator knows of a member.
type memberState struct {
	leaseNumber uint64 // of the version that it may act by
	leaseEnd    Time   // 0: none was granted
	ready       Hash   // of the newest version that it has compiled
	fault       string // why it can't use the staged version; "": none is known
}

func (m *memberState) holdsLease(now Time) bool { return m.leaseEnd > now }

// leaseTable is who may act by which version until when.
type leaseTable struct {
	unknownUntil Time // until then members may hold leases of an earlier coordinator, which are not in the table
	members      map[uint32]*memberState
}

func newLeaseTable(now, duration Time) leaseTable {
	return leaseTable{unknownUntil: LeaseSurelyEnded(now, duration), members: map[uint32]*memberState{}}
}

// member is a peer's state, which may be changed.
func (t *leaseTable) member(peer uint32) *memberState {
	m := t.members[peer]
	if m == nil {
		m = &memberState{}
		t.members[peer] = m
	}
	return m
}

// holder is a peer's state if it may act by a version now; nil: it may not.
func (t *leaseTable) holder(peer uint32, now Time) *memberState {
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
