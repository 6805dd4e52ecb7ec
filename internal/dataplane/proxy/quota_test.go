package proxy

import (
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// fakeQuota is a quota whose replies the test gives.
type fakeQuota struct {
	inUse map[string]int
	then  []func(over string, advice time.Duration)
}

func (q *fakeQuota) IsLimited(account string) bool { return account == "a" }
func (q *fakeQuota) Acquire(_ string, _ float64, then func(string, time.Duration)) {
	q.then = append(q.then, then)
}
func (q *fakeQuota) CountExisting(account string) { q.inUse[account]++ }
func (q *fakeQuota) Release(account string)       { q.inUse[account]-- }

// reply answers the request that has waited longest.
func (q *fakeQuota) reply(over string, advice time.Duration) {
	then := q.then[0]
	q.then = q.then[1:]
	if over == "" {
		q.inUse["a"]++
	}
	then(over, advice)
}

// newQuotaHarness is a core whose tenant's account has a quota.
func newQuotaHarness(t *testing.T) (*harness, *fakeQuota) {
	t.Helper()
	w := newHarness(t)
	quota := &fakeQuota{inUse: map[string]int{}}
	enforcer := &rules.Enforcer{Now: func() int64 { return w.now }}
	rules.SetActiveVersionForTest(enforcer, &rules.Version{Number: 1, Directory: &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.SetQuota(quota)
	w.core.SetRules(enforcer)
	w.onEvent = func(e string) {
		if e == "request r" {
			w.effects.StartAttempt("r", "A", 0)
		}
	}
	w.events = nil
	return w, quota
}

// A request goes on once its account has quota, and gives back what it counts against at its end, whichever way that comes.
func TestRequestCountsOnceAgainstQuota(t *testing.T) {
	w, quota := newQuotaHarness(t)
	w.open("r")
	w.expect()
	quota.reply("", 0)
	w.expect("request r", "start at-A 1000")
	u := w.upstreams[0]
	u.sent()
	u.events.FromUpstream(Message{Kind: Accepted})
	if quota.inUse["a"] != 1 {
		t.Fatalf("%d in use while it is open, expected 1", quota.inUse["a"])
	}
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if quota.inUse["a"] != 0 {
		t.Fatalf("%d in use after its end", quota.inUse["a"])
	}
}

func TestNoQuotaIsRejected(t *testing.T) {
	w, quota := newQuotaHarness(t)
	w.open("r")
	quota.reply("rate", 700*time.Millisecond)
	w.expect("reject r 700")
	if quota.inUse["a"] != 0 || len(w.core.requests) > 0 {
		t.Errorf("%d in use, %d requests left", quota.inUse["a"], len(w.core.requests))
	}
}

// A client that leaves before the reply takes no quota.
func TestClientThatLeftTakesNoQuota(t *testing.T) {
	for _, over := range []string{"", "standing"} {
		w, quota := newQuotaHarness(t)
		r := w.open("r")
		r.DownstreamEnded(&netio.Error{})
		w.events = nil
		quota.reply(over, time.Second)
		w.expect()
		if quota.inUse["a"] != 0 {
			t.Errorf("%q: %d in use", over, quota.inUse["a"])
		}
	}
}

// A connection that is open when its account comes under limits counts from then on, once.
func TestOpenConnectionsCountAgainstNewLimits(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("r")
	quota := &fakeQuota{inUse: map[string]int{}}
	enforcer := &rules.Enforcer{Now: func() int64 { return w.now }, GraceAfterLapse: true}
	w.core.SetQuota(quota)
	w.core.SetRules(enforcer)
	if quota.inUse["a"] != 0 {
		t.Fatal("counted before there are accounts")
	}
	rules.SetActiveVersionForTest(enforcer, &rules.Version{Number: 1, Directory: &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.ReassignPools()
	w.core.ReassignPools()
	if quota.inUse["a"] != 1 {
		t.Fatalf("%d in use, expected 1", quota.inUse["a"])
	}
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if quota.inUse["a"] != 0 {
		t.Fatalf("%d in use after its end", quota.inUse["a"])
	}
}
