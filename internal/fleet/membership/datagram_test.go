package membership

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"
)

// recordingEffects records the datagrams that a Core sends.
type recordingEffects struct{ sent [][]byte }

func (s *recordingEffects) Send(_ int, d []byte) { s.sent = append(s.sent, append([]byte(nil), d...)) }
func (s *recordingEffects) Changed(Change)       {}

// newTestCore returns the Core of a process at slot 0 of fleet f, which has three slots, and the
// effects that record its datagrams. The Core has ticked once, at time 0 on both clocks.
func newTestCore(t testing.TB, name string) (*Core, *recordingEffects) {
	t.Helper()
	s := &recordingEffects{}
	c, err := New(Config{Name: name, Fleet: "f", Incarnation: NewIncarnation(1), Slots: 3, OwnSlot: 0, Seed: 1}, s)
	if err != nil {
		t.Fatal(err)
	}
	c.Tick(0, 0)
	return c, s
}

// fullDatagram returns a datagram of member other of fleet f. It has parts of most kinds, and as many
// updates as fit.
func fullDatagram() []byte {
	d := &datagram{}
	d.begin(header{ID("fleet f"), ID("other"), NewIncarnation(7), 99}, MaxDatagramBytes)
	d.ping(1)
	d.ack(2)
	d.pingRequest(indirectProbe{3, 4})
	d.indirectAck(indirectProbe{5, 6})
	d.unheard([]uint32{1, 2, 3})
	d.viewRequest()
	d.name("other")
	for d.update(MemberUpdate{ID: 8, State: Suspect, Incarnation: NewIncarnation(3) + 1, Age: 1200}) {
	}
	return d.bytes()
}

// FuzzReceive checks that no datagram makes Receive panic, that a rejected one does not change the view, and
// that the datagrams sent afterwards can be decoded and are not too long.
func FuzzReceive(f *testing.F) {
	valid := fullDatagram()
	for n := range len(valid) {
		f.Add(valid[:n])
	}
	f.Add(valid)
	for i := range valid[:60] {
		bad := append([]byte(nil), valid...)
		bad[i] ^= 0xff
		f.Add(bad)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		c, s := newTestCore(t, "me")
		before := c.Digest()
		err := c.Receive(int64(time.Second), 1, in)
		if err != nil && (c.Digest() != before || len(c.View()) > 0) {
			t.Fatalf("Receive(%x) rejected the datagram (%v) but changed the view", in, err)
		}
		c.Tick(int64(time.Second), int64(time.Second))
		for _, d := range s.sent {
			if len(d) > MaxDatagramBytes {
				t.Fatalf("after Receive(%x) a datagram of %d bytes was sent, want at most %d", in, len(d), MaxDatagramBytes)
			}
			// The rejection of a datagram of another fleet contains that fleet.
			if _, _, err := decodeHeader(d, binary.BigEndian.Uint32(d[1:])); err != nil {
				t.Fatalf("after Receive(%x) datagram %x was sent, which cannot be decoded: %v", in, d, err)
			}
		}
	})
}

// TestUnusableDatagramsAreCounted checks that datagrams of another version or fleet, or under a name in
// use, are counted and rejected with the matching error.
func TestUnusableDatagramsAreCounted(t *testing.T) {
	c, _ := newTestCore(t, "me")
	old := fullDatagram()
	old[0] = formatVersion + 1
	if err := c.Receive(1, 1, old); err != ErrOtherVersion || c.Counts().OtherVersion != 1 {
		t.Errorf("datagram of another version: error %v, counted %d times, want %v, once", err, c.Counts().OtherVersion, ErrOtherVersion)
	}
	d := &datagram{}
	d.begin(header{ID("fleet g"), ID("other"), 1, 0}, MaxDatagramBytes)
	if err := c.Receive(1, 1, d.bytes()); err != ErrOtherFleet || c.Counts().OtherFleet != 1 {
		t.Errorf("datagram of another fleet: error %v, counted %d times, want %v, once", err, c.Counts().OtherFleet, ErrOtherFleet)
	}
	d.begin(header{ID("fleet f"), ID("me"), NewIncarnation(1), 0}, MaxDatagramBytes)
	if err := c.Receive(1, 1, d.bytes()); err == nil || c.Counts().NameConflicts != 1 {
		t.Errorf("another process under this process's name: error %v, counted %d times, want an error, once", err, c.Counts().NameConflicts)
	}
	// Two processes use one name at two slots: the one that is alive keeps it.
	d.begin(header{ID("fleet f"), ID("twin"), NewIncarnation(1), 0}, MaxDatagramBytes)
	if err := c.Receive(1, 1, d.bytes()); err != nil {
		t.Fatalf("first process at slot 1 under the name twin: error %v, want none", err)
	}
	d.begin(header{ID("fleet f"), ID("twin"), NewIncarnation(2), 0}, MaxDatagramBytes)
	if err := c.Receive(2, 2, d.bytes()); err == nil || c.View()[0].Slot != 1 {
		t.Errorf("second process at slot 2 under a live member's name: error %v, member at slot %d, want an error, slot 1", err, c.View()[0].Slot)
	}
	if err := c.Receive(3, 9, fullDatagram()); err == nil {
		t.Error("Receive accepted a datagram from slot 9 of 3 slots, want an error")
	}
}

