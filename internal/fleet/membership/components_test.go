package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
)

// TestMemberTableCountsAndDigest checks the counts and the digest of the view after changes of a member's
// state, incarnation and answers.
func TestMemberTableCountsAndDigest(t *testing.T) {
	table := newMemberTable()
	a, b := table.add(20, 0), table.add(10, 0)
	if !slices.Equal(table.ids, []uint32{10, 20}) {
		t.Errorf("table.ids = %v after adding 20 and 10, want [10 20]", table.ids)
	}
	table.setIncarnation(a, NewIncarnation(1))
	table.setState(a, Alive, 1)
	alive := table.digest
	for _, c := range []struct {
		to                          State
		alive, suspectOrUnreachable int
		sameDigest                  bool
	}{{Suspect, 1, 1, true}, {Unreachable, 0, 1, false}, {Gone, 0, 0, false}, {Alive, 1, 0, true}} {
		table.setState(a, c.to, 2)
		if table.alive != c.alive || table.suspectOrUnreachable != c.suspectOrUnreachable || (table.digest == alive) != c.sameDigest {
			t.Errorf("state changed to %s: %d alive, %d suspect or unreachable, digest as when alive %t; want %d, %d, %t",
				c.to, table.alive, table.suspectOrUnreachable, table.digest == alive, c.alive, c.suspectOrUnreachable, c.sameDigest)
		}
	}
	if table.setIncarnation(a, NewIncarnation(1)+1) || !table.setIncarnation(a, NewIncarnation(2)) {
		t.Error("setIncarnation reports a restart for a higher counter of the same start, or none for a later start")
	}
	table.setUnanswered(b, 5)
	table.setUnanswered(a, 6)
	table.setUnanswered(a, 7)
	if table.unanswered != 2 || !slices.Equal(table.unheard(), []uint32{20}) {
		t.Errorf("%d members unanswered, %v unheard, want 2, [20]: a joining member is not listed as unheard", table.unanswered, table.unheard())
	}
}

// TestProberRounds checks that each round probes each slot (the number of an address) once, except
// the process's own slot.
func TestProberRounds(t *testing.T) {
	p := newProber(rand.New(rand.NewPCG(1, 2)), 4, 1)
	p.addSlot(4)
	for range 3 {
		var round []int
		for range p.slots {
			round = append(round, p.nextSlot())
		}
		slices.Sort(round)
		if !slices.Equal(round, []int{0, 2, 3, 4}) {
			t.Errorf("a round probes slots %v, want each once except the process's own slot 1", round)
		}
	}
	p.removeSlot(4)
	if slices.Contains(p.slots, 4) {
		t.Errorf("slot 4 was removed, but the slots to probe are %v", p.slots)
	}
}

// TestProberAcks checks which acks complete a probe of this process and a probe on behalf of another member.
func TestProberAcks(t *testing.T) {
	p := newProber(rand.New(rand.NewPCG(1, 2)), 2, 0)
	own, requestedProbe := p.begin(7, 1, nil), p.begin(7, 1, &probeRequester{slot: 1, sequence: 9})
	if p.completeProbe(own, 8) != nil || p.completeIndirectProbe(requestedProbe, 7) {
		t.Error("an ack by member 8 completes a probe of member 7, or an indirect ack completes a probe on behalf of another member")
	}
	if !p.completeIndirectProbe(own, 7) || p.completeProbe(requestedProbe, 7) == nil || len(p.sequences()) > 0 {
		t.Errorf("an ack by member 7 does not complete a probe of it, or probes %v are still outstanding", p.sequences())
	}
}

// TestLocalHealthBounds checks the shortest and the longest timeout that localHealth allows.
func TestLocalHealthBounds(t *testing.T) {
	var h localHealth
	h.improve()
	if h.extend(100) != 100 {
		t.Errorf("healthy process: extend(100) = %d, want 100", h.extend(100))
	}
	for range 2 * maxHealth {
		h.degrade()
	}
	if h.extend(100) != 100+100*maxHealth/2 {
		t.Errorf("at the highest multiplier extend(100) = %d, want %d", h.extend(100), 100+100*maxHealth/2)
	}
}

