package membership

import (
	"bytes"
	"testing"
)

// pipe is the Effects of one of two processes. It delivers datagrams directly to the other process and
// records the data received on channel 7.
type pipe struct {
	other    *Core
	now      Time
	received [][]byte
	sender   uint32 // member ID of the sender of the last data in received
}

func (p *pipe) Send(_ int, data []byte) { p.other.Receive(p.now, 0, bytes.Clone(data)) }
func (p *pipe) Changed(Change)          {}
func (p *pipe) PayloadReceived(from uint32, channel byte, data []byte) {
	if channel == 7 {
		p.sender, p.received = from, append(p.received, bytes.Clone(data))
	}
}

// TestSendPayload checks that data of another package arrives unchanged and with the sender's ID if it fits
// a datagram, and that data that is too long or has an unknown receiver is dropped.
func TestSendPayload(t *testing.T) {
	aEffects, bEffects := &pipe{}, &pipe{}
	aCore, err := New(Config{Name: "a", Fleet: "f", Slots: 1, OwnSlot: -1, Incarnation: NewIncarnation(1)}, aEffects)
	if err != nil {
		t.Fatal(err)
	}
	bCore, err := New(Config{Name: "b", Fleet: "f", Slots: 1, OwnSlot: -1, Incarnation: NewIncarnation(1)}, bEffects)
	if err != nil {
		t.Fatal(err)
	}
	aEffects.other, bEffects.other = bCore, aCore
	aCore.SendPayload(0, ID("b"), 7, []byte("too early")) // b's address is not known yet
	for now := Time(1); now < 2*sec; now += 50 * ms {
		aEffects.now, bEffects.now = now, now
		aCore.Tick(now, now)
		bCore.Tick(now, now)
	}
	longest := bytes.Repeat([]byte("x"), MaxPayload(0))
	for _, data := range [][]byte{[]byte("one"), longest, append(longest, 'x'), {}} {
		aCore.SendPayload(2*sec, ID("b"), 7, data)
	}
	aCore.SendPayload(2*sec, ID("nobody"), 7, []byte("lost"))
	aCore.SendPayload(2*sec, ID("b"), 8, []byte("another's"))
	if len(bEffects.received) != 3 || string(bEffects.received[0]) != "one" || !bytes.Equal(bEffects.received[1], longest) || len(bEffects.received[2]) != 0 || bEffects.sender != ID("a") {
		t.Errorf("b received %d payloads %q, the last from %08x; want \"one\", %d times x and an empty payload, from %08x",
			len(bEffects.received), bEffects.received, bEffects.sender, len(longest), ID("a"))
	}
	if aCore.Counts().Malformed+bCore.Counts().Malformed > 0 {
		t.Errorf("malformed datagrams: %d at a, %d at b, want none", aCore.Counts().Malformed, bCore.Counts().Malformed)
	}
}
