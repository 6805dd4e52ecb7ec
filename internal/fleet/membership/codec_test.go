package membership

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"
)

type silent struct{ sent [][]byte }

func (s *silent) Send(_ int, d []byte) { s.sent = append(s.sent, append([]byte(nil), d...)) }
func (s *silent) Changed(Change)       {}

func core(t testing.TB, name string) (*Core, *silent) {
	s := &silent{}
	c, err := New(Config{Name: name, Fleet: "f", Incarnation: NewIncarnation(1), Slots: 3, OwnSlot: 0, Seed: 1}, s)
	if err != nil {
		t.Fatal(err)
	}
	c.Tick(0, 0)
	return c, s
}

// full is a datagram with every kind of part.
func full() []byte {
	d := &Datagram{}
	d.begin(ID("fleet f"), ID("other"), NewIncarnation(7), 99, MaxDatagram)
	d.seq(partPing, 1)
	d.seq(partAck, 2)
	d.seqID(partPingFor, 3, 4)
	d.seqID(partAckFor, 5, 6)
	d.row([]uint32{1, 2, 3})
	d.want()
	d.name("other")
	for d.news(MemberNews{ID: 8, State: Suspect, Incarnation: NewIncarnation(3) + 1, Age: 1200}) {
	}
	return d.Bytes()
}

// FuzzReceive: whatever comes, from wherever, nothing panics, and what is malformed changes nothing.
func FuzzReceive(f *testing.F) {
	whole := full()
	for n := range len(whole) {
		f.Add(whole[:n])
	}
	f.Add(whole)
	for i := range whole[:60] {
		bad := append([]byte(nil), whole...)
		bad[i] ^= 0xff
		f.Add(bad)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		c, s := core(t, "me")
		before := c.Digest()
		err := c.Receive(int64(time.Second), 1, in)
		if err != nil && (c.Digest() != before || len(c.View()) > 0) {
			t.Fatalf("%v, and it has changed the view", err)
		}
		c.Tick(int64(time.Second), int64(time.Second))
		for _, d := range s.sent {
			if len(d) > MaxDatagram {
				t.Fatalf("answers with %d bytes", len(d))
			}
			// A refusal speaks to the other fleet in its name.
			if _, err := read(d, binary.BigEndian.Uint32(d[1:])); err != nil {
				t.Fatalf("answers with what it can't read: %v", err)
			}
		}
	})
}

// Another fleet's datagrams, another version's, and those under the own name are refused by their reason, and counted.
func TestRefusals(t *testing.T) {
	c, _ := core(t, "me")
	old := full()
	old[0] = version + 1
	if err := c.Receive(1, 1, old); err != ErrVersion || c.Counts().OtherVersion != 1 {
		t.Error(err)
	}
	d := &Datagram{}
	d.begin(ID("fleet g"), ID("other"), 1, 0, MaxDatagram)
	if err := c.Receive(1, 1, d.Bytes()); err != ErrFleet || c.Counts().OtherFleet != 1 {
		t.Error(err)
	}
	d.begin(ID("fleet f"), ID("me"), NewIncarnation(1), 0, MaxDatagram)
	if err := c.Receive(1, 1, d.Bytes()); err == nil || c.Counts().Clashes != 1 {
		t.Error("a process under the own name is taken in")
	}
	// One name at two addresses: the one that is there stays.
	d.begin(ID("fleet f"), ID("twin"), NewIncarnation(1), 0, MaxDatagram)
	if err := c.Receive(1, 1, d.Bytes()); err != nil {
		t.Fatal(err)
	}
	d.begin(ID("fleet f"), ID("twin"), NewIncarnation(2), 0, MaxDatagram)
	if err := c.Receive(2, 2, d.Bytes()); err == nil || c.View()[0].Slot != 1 {
		t.Error("a second process under a live member's name is taken in")
	}
	if err := c.Receive(3, 9, full()); err == nil {
		t.Error("a datagram from no known address is taken")
	}
}

