package membership

import "sort"

// Member is a member as this process sees it.
type Member struct {
	Name        string // empty if not known yet
	ID          uint32
	Slot        int // number of the member's address; -1 if not known
	State       State
	Incarnation Incarnation
	HeardHere   Time     // when this process last heard the member; zero if never
	HeardByAny  Time     // when any process last heard the member; zero if never
	Unheard     []uint32 // IDs of the members that this member last reported not to hear
	UnheardAt   Time     // when this member last reported Unheard; zero if never
}

// member is a Member with the state of failure detection.
type member struct {
	Member
	// unansweredSince is the send time of the first unanswered probe since this process last heard the
	// member; zero if there is none.
	unansweredSince Time
	suspectedAt     Time // when the suspicion started; zero if the member is not suspected
	stateSince      Time // when State was last set
}

// digest returns the member's share of the view's digest. It leaves out what may differ between correct
// views for long: whether a member is suspect, the counter of its incarnation, and members that have
// ended, which a process that joined later need not know.
func (m *member) digest() uint32 {
	s := m.State
	switch s {
	case Left, Gone:
		return 0
	case Suspect:
		s = Alive
	}
	// The 64-bit finalizer mixes the bits, so that XOR can combine the members' digests in any order.
	x := uint64(m.ID)<<32 ^ m.Incarnation.Start()*0x9e3779b97f4a7c15 ^ uint64(s)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return uint32(x ^ x>>29)
}

// memberTable is one process's view of the other members. Its counts and digest are updated with each
// change: each datagram needs them, and iterating over a large fleet for each datagram would cost too much.
type memberTable struct {
	byID                 map[uint32]*member // by member ID
	ids                  []uint32           // member IDs, sorted: no decision may depend on the order of a map
	version              uint64             // rises with each change that is reported
	digest               uint32             // XOR of the members' digests
	alive                int                // number of members that are alive or suspect
	suspectOrUnreachable int                // number of members that are suspect or unreachable
	unanswered           int                // number of members with an unanswered probe
}

func newMemberTable() memberTable { return memberTable{byID: map[uint32]*member{}} }

// get returns the member with the given ID, or nil if it is not known.
func (t *memberTable) get(id uint32) *member { return t.byID[id] }

// add adds a new member in state Joining and returns it.
func (t *memberTable) add(id uint32, now Time) *member {
	m := &member{Member: Member{ID: id, Slot: -1}, stateSince: now}
	t.byID[id] = m
	i := sort.Search(len(t.ids), func(i int) bool { return t.ids[i] >= id })
	t.ids = append(t.ids, 0)
	copy(t.ids[i+1:], t.ids[i:])
	t.ids[i] = id
	t.digest ^= m.digest()
	return m
}

// setState changes a member's state, and the counts, the digest and the version accordingly.
func (t *memberTable) setState(m *member, to State, now Time) {
	t.digest ^= m.digest()
	t.count(m.State, -1)
	t.count(to, 1)
	m.State, m.stateSince = to, now
	t.digest ^= m.digest()
	t.version++
}

// setIncarnation sets a member's incarnation and reports whether it belongs to another process than before.
func (t *memberTable) setIncarnation(m *member, to Incarnation) (restarted bool) {
	t.digest ^= m.digest()
	restarted = m.Incarnation != 0 && to.Start() != m.Incarnation.Start()
	m.Incarnation = to
	t.digest ^= m.digest()
	if restarted {
		t.version++
	}
	return restarted
}

// setUnanswered sets the time since which a member has not answered. Zero means that it has answered.
func (t *memberTable) setUnanswered(m *member, since Time) {
	switch {
	case m.unansweredSince == 0 && since > 0:
		t.unanswered++
	case m.unansweredSince > 0 && since == 0:
		t.unanswered--
	}
	m.unansweredSince = since
}

// count adds delta, which is 1 or -1, to the counts that include state s.
func (t *memberTable) count(s State, delta int) {
	if s.countsForMajority() {
		t.alive += delta
	}
	if s == Suspect || s == Unreachable {
		t.suspectOrUnreachable += delta
	}
}

// unheard returns the IDs of at most maxUnheardListed alive or suspect members that have not answered
// this process since it last heard them.
func (t *memberTable) unheard() (ids []uint32) {
	if t.unanswered == 0 {
		return nil
	}
	for _, id := range t.ids {
		m := t.byID[id]
		if m.State.countsForMajority() && m.unansweredSince > 0 && len(ids) < maxUnheardListed {
			ids = append(ids, id)
		}
	}
	return ids
}

// members returns a copy of the view, sorted by ID. It shares only the slices Member.Unheard with the view.
func (t *memberTable) members() []Member {
	out := make([]Member, 0, len(t.ids))
	for _, id := range t.ids {
		out = append(out, t.byID[id].Member)
	}
	return out
}
