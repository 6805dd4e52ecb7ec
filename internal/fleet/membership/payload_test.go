package membership

import (
	"bytes"
	"testing"
)

// pipe is the Effects of one of two processes: its datagrams go to the other.
type pipe struct {
	other    *Core
	now      Time
	received [][]byte
	sender   uint32 // of the data received last
}

func (p *pipe) Send(_ int, data []byte) { p.other.Receive(p.now, 0, bytes.Clone(data)) }
func (p *pipe) Changed(Change)          {}
func (p *pipe) PayloadReceived(from uint32, channel byte, data []byte) {
	if channel == 7 {
		p.sender, p.received = from, append(p.received, bytes.Clone(data))
	}
}

// TestSendPayload: another package's data are received unchanged, with their sender's id, if they fit a datagram.
func TestSendPayload(t *testing.T) {
	a, b := &pipe{}, &pipe{}
	one, err := New(Config{Name: "a", Fleet: "f", Slots: 1, OwnSlot: -1, Incarnation: NewIncarnation(1)}, a)
	if err != nil {
		t.Fatal(err)
	}
	two, err := New(Config{Name: "b", Fleet: "f", Slots: 1, OwnSlot: -1, Incarnation: NewIncarnation(1)}, b)
	if err != nil {
		t.Fatal(err)
	}
	a.other, b.other = two, one
	one.SendPayload(0, ID("b"), 7, []byte("too early")) // its address is not known
	for now := Time(1); now < 2*sec; now += 50 * ms {
		a.now, b.now = now, now
		one.Tick(now, now)
		two.Tick(now, now)
	}
	longest := bytes.Repeat([]byte("x"), MaxPayload(0))
	for _, data := range [][]byte{[]byte("one"), longest, append(longest, 'x'), {}} {
		one.SendPayload(2*sec, ID("b"), 7, data)
	}
	one.SendPayload(2*sec, ID("nobody"), 7, []byte("lost"))
	one.SendPayload(2*sec, ID("b"), 8, []byte("another's"))
	if len(b.received) != 3 || string(b.received[0]) != "one" || !bytes.Equal(b.received[1], longest) || len(b.received[2]) != 0 || b.sender != ID("a") {
		t.Errorf("%d data received, the last from %08x, expected 3 from %08x", len(b.received), b.sender, ID("a"))
	}
	if one.Counts().Malformed+two.Counts().Malformed > 0 {
		t.Error("a datagram was rejected as malformed")
	}
}
