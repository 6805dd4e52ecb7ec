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
	held map[string]int
	then []func(over string, advice time.Duration)
}

func (c *fakeQuota) IsLimited(account string) bool { return account == "a" }
func (c *fakeQuota) Acquire(_ string, _ float64, then func(string, time.Duration)) {
	c.then = append(c.then, then)
}
func (c *fakeQuota) CountExisting(account string) { c.held[account]++ }
func (c *fakeQuota) Release(account string)       { c.held[account]-- }

// reply answers the request that has waited longest.
func (c *fakeQuota) reply(over string, advice time.Duration) {
	then := c.then[0]
	c.then = c.then[1:]
	if over == "" {
		c.held["a"]++
	}
	then(over, advice)
}

func limited(t *testing.T) (*harness, *fakeQuota) {
	w := newHarness(t)
	c := &fakeQuota{held: map[string]int{}}
	gate := &rules.Enforcer{Now: func() int64 { return w.now }}
	rules.SetActiveVersionForTest(gate, &rules.Version{Number: 1, Directory: &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.SetQuota(c)
	w.core.SetRules(gate)
	w.onEvent = func(e string) {
		if e == "request r" {
			w.effects.StartAttempt("r", "A", 0)
		}
	}
	w.events = nil
	return w, c
}

// A request goes on once its account has quota, and gives back what it counts against at its end, whichever way that comes.
func TestRequestCountsOnceAgainstQuota(t *testing.T) {
	w, c := limited(t)
	w.open("r")
	w.expect()
	c.reply("", 0)
	w.expect("request r", "start at-A 1000")
	u := w.upstreams[0]
	u.sent()
	u.events.FromUpstream(Message{Kind: Accepted})
	if c.held["a"] != 1 {
		t.Fatalf("%d held while it stands", c.held["a"])
	}
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if c.held["a"] != 0 {
		t.Fatalf("%d held after its end", c.held["a"])
	}
}

func TestNoQuotaIsRejected(t *testing.T) {
	w, c := limited(t)
	w.open("r")
	c.reply("rate", 700*time.Millisecond)
	w.expect("reject r 700")
	if c.held["a"] != 0 || len(w.core.requests) > 0 {
		t.Errorf("%d held, %d requests", c.held["a"], len(w.core.requests))
	}
}

// A client that leaves before the reply takes no quota.
func TestClientThatLeftTakesNoQuota(t *testing.T) {
	for _, over := range []string{"", "standing"} {
		w, c := limited(t)
		r := w.open("r")
		r.DownstreamEnded(&netio.Error{})
		w.events = nil
		c.reply(over, time.Second)
		w.expect()
		if c.held["a"] != 0 {
			t.Errorf("%q: %d held", over, c.held["a"])
		}
	}
}

// A connection that is open when its account comes under limits counts from then on, once.
func TestOpenConnectionsCountAgainstNewLimits(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("r")
	c := &fakeQuota{held: map[string]int{}}
	gate := &rules.Enforcer{Now: func() int64 { return w.now }, GraceAfterLapse: true}
	w.core.SetQuota(c)
	w.core.SetRules(gate)
	if c.held["a"] != 0 {
		t.Fatal("counted before there are accounts")
	}
	rules.SetActiveVersionForTest(gate, &rules.Version{Number: 1, Directory: &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.ReassignPools()
	w.core.ReassignPools()
	if c.held["a"] != 1 {
		t.Fatalf("%d held", c.held["a"])
	}
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if c.held["a"] != 0 {
		t.Fatalf("%d held after its end", c.held["a"])
	}
}
