package proxy

import "testing"

// The two processes of a proxy share its descriptors.
func TestAdmissionCountsBothProcesses(t *testing.T) {
	a := admission{limit: 3, otherProcessDownstreams: 1}
	for i, want := range []bool{true, true, false} {
		if a.acquire() != want {
			t.Fatalf("downstream %d: expected %t of %+v", i, want, a)
		}
	}
	a.release()
	if !a.acquire() {
		t.Error("capacity that was given back is not there")
	}
	a.otherProcessDownstreams = 0
	if !a.acquire() {
		t.Error("the other process's capacity is not there after its end")
	}
}
