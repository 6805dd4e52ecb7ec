package proxy

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// fakeQuota is a Quota that limits account a, and whose replies the test sends.
type fakeQuota struct {
	inUse   map[string]int                                    // connections by account
	waiting []func(exceeded string, retryAfter time.Duration) // the requests that wait for a reply
}

func (q *fakeQuota) IsLimited(account string) bool { return account == "a" }
func (q *fakeQuota) Acquire(_ string, _ float64, done func(string, time.Duration)) {
	q.waiting = append(q.waiting, done)
}
func (q *fakeQuota) CountExisting(account string) { q.inUse[account]++ }
func (q *fakeQuota) Release(account string)       { q.inUse[account]-- }

// reply answers the request that has waited longest. exceeded is the limit that is used up, "" for
// none.
func (q *fakeQuota) reply(exceeded string, retryAfter time.Duration) {
	done := q.waiting[0]
	q.waiting = q.waiting[1:]
	if exceeded == "" {
		q.inUse["a"]++
	}
	done(exceeded, retryAfter)
}

// newQuotaHarness returns a harness whose tenant t belongs to account a, which has a quota, and the
// Quota whose replies the test sends. The balancer places request r at host A.
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

// TestRequestCountsOnceAgainstQuota checks that a request is placed once its account has quota,
// counts once while it is open, and releases its quota at its end. Whichever way a request ends,
// removeIfDone releases the quota; here the host's connection ends.
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
		t.Fatalf("%d connections count against the quota while the request is open, want 1", quota.inUse["a"])
	}
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if quota.inUse["a"] != 0 {
		t.Fatalf("%d connections count against the quota after the end of the request, want 0", quota.inUse["a"])
	}
}

// TestNoQuotaIsRejected checks that a request whose account has no quota left is rejected, and
// does not count against the quota.
func TestNoQuotaIsRejected(t *testing.T) {
	w, quota := newQuotaHarness(t)
	w.open("r")
	quota.reply("rate", 700*time.Millisecond)
	w.expect("reject r 700")
	if quota.inUse["a"] != 0 || len(w.core.requests) > 0 {
		t.Errorf("after a rejection: %d connections count against the quota, %d requests in the table, want 0, 0", quota.inUse["a"], len(w.core.requests))
	}
}

// TestClientThatLeftTakesNoQuota checks that a client that leaves before the quota's reply holds no
// quota.
func TestClientThatLeftTakesNoQuota(t *testing.T) {
	for _, exceeded := range []string{"", "standing"} {
		w, quota := newQuotaHarness(t)
		r := w.open("r")
		r.DownstreamEnded(&netio.Error{})
		w.events = nil
		quota.reply(exceeded, time.Second)
		w.expect()
		if quota.inUse["a"] != 0 {
			t.Errorf("exceeded limit %q, client left before the reply: %d connections count against the quota, want 0", exceeded, quota.inUse["a"])
		}
	}
}

// TestOpenConnectionsCountAgainstNewLimits checks that an open connection counts once against
// limits that its account gets later.
func TestOpenConnectionsCountAgainstNewLimits(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("r")
	quota := &fakeQuota{inUse: map[string]int{}}
	enforcer := &rules.Enforcer{Now: func() int64 { return w.now }, KeepLastVersion: true}
	w.core.SetQuota(quota)
	w.core.SetRules(enforcer)
	if quota.inUse["a"] != 0 {
		t.Fatalf("%d connections count against the quota before there are accounts, want 0", quota.inUse["a"])
	}
	rules.SetActiveVersionForTest(enforcer, &rules.Version{Number: 1, Directory: &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.ReassignPools()
	w.core.ReassignPools()
	if quota.inUse["a"] != 1 {
		t.Fatalf("%d connections count against the new limits, want 1", quota.inUse["a"])
	}
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if quota.inUse["a"] != 0 {
		t.Fatalf("%d connections count against the quota after the end of the request, want 0", quota.inUse["a"])
	}
}

// TestConnectionsOfOtherProcessUseQuota guards against accounts that exceed their limits during a hot
// restart: the old process's connections count at the new one until they end or are handed over, and
// those that are handed over count there.
func TestConnectionsOfOtherProcessUseQuota(t *testing.T) {
	w, quota := newQuotaHarness(t)
	inUse := func(want int, when string) {
		t.Helper()
		if quota.inUse["a"] != want {
			t.Errorf("%s %d connections count against the quota, want %d", when, quota.inUse["a"], want)
		}
	}
	w.core.SetOtherProcessConnections(map[string]int{"a": 2})
	inUse(2, "with two connections at the old process")
	resumed, _ := w.core.Resume(&HandedOverConnection{Request: balancer.Request{ID: "resumed"}, Class: "c", Tenant: "t", Host: "A"}, &fakeDownstream{w, "resumed"}, &fakeUpstream{harness: w})
	w.core.SetOtherProcessConnections(map[string]int{"a": 1})
	inUse(2, "after one was handed over")
	if counts := w.core.AccountConnections(); counts["a"] != 1 {
		t.Errorf("connections by account: %v, want one of a", counts)
	}
	w.core.SetOtherProcessConnections(nil)
	inUse(1, "after the end of the old process")
	resumed.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Ended})
	inUse(0, "after the end of the connection")
}
