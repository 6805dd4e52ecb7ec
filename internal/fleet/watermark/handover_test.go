package watermark

import "testing"

// TestHandedOverWatermarks guards against a new process of a hot restart that sends requests to a host that
// drains according to other members' newer lists, which its predecessor knew. The watermarks lapse no
// later than they would have at the predecessor, and end with a newer list.
func TestHandedOverWatermarks(t *testing.T) {
	f := newTestFleet(2, 1)
	old, successor := f.links[0], f.links[1]
	if old.Received() != nil {
		t.Error("without watermarks there are some to hand over")
	}
	old.handleGossip(gossip{[]Watermark{{"a", 1, 6, Draining, Lifetime}}})
	f.now += 10 * second
	received := old.Received()
	successor.Restore(&Received{Source: 2, Watermarks: received.Watermarks})
	if successor.Blocks("a", 1) {
		t.Error("a watermark of another source blocks host a")
	}
	successor.Restore(nil)
	successor.Restore(received)
	if !successor.Blocks("a", 1) || successor.Blocks("b", 1) {
		t.Errorf("after the handover a is blocked: %t, b: %t, want a only", successor.Blocks("a", 1), successor.Blocks("b", 1))
	}
	f.now += Lifetime - 10*second
	if successor.Blocks("a", 1) {
		t.Error("the handover prolongs the watermark")
	}
	f.now -= second
	successor.ReceiveList(6, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}})
	if successor.Blocks("a", 1) {
		t.Error("a list as new as the watermark's does not end it")
	}
}
