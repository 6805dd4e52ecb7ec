package invariant

import (
	"testing"

	"croftlock/internal/balancer"
)

const second = int64(1e9) // in nanoseconds

// servedOnce returns a request and its monitor. One attempt of the request, begun at second 1, has
// ended and may have run at a host in zone a and cell 1. The dedup window is 2 s, the deadline at
// second 10.
func servedOnce(idempotency balancer.Idempotency, scope balancer.DedupScope) (*Request, *Monitor) {
	m := NewMonitor(func(Rule, string) {})
	r := &Request{Monitor: m, ID: "q", Class: &balancer.Class{Idempotency: idempotency, DedupScope: scope, DedupWindow: 2 * second}, Deadline: 10 * second, MaxAttempts: 3}
	h := Host{Zone: "a", Cell: 1}
	r.AttemptBegan(1*second, h)
	r.LineWritten(1*second+1, 1*second, h)
	r.AttemptEnded(false)
	return r, m
}

// TestRetries checks that a forbidden attempt is blocked, and counted as broken if it begins
// anyway.
func TestRetries(t *testing.T) {
	near, far := Host{Zone: "a", Cell: 1}, Host{Zone: "b", Cell: 2}
	for _, c := range []struct {
		idempotency balancer.Idempotency
		scope       balancer.DedupScope
		at          int64
		to          Host
		want        Rule
	}{
		{balancer.Idempotent, balancer.ScopeAll, 9 * second, far, None},
		{balancer.Idempotent, balancer.ScopeAll, 10 * second, far, BeforeDeadline},
		{balancer.Idempotent, balancer.ScopeAll, 2 * second, Host{State: balancer.Draining}, HostAcceptsNew},
		{balancer.NotIdempotent, balancer.ScopeAll, 2 * second, near, NoUnsafeRetry},
		{balancer.IdempotentWithKey, balancer.ScopeAll, 2 * second, far, None},
		{balancer.IdempotentWithKey, balancer.ScopeAll, 3 * second, near, RetryWithinWindow},
		{balancer.IdempotentWithKey, balancer.ScopeZone, 2 * second, near, None},
		{balancer.IdempotentWithKey, balancer.ScopeZone, 2 * second, far, RetryWithinScope},
		{balancer.IdempotentWithKey, balancer.ScopeCell, 2 * second, far, RetryWithinScope},
	} {
		r, m := servedOnce(c.idempotency, c.scope)
		if got := r.CheckAttempt(c.at, c.to); got != c.want {
			t.Errorf("%+v: CheckAttempt = %v, want %v", c, got, c.want)
		}
		r.AttemptBegan(c.at+int64(MaxPause), c.to) // the rules allow for a pause of MaxPause
		if m.Counts.Broken[c.want] != 1 && c.want != None {
			t.Errorf("%+v: the attempt began anyway: Counts.Broken[%v] = %d, want 1", c, c.want, m.Counts.Broken[c.want])
		}
		if broken, blocked := m.Counts.Sum(); c.want == None && broken+blocked > 0 {
			t.Errorf("%+v: the attempt is allowed, but counted: %d broken, %d blocked, want 0, 0", c, broken, blocked)
		}
	}
}

// TestBrokenRulesAreCounted checks that an action that breaks a rule counts once, for that rule.
func TestBrokenRulesAreCounted(t *testing.T) {
	h := Host{Zone: "a", Cell: 1}
	for rule, f := range map[Rule]func(r *Request){
		RequestOver:          func(r *Request) { r.ClientLeft(); r.AttemptBegan(2*second, h) },
		SingleAttempt:        func(r *Request) { r.AttemptBegan(2*second, h); r.AttemptBegan(2*second, h) },
		AttemptLimit:         func(r *Request) { r.MaxAttempts = 1; r.AttemptBegan(2*second, h) },
		RejectionIsSafe:      func(r *Request) { r.Class.Idempotency = balancer.NotIdempotent; r.Rejected(2 * second) },
		SingleAnswer:         func(r *Request) { r.Accepted(2 * second); r.Failed(2 * second) },
		AnswerInTime:         func(r *Request) { r.Failed(r.Deadline + answerSlack + 1) },
		NoSilentEnd:          func(r *Request) { r.Accepted(2 * second); r.ClosedByProxy() },
		NothingAfterShutdown: func(r *Request) { r.Monitor.Close(); r.AttemptBegan(2*second, h) },
		HostAcceptsNew: func(r *Request) {
			r.AttemptBegan(2*second, h)
			r.LineWritten(2*second, 2*second, Host{State: balancer.Draining})
		},
	} {
		r, m := servedOnce(balancer.Idempotent, balancer.ScopeAll)
		f(r)
		if broken, _ := m.Counts.Sum(); broken != 1 || m.Counts.Broken[rule] != 1 {
			t.Errorf("an action that breaks %v: %d broken, %d of them %v, want 1 and 1 (Broken = %v)", rule, broken, m.Counts.Broken[rule], rule, m.Counts.Broken)
		}
	}
	r, m := servedOnce(balancer.NotIdempotent, balancer.ScopeAll)
	r.Failed(2 * second)
	r.ClosedByProxy()
	if broken, _ := m.Counts.Sum(); broken != 0 {
		t.Errorf("closing an answered request: %d broken, want 0 (Broken = %v)", broken, m.Counts.Broken)
	}
}

// TestAttemptThatHasNotRun checks that an attempt may have run from the write of its line on, and
// that an attempt known not to have run forbids neither a retry nor a rejection.
func TestAttemptThatHasNotRun(t *testing.T) {
	m := NewMonitor(func(Rule, string) {})
	r := &Request{Monitor: m, Class: &balancer.Class{Idempotency: balancer.NotIdempotent}, Deadline: 10 * second, MaxAttempts: 3}
	r.AttemptBegan(1, Host{})
	if r.MayHaveRun() {
		t.Error("MayHaveRun = true before the line is written, want false")
	}
	r.LineWritten(2, 1, Host{})
	if !r.MayHaveRun() || r.MayReject() {
		t.Errorf("after the line is written: MayHaveRun = %t, MayReject = %t, want true, false", r.MayHaveRun(), r.MayReject())
	}
	r.AttemptEnded(true)
	if r.MayHaveRun() || !r.MayReject() || r.CheckAttempt(3, Host{}) != None {
		t.Errorf("after an attempt that has not run: MayHaveRun = %t, MayReject = %t, want false, true, and CheckAttempt = None", r.MayHaveRun(), r.MayReject())
	}
}
