package membership

import (
	"bytes"
	"testing"
)

// pipe is one end of two, whose datagrams go to the other.
type pipe struct {
	to  *Core
	now Time
	got [][]byte
	who uint32
}

func (p *pipe) Send(_ int, data []byte) { p.to.Receive(p.now, 0, bytes.Clone(data)) }
func (p *pipe) Changed(Change)          {}
func (p *pipe) CarriedData(from uint32, whose byte, data []byte) {
	if whose == 7 {
		p.who, p.got = from, append(p.got, bytes.Clone(data))
	}
}

// TestCarriesOthersData: what another package sends by this way comes as it was sent, as long as a datagram holds it, and counts as a word of its sender.
func TestCarriesOthersData(t *testing.T) {
	a, b := &pipe{}, &pipe{}
	one, err := New(Config{Name: "a", Fleet: "f", Slots: 1, OwnSlot: -1, Incarnation: NewIncarnation(1)}, a)
	if err != nil {
		t.Fatal(err)
	}
	two, err := New(Config{Name: "b", Fleet: "f", Slots: 1, OwnSlot: -1, Incarnation: NewIncarnation(1)}, b)
	if err != nil {
		t.Fatal(err)
	}
	a.to, b.to = two, one
	one.Carry(0, ID("b"), 7, []byte("too early")) // its address is not known
	for now := Time(1); now < 2*sec; now += 50 * ms {
		a.now, b.now = now, now
		one.Tick(now, now)
		two.Tick(now, now)
	}
	whole := bytes.Repeat([]byte("x"), PayloadRoom(0))
	for _, data := range [][]byte{[]byte("one"), whole, append(whole, 'x'), {}} {
		one.Carry(2*sec, ID("b"), 7, data)
	}
	one.Carry(2*sec, ID("nobody"), 7, []byte("lost"))
	one.Carry(2*sec, ID("b"), 8, []byte("another's"))
	if len(b.got) != 3 || string(b.got[0]) != "one" || !bytes.Equal(b.got[1], whole) || len(b.got[2]) != 0 || b.who != ID("a") {
		t.Errorf("%d came, from %08x", len(b.got), b.who)
	}
	if one.Counts().Malformed+two.Counts().Malformed > 0 {
		t.Error("a datagram was malformed")
	}
}
