package invariant

import (
	"testing"

	"croftlock/internal/balancer"
)

const second = int64(1e9)

// servedOnce is a request of a class that has begun to be served: one attempt may have run at zone a, cell 1.
func servedOnce(effect balancer.Idempotency, scope balancer.DedupScope) (*Request, *Monitor) {
	m := NewMonitor(func(Rule, string) {})
	r := &Request{Monitor: m, ID: "q", Class: &balancer.Class{Idempotency: effect, DedupScope: scope, DedupWindow: 2 * second}, Deadline: 10 * second, MaxAttempts: 3}
	h := Host{Zone: "a", Cell: 1}
	r.AttemptBegan(1*second, h)
	r.LineWritten(1*second+1, 1*second, h)
	r.AttemptEnded(false)
	return r, m
}

// A forbidden attempt is blocked, and counted as broken where it begins all the same.
func TestRetries(t *testing.T) {
	near, far := Host{Zone: "a", Cell: 1}, Host{Zone: "b", Cell: 2}
	for _, c := range []struct {
		effect balancer.Idempotency
		scope  balancer.DedupScope
		at     int64
		to     Host
		want   Rule
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
		r, m := servedOnce(c.effect, c.scope)
		if got := r.CheckAttempt(c.at, c.to); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
		r.AttemptBegan(c.at+int64(MaxPause), c.to)
		if m.Counts.Broken[c.want] != 1 && c.want != None {
			t.Errorf("%+v: carried out all the same, and not counted: %v", c, m.Counts)
		}
		if broken, blocked := m.Counts.Sum(); c.want == None && broken+blocked > 0 {
			t.Errorf("%+v: %v", c, m.Counts)
		}
	}
}

// Each rule that an action can break is counted once, by the action that breaks it.
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
			t.Errorf("%v: %v", rule, m.Counts.Broken)
		}
	}
	r, m := servedOnce(balancer.NotIdempotent, balancer.ScopeAll)
	r.Failed(2 * second)
	r.ClosedByProxy()
	if broken, _ := m.Counts.Sum(); broken != 0 {
		t.Errorf("an answered request: %v", m.Counts.Broken)
	}
}

// An attempt that surely has not run leaves a request as it was, and one whose line is written may run while it is in flight.
func TestAttemptThatHasNotRun(t *testing.T) {
	m := NewMonitor(func(Rule, string) {})
	r := &Request{Monitor: m, Class: &balancer.Class{Idempotency: balancer.NotIdempotent}, Deadline: 10 * second, MaxAttempts: 3}
	r.AttemptBegan(1, Host{})
	if r.MayHaveRun() {
		t.Error("it runs before it is written")
	}
	r.LineWritten(2, 1, Host{})
	if !r.MayHaveRun() || r.MayReject() {
		t.Error("it can't run though it is written")
	}
	r.AttemptEnded(true)
	if r.MayHaveRun() || !r.MayReject() || r.CheckAttempt(3, Host{}) != None {
		t.Error("it has run though its host says that it has not")
	}
}