// TestReceiveDoesNotAllocate checks that a datagram of a known member causes no allocations.
func TestReceiveDoesNotAllocate(t *testing.T) {
	c, _ := newTestCore(t, "me")
	d := &datagram{}
	d.begin(header{ID("fleet f"), ID("other"), NewIncarnation(7), c.Digest()}, MaxDatagramBytes)
	d.unheard([]uint32{1, 2})
	for d.update(MemberUpdate{ID: ID("other"), State: Alive, Incarnation: NewIncarnation(7)}) {
	}
	c.Receive(1, 1, d.bytes())
	if n := testing.AllocsPerRun(100, func() { c.Receive(2, 1, d.bytes()) }); n > 0 {
		t.Errorf("Receive makes %.0f allocations, want 0", n)
	}
}

// BenchmarkReceive measures Receive of a datagram full of updates.
func BenchmarkReceive(b *testing.B) {
	c, _ := newTestCore(b, "me")
	d := &datagram{}
	d.begin(header{ID("fleet f"), ID("other"), NewIncarnation(7), c.Digest()}, MaxDatagramBytes)
	for d.update(MemberUpdate{ID: ID("other"), State: Alive, Incarnation: NewIncarnation(7)}) {
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Receive(int64(i), 1, d.bytes())
	}
}

// TestSeal checks that datagrams under another key and truncated, altered or replayed ones are rejected,
// and that either key opens during a key change.
func TestSeal(t *testing.T) {
	oldKey, newKey := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	seal := func(keys ...[]byte) *Seal {
		s, err := NewSeal(keys...)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	d := &datagram{}
	d.begin(header{1, 2, NewIncarnation(3), 4}, MaxDatagramBytes-SealLength)
	first := append([]byte(nil), seal(oldKey).Seal(d.bytes())...)
	for name, s := range map[string]*Seal{"same key": seal(oldKey), "new key first": seal(newKey, oldKey), "new key second": seal(oldKey, newKey)} {
		if got, err := s.Open(first); err != nil || string(got) != string(d.bytes()) {
			t.Errorf("%s: Open = %x, %v, want %x", name, got, err, d.bytes())
		}
		if _, err := s.Open(first); err != ErrReplay {
			t.Errorf("%s: replayed datagram: error %v, want %v", name, err, ErrReplay)
		}
	}
	if _, err := seal(newKey).Open(first); err != ErrUnknownKey {
		t.Errorf("datagram under another key: error %v, want %v", err, ErrUnknownKey)
	}
	for i := range first {
		bad := append([]byte(nil), first...)
		bad[i] ^= 1
		if _, err := seal(oldKey).Open(bad); err == nil {
			t.Fatalf("Open accepted datagram %x with byte %d altered", first, i)
		}
		if _, err := seal(oldKey).Open(first[:i]); err == nil {
			t.Fatalf("Open accepted datagram %x truncated to %d bytes", first, i)
		}
	}
	// Datagrams that arrive out of order within the window are accepted once each. A datagram below the
	// window may be a replay and is rejected.
	from, to := seal(oldKey), seal(oldKey)
	var sent [][]byte
	for range 100 {
		sent = append(sent, append([]byte(nil), from.Seal(d.bytes())...))
	}
	for _, i := range []int{5, 3, 4, 60, 59} {
		if _, err := to.Open(sent[i]); err != nil {
			t.Errorf("datagram %d, out of order within the window: error %v, want none", i, err)
		}
	}
	to.Open(sent[99])
	for _, i := range []int{3, 59, 10} {
		if _, err := to.Open(sent[i]); err != ErrReplay {
			t.Errorf("datagram %d, replayed or below the window: error %v, want %v", i, err, ErrReplay)
		}
	}
	for _, keys := range [][][]byte{{}, {[]byte("short")}, {oldKey, newKey, oldKey}} {
		if _, err := NewSeal(keys...); err == nil {
			t.Errorf("NewSeal(%q) succeeded, want an error", keys)
		}
	}
}

// TestRejectedProcessLearnsWhy checks that at most one rejection per second is sent and that the rejected
// process reports the reason.
func TestRejectedProcessLearnsWhy(t *testing.T) {
	c, s := newTestCore(t, "me")
	other, err := New(Config{Name: "other", Fleet: "g", Incarnation: NewIncarnation(1), Slots: 3, OwnSlot: 1}, &recordingEffects{})
	if err != nil {
		t.Fatal(err)
	}
	s.sent = nil
	c.Receive(int64(time.Second), 1, other.newDatagram().bytes())
	c.Receive(int64(time.Second)+1, 1, other.newDatagram().bytes())
	if len(s.sent) != 1 {
		t.Fatalf("two datagrams of another fleet within a second caused %d rejections, want 1", len(s.sent))
	}
	if err := other.Receive(2, 0, s.sent[0]); err == nil || !strings.Contains(err.Error(), "another fleet") {
		t.Errorf("error of the rejected process is %v, want one that contains \"another fleet\"", err)
	}
}