// TestGossipIsSentOftenEnough checks that an update is sent as often as the fleet's size requires, even
// if each datagram has room for only one update and another update is added later.
func TestGossipIsSentOftenEnough(t *testing.T) {
	var q gossipQueue
	q.spread(1, 6) // 3*log2(8) = 9 sends
	q.spread(1, 6)
	sent := map[uint32]int{}
	for i := range 20 {
		if i == 4 {
			q.spread(2, 6)
		}
		first := true
		q.drain(func(id uint32) bool { // each datagram has room for one update
			if !first {
				return false
			}
			first = false
			sent[id]++
			return true
		})
	}
	if sent[1] != 9 || sent[2] != 9 || len(q.items) != 0 {
		t.Errorf("updates sent by member: %v, %d still queued; want 9 each, 0", sent, len(q.items))
	}
}

// TestAntiEntropyRequests checks that a complete view is requested after views have differed for more than
// viewRequestDelay, and not after they are equal again.
func TestAntiEntropyRequests(t *testing.T) {
	var a antiEntropy
	var due []string
	for now := sec; now <= 6*sec; now += sec / 2 {
		a.recordComparison(now < 2*sec || now > 4*sec, now)
		if a.requestDue(now) {
			due = append(due, fmt.Sprint(now/ms))
		}
	}
	if !slices.Equal(due, []string{"3500"}) {
		t.Errorf("requests at %v ms, want one at 3500 ms, the first turn more than 1 s after the views began to differ", due)
	}
}

// TestAddressBookReusesSlots checks that a new address reuses the slot of an ended member but not that of a
// seed, and that no slot is added beyond maxSlots.
func TestAddressBookReusesSlots(t *testing.T) {
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	}
	b, table := newAddressBook(Config{Slots: 1, Seeds: []netip.AddrPort{addr(1)}}), newMemberTable()
	seed, other := table.add(10, 0), table.add(20, 0)
	b.assign(seed, 0)
	slot, added := b.slotFor(addr(2), &table)
	b.assign(other, slot)
	table.setState(seed, Left, 1)
	table.setState(other, Left, 1)
	if reused, again := b.slotFor(addr(3), &table); !added || again || reused != slot || other.Slot != -1 {
		t.Errorf("slotFor of a new address = %d, %t, the ended member has slot %d; want %d, false, -1", reused, again, other.Slot, slot)
	}
	for port := uint16(4); len(b.addresses) < maxSlots; port++ {
		b.slotFor(addr(port), &table)
	}
	if slot, _ := b.slotFor(addr(65000), &table); slot != -1 {
		t.Errorf("slotFor of a new address = %d with %d slots in use, want -1", slot, maxSlots)
	}
}

// TestIsolationDetectsPauses checks that a pause is detected by either clock, at a tick or at a datagram
// before the first tick after it, and only once.
func TestIsolationDetectsPauses(t *testing.T) {
	const threshold = 800 * ms
	for _, c := range []struct {
		name      string
		now, wall Time // by how much the monotonic and the wall clock advanced since the last tick
		paused    bool
	}{
		{"on time", 50 * ms, 50 * ms, false},
		{"clock set back", 50 * ms, -sec, false},
		{"stopped", sec, sec, true},
		{"suspended with a monotonic clock that stands still", 50 * ms, sec, true},
	} {
		var i isolation
		i.start(sec, 5*sec)
		if gap, paused := i.tick(sec+c.now, 5*sec+c.wall, threshold); paused != c.paused || gap != c.now {
			t.Errorf("%s: paused %t, gap %d ns, want %t, %d ns", c.name, paused, gap, c.paused, c.now)
		}
	}
	var i isolation
	if _, paused := i.receive(sec, threshold); paused {
		t.Error("receive reports a pause before the first tick")
	}
	i.start(sec, 5*sec)
	gap, paused := i.receive(3*sec, threshold)
	i.advancePastPause(3*sec, gap)
	if _, again := i.tick(3*sec, 7*sec, threshold); !paused || again {
		t.Errorf("pause reported by receive %t, again by the next tick %t, want true, false", paused, again)
	}
}
