package membership

import "sort"

// Member is one member as others may see it.
type Member struct {
	Name        string
	ID          uint32
	Slot        int // -1: not known
	State       State
	Incarnation Incarnation
	HeardHere   Time     // when this process last heard it; 0: never
	HeardByAny  Time     // when anybody last heard it
	Unheard     []uint32 // members that it reports not to hear
	UnheardAt   Time     // when it last reported them
}

// member is a member with what failure detection needs besides.
type member struct {
	Member
	unansweredSince Time // send time of the first probe unanswered since it was last heard here; 0: none
	suspectedAt     Time // 0: not under suspicion
	stateSince      Time
}

// digest is a member's part of the view's digest. What may differ for long between correct views has no part: whether a member is suspect, an
// incarnation's counter, and members that have ended, of which a process that joined later need not know.
func (m *member) digest() uint32 {
	s := m.State
	switch s {
	case Left, Gone:
		return 0
	case Suspect:
		s = Alive
	}
	// A 64-bit finalizer, so that the parts can be combined by XOR in any order.
	x := uint64(m.ID)<<32 ^ m.Incarnation.Start()*0x9e3779b97f4a7c15 ^ uint64(s)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return uint32(x ^ x>>29)
}

// memberTable is one process's view of the others. Its counts and digest are updated with each change: each datagram needs them, and iterating
// over a large fleet for each would cost too much.
type memberTable struct {
	byID                 map[uint32]*member
	ids                  []uint32 // sorted: no decision may follow the order of a map
	version              uint64   // rises with each change that is reported
	digest               uint32
	alive                int // alive or suspect
	suspectOrUnreachable int // suspect or unreachable
	unanswered           int // with an unanswered probe
}

func newMemberTable() memberTable { return memberTable{byID: map[uint32]*member{}} }

// get is a member by its id; nil: not known.
func (t *memberTable) get(id uint32) *member { return t.byID[id] }

// add begins a member that is not known yet, as joining.
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

// setState changes a member's state.
func (t *memberTable) setState(m *member, to State, now Time) {
	t.digest ^= m.digest()
	t.count(m.State, -1)
	t.count(to, 1)
	m.State, m.stateSince = to, now
	t.digest ^= m.digest()
	t.version++
}

// setIncarnation gives a member another incarnation and reports whether that is another process than before.
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

// setUnanswered notes since when a member has not answered; 0: it has.
func (t *memberTable) setUnanswered(m *member, since Time) {
	switch {
	case m.unansweredSince == 0 && since > 0:
		t.unanswered++
	case m.unansweredSince > 0 && since == 0:
		t.unanswered--
	}
	m.unansweredSince = since
}

func (t *memberTable) count(s State, by int) {
	if s.countsForMajority() {
		t.alive += by
	}
	if s == Suspect || s == Unreachable {
		t.suspectOrUnreachable += by
	}
}

// unheard lists the living members that did not answer this process since it last heard them, at most maxUnheardListed.
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

// members copies the view, by id.
func (t *memberTable) members() []Member {
	out := make([]Member, 0, len(t.ids))
	for _, id := range t.ids {
		out = append(out, t.byID[id].Member)
	}
	return out
}
