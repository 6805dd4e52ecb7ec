package proxy

import "testing"

// TestAdmissionCountsBothProcesses checks that the downstreams of both processes of a proxy count
// against one limit, since they share its file descriptors.
func TestAdmissionCountsBothProcesses(t *testing.T) {
	a := admission{limit: 3, otherProcessDownstreams: 1}
	for i, want := range []bool{true, true, false} {
		if a.acquire() != want {
			t.Fatalf("downstream %d: acquire() = %t, want %t: %+v", i, !want, want, a)
		}
	}
	a.release()
	if !a.acquire() {
		t.Errorf("after release: acquire() = false, want true: %+v", a)
	}
	a.otherProcessDownstreams = 0
	if !a.acquire() {
		t.Errorf("after the other process has ended: acquire() = false, want true: %+v", a)
	}
}
