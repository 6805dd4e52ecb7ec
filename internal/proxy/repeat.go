package proxy

import (
	"math"
	"time"

	"croftlock/brain"
	"croftlock/internal/metrics"
	"croftlock/internal/netio"
)

// noteRun remembers that an attempt which has ended may have run, and when the first such attempt was sent.
func (r *Request) noteRun(a *upstreamRequest, status brain.Status) {
	if status.ProvesNotRun() || r.mayRun {
		return
	}
	r.mayRun = true
	r.ranAt = a.sentAt
}

// class is the settings' entry for the request's class.
func (r *Request) class() *brain.Class { return &r.core.opt.Settings.Classes[r.ask.Class] }

// repeatDeadline is the loop's time from which on no further attempt may be written: hosts discard repeats of a keyed
// request for a limited time after the first attempt that may have run, and a repeat that arrives later runs twice.
func (r *Request) repeatDeadline() int64 {
	if !r.mayRun || r.class().Effect != brain.Keyed {
		return math.MaxInt64
	}
	return r.ranAt + int64(r.class().Window)
}

// mayHaveRun tells whether an attempt may have run: one that has ended, or the one under way.
func (r *Request) mayHaveRun() bool {
	return r.mayRun || r.out != nil && r.out.conn.Stage() >= netio.Sent
}

// endNow gives a request its answer at once, whatever is under way for it, and has the module forget it.
func (r *Request) endNow(after time.Duration) {
	r.decline(after)
	r.gone()
}

// state is how far a request has come, for the log.
func (r *Request) state() string {
	if r.out == nil {
		return "held"
	}
	return r.out.conn.Stage().String()
}

// decline is the final answer of a request that gets no further attempt. A refusal promises that trying again is harmless,
// which holds for a request that may have run only where hosts discard its repeats or where these have no effect.
func (r *Request) decline(after time.Duration) {
	c := r.class()
	harmless := c.Effect == brain.Safe || c.Effect == brain.Keyed && c.Scope == brain.ScopeAll
	if r.mayHaveRun() && !harmless {
		r.fail(metrics.Failed)
		return
	}
	r.refuse(after)
}

// MaySend says whether the first line may be written now that the connection stands. The time in which a repeat is
// discarded may have run out while it was being opened.
func (a *upstreamRequest) MaySend() bool {
	if a.req.out != a {
		return false
	}
	if a.req.core.loop.Now() >= a.req.repeatDeadline() {
		a.giveUpRepeat()
		return false
	}
	return true
}

// limitRepeat ends the attempt when the time in which a repeat is discarded runs out before its line is written.
func (a *upstreamRequest) limitRepeat() {
	deadline := a.req.repeatDeadline()
	if deadline == math.MaxInt64 {
		return
	}
	c := a.req.core
	a.repeatTimer = c.loop.After(time.Duration(deadline-c.loop.Now()), func() {
		if a.connecting() {
			a.giveUpRepeat()
		}
	})
}

// giveUpRepeat ends an attempt of which nothing has been written. That is no fault of the host's.
func (a *upstreamRequest) giveUpRepeat() { a.finish(brain.Moot, netio.Ended) }
