package proxy

import "testing"

// The two processes of a proxy share its descriptors.
func TestAdmissionCountsBothProcesses(t *testing.T) {
	a := admission{limit: 3, sessionsElsewhere: 1}
	if !a.acquire() || !a.acquire() || a.acquire() {
		t.Fatalf("%+v: expected two of three", a)
	}
	a.release()
	if !a.acquire() {
		t.Error("capacity that was given back is not there")
	}
	a.sessionsElsewhere = 0
	if !a.acquire() {
		t.Error("the other process's capacity is not there after its end")
	}
}
