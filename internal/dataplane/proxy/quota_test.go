package proxy

import (
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// counter is an allowance whose word the test gives.
type counter struct {
	held map[string]int
	then []func(over string, advice time.Duration)
}

func (c *counter) IsLimited(account string) bool { return account == "a" }
func (c *counter) Acquire(_ string, _ float64, then func(string, time.Duration)) {
	c.then = append(c.then, then)
}
func (c *counter) CountExisting(account string) { c.held[account]++ }
func (c *counter) Release(account string)       { c.held[account]-- }

// say gives the word for the request that has waited longest.
func (c *counter) say(over string, advice time.Duration) {
	then := c.then[0]
	c.then = c.then[1:]
	if over == "" {
		c.held["a"]++
	}
	then(over, advice)
}

func limited(t *testing.T) (*world, *counter) {
	w := newWorld(t)
	c := &counter{held: map[string]int{}}
	gate := &rules.Enforcer{Now: func() int64 { return w.now }}
	rules.ActByForTest(gate, &rules.Version{Number: 1, Book: &namespace.Book{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.SetQuota(c)
	w.core.SetRules(gate)
	w.on = func(e string) {
		if e == "request r" {
			w.fx.StartAttempt("r", "A", 0)
		}
	}
	w.seen = nil
	return w, c
}

// A request goes on once its account has room, and gives back what it counts against at its end, whichever way that comes.
func TestARequestCountsOnce(t *testing.T) {
	w, c := limited(t)
	w.open("r")
	w.expect()
	c.say("", 0)
	w.expect("request r", "start at-A 1000")
	u := w.ups[0]
	u.sent()
	u.ev.FromUpstream(Message{Kind: Accepted})
	if c.held["a"] != 1 {
		t.Fatalf("%d held while it stands", c.held["a"])
	}
	u.ev.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if c.held["a"] != 0 {
		t.Fatalf("%d held after its end", c.held["a"])
	}
}

func TestNoRoomIsAFinalAnswer(t *testing.T) {
	w, c := limited(t)
	w.open("r")
	c.say("rate", 700*time.Millisecond)
	w.expect("refuse r 700")
	if c.held["a"] != 0 || len(w.core.requests) > 0 {
		t.Errorf("%d held, %d requests", c.held["a"], len(w.core.requests))
	}
}

// A client that leaves while the word is on its way takes no room.
func TestWhoHasLeftTakesNoRoom(t *testing.T) {
	for _, over := range []string{"", "standing"} {
		w, c := limited(t)
		r := w.open("r")
		r.DownstreamEnded(&netio.Error{})
		w.seen = nil
		c.say(over, time.Second)
		w.expect()
		if c.held["a"] != 0 {
			t.Errorf("%q: %d held", over, c.held["a"])
		}
	}
}

// What stands already when an account comes under limits counts from then on, once.
func TestWhatStandsAlreadyCounts(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("r")
	c := &counter{held: map[string]int{}}
	gate := &rules.Enforcer{Now: func() int64 { return w.now }, KeepAfterLapse: true}
	w.core.SetQuota(c)
	w.core.SetRules(gate)
	if c.held["a"] != 0 {
		t.Fatal("counted before there are accounts")
	}
	rules.ActByForTest(gate, &rules.Version{Number: 1, Book: &namespace.Book{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}}}}}, w.now+1e12)
	w.core.ReassignPools()
	w.core.ReassignPools()
	if c.held["a"] != 1 {
		t.Fatalf("%d held", c.held["a"])
	}
	u.ev.UpstreamEnded(&netio.Error{Stage: netio.Sent})
	if c.held["a"] != 0 {
		t.Fatalf("%d held after its end", c.held["a"])
	}
}
