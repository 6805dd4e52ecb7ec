package proxy

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// fakeSuccessor stands for the other process of a hot restart, and records the IDs about which it was
// asked.
type fakeSuccessor struct{ asked []string }

func (s *fakeSuccessor) HostSuspended(_ string, _ bool, done func()) { done() }
func (s *fakeSuccessor) ListChanged()                                {}
func (s *fakeSuccessor) HandOver(_ *HandedOverConnection, _ []byte, done func()) {
	done()
}
func (s *fakeSuccessor) AskIDInUse(id string)   { s.asked = append(s.asked, id) }
func (s *fakeSuccessor) AcceptsHandovers() bool { return true }

// newRestartHarness returns a harness of a process that has taken over from another one with the
// request used.
func newRestartHarness(t *testing.T) (*harness, *fakeSuccessor) {
	t.Helper()
	w, other := newHarness(t), &fakeSuccessor{}
	w.core.SetSuccessor(other)
	w.core.SetOtherProcessIDs([]string{"used"})
	return w, other
}

// TestIDOfOtherProcess guards against a second attempt of a request that is open at the other process
// of a hot restart: the other process is asked about an ID that it may have, and only about those.
func TestIDOfOtherProcess(t *testing.T) {
	w, other := newRestartHarness(t)
	w.open("free")
	w.expect("request free")
	w.open("used")
	w.expect()
	w.open("used") // while the other process is asked
	w.expect("fail used")
	w.core.IDAnswered("used", IDStatus{InUse: true})
	w.expect("fail used")
	w.open("used")
	w.core.IDAnswered("used", IDStatus{InUse: false})
	w.expect("request used")
	if len(other.asked) != 2 {
		t.Errorf("the other process was asked about %v, want used twice", other.asked)
	}
	w.core.IDAnswered("used", IDStatus{InUse: true}) // unexpected
	w.expect()
}

// TestIDNotAnswered checks that a request is rejected in time if the other process does not answer
// whether it has the ID, and is placed if that process ends.
func TestIDNotAnswered(t *testing.T) {
	w, _ := newRestartHarness(t)
	w.open("used")
	w.advance(499 * time.Millisecond)
	w.expect()
	w.advance(time.Millisecond) // half of the client's wait
	w.expect("reject used 500")
	w.open("used")
	w.core.OtherProcessEnded()
	w.expect("request used")
	w.open("other")
	w.expect("request other")
}

// TestOldProcessConfirmsIDs checks that an old process asks about each request of a client that
// it had accepted before the handover, since the new process may have opened the ID.
func TestOldProcessConfirmsIDs(t *testing.T) {
	w, other := newRestartHarness(t)
	w.core.ConfirmAllIDs()
	w.open("free")
	w.expect()
	w.core.IDAnswered("free", IDStatus{InUse: false})
	w.expect("request free")
	if len(other.asked) != 1 {
		t.Errorf("the new process was asked about %v, want free", other.asked)
	}
}

// TestAnswerID checks that a process answers that an ID is free if its request ends soon, and that
// the ID then belongs to the other process.
func TestAnswerID(t *testing.T) {
	w, other := newRestartHarness(t)
	answers := map[string]bool{}
	ask := func(id string) { w.core.AnswerID(id, func(status IDStatus) { answers[id] = status.InUse }) }
	leaving, _ := w.serve("leaving")
	w.serve("staying")
	ask("unknown")
	ask("leaving")
	ask("staying")
	leaving.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Ended})
	w.advance(idReleaseGrace)
	if len(answers) != 3 || answers["unknown"] || answers["leaving"] || !answers["staying"] {
		t.Errorf("IDs in use by the answers: %v, want staying only, and three answers", answers)
	}
	w.open("unknown")
	if len(other.asked) != 1 {
		t.Errorf("the other process was asked about %v, want unknown, which it has since", other.asked)
	}
}

// TestResumedIDInUse checks that a connection that is handed over keeps its ID, and that a request
// that came with the same ID meanwhile ends with an answer.
func TestResumedIDInUse(t *testing.T) {
	w, _ := newRestartHarness(t)
	w.open("used")
	w.events = nil
	down := &fakeDownstream{harness: w, requestID: "resumed"}
	resumed, _ := w.core.Resume(&HandedOverConnection{Request: balancer.Request{ID: "used"}, Class: "c", Host: "A"}, down, &fakeUpstream{harness: w})
	if w.events[0] != "fail used" || w.core.requests["used"] != resumed {
		t.Errorf("events %v, want that the request that waits fails and the resumed one is in the table", w.events)
	}
	w.core.IDAnswered("used", IDStatus{InUse: false})
	if w.core.requests["used"] != resumed {
		t.Error("a late answer about the ID of a resumed request removes it")
	}
}
