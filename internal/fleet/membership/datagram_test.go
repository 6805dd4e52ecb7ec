package membership

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"
)

type recordingEffects struct{ sent [][]byte }

func (s *recordingEffects) Send(_ int, d []byte) { s.sent = append(s.sent, append([]byte(nil), d...)) }
func (s *recordingEffects) Changed(Change)       {}

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

// datagramWithAllParts is a datagram with every kind of part.
func datagramWithAllParts() []byte {
	d := &datagram{}
	d.begin(header{ID("fleet f"), ID("other"), NewIncarnation(7), 99}, MaxDatagram)
	d.ping(1)
	d.ack(2)
	d.pingRequest(relayed{3, 4})
	d.indirectAck(relayed{5, 6})
	d.unheard([]uint32{1, 2, 3})
	d.viewRequest()
	d.name("other")
	for d.update(MemberUpdate{ID: 8, State: Suspect, Incarnation: NewIncarnation(3) + 1, Age: 1200}) {
	}
	return d.bytes()
}

// FuzzReceive: no datagram makes Receive panic, and a malformed one changes nothing.
func FuzzReceive(f *testing.F) {
	valid := datagramWithAllParts()
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
			t.Fatalf("a datagram was rejected (%v), and the view has changed", err)
		}
		c.Tick(int64(time.Second), int64(time.Second))
		for _, d := range s.sent {
			if len(d) > MaxDatagram {
				t.Fatalf("a datagram of %d bytes was sent", len(d))
			}
			// A rejection of another fleet's datagram is sent in that fleet's name.
			if _, _, err := decodeHeader(d, binary.BigEndian.Uint32(d[1:])); err != nil {
				t.Fatalf("a datagram was sent that cannot be decoded: %v", err)
			}
		}
	})
}

// TestUnusableDatagramsAreCounted: datagrams of another version or fleet, or under a name in use, are rejected with an error that says so.
func TestUnusableDatagramsAreCounted(t *testing.T) {
	c, _ := newTestCore(t, "me")
	old := datagramWithAllParts()
	old[0] = formatVersion + 1
	if err := c.Receive(1, 1, old); err != ErrVersion || c.Counts().OtherVersion != 1 {
		t.Error(err)
	}
	d := &datagram{}
	d.begin(header{ID("fleet g"), ID("other"), 1, 0}, MaxDatagram)
	if err := c.Receive(1, 1, d.bytes()); err != ErrFleet || c.Counts().OtherFleet != 1 {
		t.Error(err)
	}
	d.begin(header{ID("fleet f"), ID("me"), NewIncarnation(1), 0}, MaxDatagram)
	if err := c.Receive(1, 1, d.bytes()); err == nil || c.Counts().NameConflicts != 1 {
		t.Error("another process under this process's name is admitted")
	}
	// Two processes under one name at two slots: the one that is alive stays.
	d.begin(header{ID("fleet f"), ID("twin"), NewIncarnation(1), 0}, MaxDatagram)
	if err := c.Receive(1, 1, d.bytes()); err != nil {
		t.Fatal(err)
	}
	d.begin(header{ID("fleet f"), ID("twin"), NewIncarnation(2), 0}, MaxDatagram)
	if err := c.Receive(2, 2, d.bytes()); err == nil || c.View()[0].Slot != 1 {
		t.Error("a second process under a live member's name is admitted")
	}
	if err := c.Receive(3, 9, datagramWithAllParts()); err == nil {
		t.Error("a datagram from an unknown slot is accepted")
	}
}

func TestReceiveDoesNotAllocate(t *testing.T) {
	c, _ := newTestCore(t, "me")
	d := &datagram{}
	d.begin(header{ID("fleet f"), ID("other"), NewIncarnation(7), c.Digest()}, MaxDatagram)
	d.unheard([]uint32{1, 2})
	for d.update(MemberUpdate{ID: ID("other"), State: Alive, Incarnation: NewIncarnation(7)}) {
	}
	c.Receive(1, 1, d.bytes())
	if n := testing.AllocsPerRun(100, func() { c.Receive(2, 1, d.bytes()) }); n > 0 {
		t.Errorf("%.0f allocations", n)
	}
}

func BenchmarkReceive(b *testing.B) {
	c, _ := newTestCore(b, "me")
	d := &datagram{}
	d.begin(header{ID("fleet f"), ID("other"), NewIncarnation(7), c.Digest()}, MaxDatagram)
	for d.update(MemberUpdate{ID: ID("other"), State: Alive, Incarnation: NewIncarnation(7)}) {
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Receive(int64(i), 1, d.bytes())
	}
}

// TestSeal: datagrams under another key, truncated, altered or replayed are rejected; during a change of keys either key opens.
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
	d.begin(header{1, 2, NewIncarnation(3), 4}, MaxDatagram-SealLength)
	first := append([]byte(nil), seal(oldKey).Seal(d.bytes())...)
	for name, s := range map[string]*Seal{"same key": seal(oldKey), "new key first": seal(newKey, oldKey), "new key second": seal(oldKey, newKey)} {
		if got, err := s.Open(first); err != nil || string(got) != string(d.bytes()) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := s.Open(first); err != ErrReplay {
			t.Errorf("%s: replayed: %v", name, err)
		}
	}
	if _, err := seal(newKey).Open(first); err != ErrUnknownKey {
		t.Errorf("under another key: %v", err)
	}
	for i := range first {
		bad := append([]byte(nil), first...)
		bad[i] ^= 1
		if _, err := seal(oldKey).Open(bad); err == nil {
			t.Fatalf("a datagram with byte %d altered is accepted", i)
		}
		if _, err := seal(oldKey).Open(first[:i]); err == nil {
			t.Fatalf("a datagram truncated to %d bytes is accepted", i)
		}
	}
	// Datagrams out of order within the window are accepted once each; one further behind may be a replay, and is rejected.
	from, to := seal(oldKey), seal(oldKey)
	var sent [][]byte
	for range 100 {
		sent = append(sent, append([]byte(nil), from.Seal(d.bytes())...))
	}
	for _, i := range []int{5, 3, 4, 60, 59} {
		if _, err := to.Open(sent[i]); err != nil {
			t.Errorf("datagram %d, out of order: %v", i, err)
		}
	}
	to.Open(sent[99])
	for _, i := range []int{3, 59, 10} {
		if _, err := to.Open(sent[i]); err != ErrReplay {
			t.Errorf("datagram %d, replayed or beyond the window: %v", i, err)
		}
	}
	for _, keys := range [][][]byte{{}, {[]byte("short")}, {oldKey, newKey, oldKey}} {
		if _, err := NewSeal(keys...); err == nil {
			t.Errorf("%d keys are accepted", len(keys))
		}
	}
}

// TestRejectedProcessLearnsWhy: a rejection is sent once a second at most, and its receiver reports the reason.
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
		t.Fatalf("%d rejections of two datagrams within a second, expected 1", len(s.sent))
	}
	if err := other.Receive(2, 0, s.sent[0]); err == nil || !strings.Contains(err.Error(), "another fleet") {
		t.Errorf("the rejected process's error is %v", err)
	}
}
