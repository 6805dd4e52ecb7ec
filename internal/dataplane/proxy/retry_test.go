package proxy

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// keyed opens a request whose repeats hosts discard for 500 ms. Its first attempt is reset after 300 ms, and the second one begins at once.
func keyed(t *testing.T) *world {
	w := newWorld(t)
	c := &w.core.opt.Settings.Classes[0]
	c.Idempotency, c.DedupWindow = balancer.IdempotentWithKey, int64(500*time.Millisecond)
	w.on = func(e string) {
		switch e {
		case "request q":
			w.fx.StartAttempt("q", "A", 0)
		case "outcome q 0 5 false":
			w.fx.StartAttempt("q", "B", 0)
		case "outcome q 1 7 false":
			w.fx.Reject("q", 0)
		}
	}
	w.open("q")
	w.ups[0].sent()
	w.pass(300 * time.Millisecond)
	w.seen = nil
	w.ups[0].ev.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broke})
	return w
}

// A repeat whose connection comes up slowly was written after hosts had ceased to discard it, and ran twice.
func TestARepeatIsWrittenInTimeOrNotAtAll(t *testing.T) {
	w := keyed(t)
	w.expect("end up ended", "outcome q 0 5 false", "start at-B 700")
	w.pass(190 * time.Millisecond)
	w.expect()
	w.pass(20 * time.Millisecond)
	w.expect("end up ended", "outcome q 1 7 false", "refuse q 0")
}

// The connection stands in the moment in which the time is up, before the timer has been looked at.
func TestARepeatWhoseConnectionStandsTooLate(t *testing.T) {
	w := keyed(t)
	if !w.ups[1].ev.MaySend() {
		t.Fatal("a repeat in time was held back")
	}
	w.seen = nil
	w.now += int64(200 * time.Millisecond)
	if w.ups[1].ev.MaySend() {
		t.Fatal("a repeat was let through after its time")
	}
	w.expect("end up ended", "outcome q 1 7 false", "refuse q 0")
}

// What is on its way when the time ends was written before it, and its answer counts.
func TestARepeatThatIsWrittenGoesOn(t *testing.T) {
	w := keyed(t)
	w.ups[1].sent()
	w.pass(400 * time.Millisecond)
	w.ups[1].ev.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.expect("end up ended", "outcome q 0 5 false", "start at-B 700", "serve q", "first q 1")
}

// A refusal says that trying again is harmless. One that may have run must not hear so where it must not run twice.
func TestWhatMayHaveRunIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		effect balancer.Idempotency
		scope  balancer.DedupScope
		ran    bool
		want   string
	}{
		{balancer.Idempotent, balancer.ScopeAll, true, "refuse q 0"},
		{balancer.IdempotentWithKey, balancer.ScopeAll, true, "refuse q 0"},
		{balancer.IdempotentWithKey, balancer.ScopeZone, true, "fail q"},
		{balancer.NotIdempotent, balancer.ScopeAll, true, "fail q"},
		{balancer.NotIdempotent, balancer.ScopeAll, false, "refuse q 0"},
	} {
		w := newWorld(t)
		k := &w.core.opt.Settings.Classes[0]
		k.Idempotency, k.DedupScope = c.effect, c.scope
		r := w.open("q")
		w.seen = nil
		if c.ran {
			r.record.AttemptBegan(w.now, invariant.Host{})
			r.record.LineWritten(w.now, w.now, invariant.Host{})
			r.record.AttemptEnded(false)
		}
		r.rejectOrFail(0)
		w.expect(c.want)
	}
}