func TestTakingADatagramAllocatesNothing(t *testing.T) {
	c, _ := core(t, "me")
	d := &Datagram{}
	d.begin(ID("fleet f"), ID("other"), NewIncarnation(7), c.Digest(), MaxDatagram)
	d.row([]uint32{1, 2})
	for d.news(MemberNews{ID: ID("other"), State: Alive, Incarnation: NewIncarnation(7)}) {
	}
	c.Receive(1, 1, d.Bytes())
	if n := testing.AllocsPerRun(100, func() { c.Receive(2, 1, d.Bytes()) }); n > 0 {
		t.Errorf("%.0f allocations", n)
	}
}

func BenchmarkReceive(b *testing.B) {
	c, _ := core(b, "me")
	d := &Datagram{}
	d.begin(ID("fleet f"), ID("other"), NewIncarnation(7), c.Digest(), MaxDatagram)
	for d.news(MemberNews{ID: ID("other"), State: Alive, Incarnation: NewIncarnation(7)}) {
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Receive(int64(i), 1, d.Bytes())
	}
}

// Sealed datagrams: under another key, cut, changed or taken before they are refused; both keys open while keys are changed.
func TestSeal(t *testing.T) {
	old, next := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	seal := func(keys ...[]byte) *Seal {
		s, err := NewSeal(keys...)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	d := &Datagram{}
	d.begin(1, 2, NewIncarnation(3), 4, MaxDatagram-SealLength)
	first := append([]byte(nil), seal(old).Seal(d.Bytes())...)
	for name, s := range map[string]*Seal{"same key": seal(old), "new key first": seal(next, old), "new key second": seal(old, next)} {
		if got, err := s.Open(first); err != nil || string(got) != string(d.Bytes()) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := s.Open(first); err != ErrReplay {
			t.Errorf("%s: taken twice: %v", name, err)
		}
	}
	if _, err := seal(next).Open(first); err != ErrSeal {
		t.Errorf("under another key: %v", err)
	}
	for i := range first {
		bad := append([]byte(nil), first...)
		bad[i] ^= 1
		if _, err := seal(old).Open(bad); err == nil {
			t.Fatalf("byte %d changed, and it is taken", i)
		}
		if _, err := seal(old).Open(first[:i]); err == nil {
			t.Fatalf("cut at %d, and it is taken", i)
		}
	}
	// Out of order within the window, each once; one far behind is not known to be new.
	from, to := seal(old), seal(old)
	var sent [][]byte
	for range 100 {
		sent = append(sent, append([]byte(nil), from.Seal(d.Bytes())...))
	}
	for _, i := range []int{5, 3, 4, 60, 59} {
		if _, err := to.Open(sent[i]); err != nil {
			t.Errorf("number %d: %v", i, err)
		}
	}
	to.Open(sent[99])
	for _, i := range []int{3, 59, 10} {
		if _, err := to.Open(sent[i]); err != ErrReplay {
			t.Errorf("number %d again, or too late: %v", i, err)
		}
	}
	for _, keys := range [][][]byte{{}, {[]byte("short")}, {old, next, old}} {
		if _, err := NewSeal(keys...); err == nil {
			t.Errorf("%d keys are taken", len(keys))
		}
	}
}

// Whoever is refused is told why.
func TestTheRefusedIsTold(t *testing.T) {
	c, s := core(t, "me")
	other, err := New(Config{Name: "other", Fleet: "g", Incarnation: NewIncarnation(1), Slots: 3, OwnSlot: 1}, &silent{})
	if err != nil {
		t.Fatal(err)
	}
	s.sent = nil
	c.Receive(int64(time.Second), 1, other.datagram().Bytes())
	c.Receive(int64(time.Second)+1, 1, other.datagram().Bytes())
	if len(s.sent) != 1 {
		t.Fatalf("%d answers to two datagrams of another fleet", len(s.sent))
	}
	if err := other.Receive(2, 0, s.sent[0]); err == nil || !strings.Contains(err.Error(), "another fleet") {
		t.Errorf("it is told %v", err)
	}
}
