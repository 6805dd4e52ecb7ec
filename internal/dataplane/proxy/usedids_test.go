package proxy

import (
	"fmt"
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// newUsedIDHarness returns a harness whose class c has the given idempotency and dedup scope, with a dedup
// window of 5 s.
func newUsedIDHarness(t *testing.T, idempotency balancer.Idempotency, scope balancer.DedupScope) *harness {
	t.Helper()
	w := newHarness(t)
	class := &w.core.opt.Settings.Classes[0]
	class.Idempotency, class.DedupScope, class.DedupWindow = idempotency, scope, 5e9
	return w
}

// serveAndLeave serves a request at host A, and ends it because its client leaves.
func (w *harness) serveAndLeave(id string) {
	r, _ := w.serve(id)
	r.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Ended})
	w.core.DownstreamEnded()
	w.onEvent, w.events = nil, nil
}

// TestReturningIDRunsOnce guards against a request that runs twice because its client left and came back
// with its ID: what may not simply run again is not placed, or restricted by the earlier run.
func TestReturningIDRunsOnce(t *testing.T) {
	for _, c := range []struct {
		idempotency balancer.Idempotency
		want        string
	}{
		{balancer.Idempotent, "request q"}, {balancer.NotIdempotent, "fail q"}, {balancer.IdempotentWithKey, "request q"},
	} {
		w := newUsedIDHarness(t, c.idempotency, balancer.ScopeZone)
		w.serveAndLeave("q")
		r := w.open("q")
		w.expect(c.want)
		if c.idempotency != balancer.IdempotentWithKey {
			continue
		}
		if run := r.attributes.EarlierRun; run == nil || run.HostID != "A" || run.At == 0 {
			t.Errorf("the earlier run is passed to the balancer as %+v, want one at host A", run)
		}
		if r.record.MayReject() {
			t.Error("a request that ran at a host of one zone may be rejected, want not")
		}
	}
}

// TestReturningIDThatNeverRan checks that an ID whose attempt is known not to have run is free.
func TestReturningIDThatNeverRan(t *testing.T) {
	w := newUsedIDHarness(t, balancer.NotIdempotent, balancer.ScopeAll)
	w.onEvent = func(e string) {
		if e == "request q" {
			w.effects.StartAttempt("q", "A", 0)
		}
	}
	r := w.open("q")
	r.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Ended}) // before the first line is written
	w.onEvent, w.events = nil, nil
	w.open("q")
	w.expect("request q")
}

// TestReturningIDIsNotRejected checks that no answer promises that a retry is harmless where it is not:
// neither at a shutdown nor without capacity.
func TestReturningIDIsNotRejected(t *testing.T) {
	for idempotency, want := range map[balancer.Idempotency]string{balancer.Idempotent: "reject q 500", balancer.NotIdempotent: "fail q", balancer.IdempotentWithKey: "fail q"} {
		w := newUsedIDHarness(t, idempotency, balancer.ScopeZone)
		w.serveAndLeave("q")
		w.core.RejectOverCapacity(&fakeDownstream{w, "q"}, &Opening{ID: "q", Class: "c"})
		w.expect(want)
		w.shutDown()
		w.events = nil
		w.open("q")
		w.expect(want)
	}
}

// TestUsedIDOfOtherProcess guards against a second run at the other process of a hot restart: its answer, its
// snapshot and its end tell which IDs may have run.
func TestUsedIDOfOtherProcess(t *testing.T) {
	w := newUsedIDHarness(t, balancer.NotIdempotent, balancer.ScopeAll)
	other := &fakeSuccessor{}
	w.core.SetSuccessor(other)
	w.core.SetOtherProcessIDs([]string{"asked", "free", "lost"})
	w.core.AddUsedIDs([]UsedID{{ID: "handed", Run: balancer.EarlierRun{HostID: "A", At: 5}}})
	w.open("handed")
	w.expect("fail handed")
	w.open("asked")
	w.core.IDAnswered("asked", IDStatus{Run: &balancer.EarlierRun{HostID: "A", At: 5}})
	w.expect("fail asked")
	w.open("free")
	w.core.IDAnswered("free", IDStatus{})
	w.expect("request free")
	w.core.OtherProcessEnded()
	w.open("lost")
	w.expect("fail lost")

	w.serveAndLeave("q")
	var status IDStatus
	w.core.AnswerID("q", func(s IDStatus) { status = s })
	if status.InUse || status.Run == nil || status.Run.HostID != "A" {
		t.Errorf("the answer about an ID that ran here is %+v, want a run at host A", status)
	}
}

// TestUsedIDsAreBounded checks that the oldest IDs are forgotten first, and that the first run counts.
func TestUsedIDsAreBounded(t *testing.T) {
	var u usedIDs
	for i := range 3 * maxUsedIDs / 2 {
		u.add(fmt.Sprint(i), balancer.EarlierRun{At: int64(i)})
	}
	last := fmt.Sprint(3*maxUsedIDs/2 - 1)
	u.add(last, balancer.EarlierRun{At: 1})
	all := u.all()
	if len(u.runs) != maxUsedIDs || len(all) != maxUsedIDs || all[0].ID != fmt.Sprint(maxUsedIDs/2) || all[maxUsedIDs-1].ID != last ||
		u.runs[last].At == 1 {
		t.Errorf("%d IDs stored, from %s to %s with a run at %d; want %d, the newest, with their first runs",
			len(u.runs), all[0].ID, all[len(all)-1].ID, u.runs[last].At, maxUsedIDs)
	}
}
