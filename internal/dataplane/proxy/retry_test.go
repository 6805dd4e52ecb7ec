package proxy

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// openWithKey returns a harness with a request q of a class that is idempotent by key, with a dedup
// window of 500 ms, in which hosts discard a second run. The first attempt, at A, is reset after
// 300 ms, and the second one, at B, begins at once: 200 ms of the window are left. In the events,
// status 5 is Reset and 7 TooLate.
func openWithKey(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t)
	class := &w.core.opt.Settings.Classes[0]
	class.Idempotency, class.DedupWindow = balancer.IdempotentWithKey, int64(500*time.Millisecond)
	w.onEvent = func(e string) {
		switch e {
		case "request q":
			w.effects.StartAttempt("q", "A", 0)
		case "ended q 0 5 false":
			w.effects.StartAttempt("q", "B", 0)
		case "ended q 1 7 false":
			w.effects.Reject("q", 0)
		}
	}
	w.open("q")
	w.upstreams[0].sent()
	w.advance(300 * time.Millisecond)
	w.events = nil
	w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broken})
	return w
}

// TestRetryIsWrittenWithinItsWindowOrNotAtAll checks that a retry whose connection is not
// established within the dedup window ends with the window.
func TestRetryIsWrittenWithinItsWindowOrNotAtAll(t *testing.T) {
	w := openWithKey(t)
	w.expect("end up ended", "ended q 0 5 false", "start at-B 700")
	w.advance(190 * time.Millisecond)
	w.expect()
	w.advance(20 * time.Millisecond)
	w.expect("end up ended", "ended q 1 7 false", "reject q 0")
}

// TestRetryWhoseConnectionIsEstablishedTooLate checks that MaySend blocks a retry whose connection
// is established as the dedup window ends, before the window's timer runs.
func TestRetryWhoseConnectionIsEstablishedTooLate(t *testing.T) {
	w := openWithKey(t)
	if !w.upstreams[1].events.MaySend() {
		t.Fatal("MaySend() = false within the dedup window, want true")
	}
	w.events = nil
	w.now += int64(200 * time.Millisecond)
	if w.upstreams[1].events.MaySend() {
		t.Fatal("MaySend() = true after the dedup window, want false")
	}
	w.expect("end up ended", "ended q 1 7 false", "reject q 0")
}

// TestRetryThatIsWrittenGoesOn checks that a retry that is written within the dedup window may be
// accepted after it.
func TestRetryThatIsWrittenGoesOn(t *testing.T) {
	w := openWithKey(t)
	w.upstreams[1].sent()
	w.advance(400 * time.Millisecond)
	w.upstreams[1].events.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.expect("end up ended", "ended q 0 5 false", "start at-B 700", "accept q", "established q 1")
}

// TestRequestThatMayHaveRunIsNotRejected checks that a request that may have run is rejected only
// if a second run is harmless, since a rejection promises that. Otherwise it fails.
func TestRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	for _, c := range []struct {
		idempotency balancer.Idempotency
		scope       balancer.DedupScope
		ran         bool
		want        string
	}{
		{balancer.Idempotent, balancer.ScopeAll, true, "reject q 0"},
		{balancer.IdempotentWithKey, balancer.ScopeAll, true, "reject q 0"},
		{balancer.IdempotentWithKey, balancer.ScopeZone, true, "fail q"},
		{balancer.NotIdempotent, balancer.ScopeAll, true, "fail q"},
		{balancer.NotIdempotent, balancer.ScopeAll, false, "reject q 0"},
	} {
		w := newHarness(t)
		class := &w.core.opt.Settings.Classes[0]
		class.Idempotency, class.DedupScope = c.idempotency, c.scope
		r := w.open("q")
		w.events = nil
		if c.ran {
			r.record.AttemptBegan(w.now, invariant.Host{})
			r.record.LineWritten(w.now, w.now, invariant.Host{})
			r.record.AttemptEnded(false)
		}
		r.rejectOrFail(0, decidedByBalancer)
		w.expect(c.want)
	}
}
