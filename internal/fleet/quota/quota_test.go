package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGrantsFollowDemand guards against permits (for one new connection each) that stay at proxies
// without demand. The proxies with demand must get nearly the whole rate, first with nearly all
// demand at one proxy, then with demand at all.
func TestGrantsFollowDemand(t *testing.T) {
	f := newTestFleet(5, 1, map[string]Limit{"a": {Rate: 40}})
	skewed := func(i int) float64 { return []float64{2, 0.02, 0, 0, 0}[i] }
	f.run(5*second, "a", skewed, 100*ms)
	f.acquiredAt = map[string][]Time{}
	f.run(10*second, "a", skewed, 100*ms)
	n := len(f.acquiredAt["a"])
	t.Logf("%d of 400 connections acquired, nearly all at one of five proxies; %d at most in a second", n, maxPerSecond(f.acquiredAt["a"]))
	if n < 360 || maxPerSecond(f.acquiredAt["a"]) > 52 {
		t.Errorf("acquired %d of 400 connections with demand at one proxy, at most %d in a second; want at least 360 and at most 52", n, maxPerSecond(f.acquiredAt["a"]))
	}
	if f.longestWait > maxGrantWait+20*ms || f.waiting > 20 {
		t.Errorf("longest wait = %d ms, want at most %d ms; %d requests still wait, want at most 20", f.longestWait/ms, (maxGrantWait+20*ms)/ms, f.waiting)
	}
	even := func(i int) float64 { return []float64{2, 0.02, 0.02, 0.02, 0.02}[i] }
	f.run(3*second, "a", even, 100*ms)
	f.acquiredAt = map[string][]Time{}
	f.run(10*second, "a", even, 100*ms)
	if n := len(f.acquiredAt["a"]); n < 360 {
		t.Errorf("acquired %d of 400 connections with demand at all proxies, want at least 360", n)
	}
}

// TestProxyUsesFairShareWithoutIssuer checks that without an issuer all proxies together use the
// account's whole rate, each its share (an equal part), and that once there are new issuers, shares
// and grants together stay within the limit and a burst.
func TestProxyUsesFairShareWithoutIssuer(t *testing.T) {
	f := newTestFleet(5, 2, map[string]Limit{"a": {Rate: 50, Connections: 100}})
	all := func(int) float64 { return 1 }
	f.run(5*second, "a", all, second)
	f.noIssuer = true
	f.run(3*second, "a", all, second)
	f.acquiredAt = map[string][]Time{}
	f.run(10*second, "a", all, second)
	if n := len(f.acquiredAt["a"]); n < 450 || n > 510 {
		t.Errorf("acquired %d connections in 10 s without an issuer, want 450 to 510 (the shares are 500)", n)
	}
	f.noIssuer = false
	f.restartIssuers()
	f.run(10*second, "a", all, second)
	if n := maxPerSecond(f.acquiredAt["a"]); n > 50+13+50/5 {
		t.Errorf("acquired %d connections in one second across the change of issuers, want at most %d", n, 50+13+50/5)
	}
}

// TestParentLimitBoundsChildren checks that a parent's limit bounds all its children together, even
// after the limit is halved during a burst.
func TestParentLimitBoundsChildren(t *testing.T) {
	f := newTestFleet(4, 3, map[string]Limit{"p": {Rate: 40, Connections: 60}, "p/x": {Rate: 40}, "p/y": {Rate: 40}})
	for range 20 {
		f.run(200*ms, "p/x", func(int) float64 { return 0.5 }, 2*second)
		f.run(200*ms, "p/y", func(int) float64 { return 0.5 }, 2*second)
	}
	if n := maxPerSecond(f.acquiredAt["p"]); n > 40+10+8 || f.open["p"] > 60 {
		t.Errorf("acquired %d connections in one second, want at most 58; %d are open, want at most 60", n, f.open["p"])
	}
	f.limits["p"] = Limit{Rate: 20, Connections: 30}
	f.run(2*second, "p/x", func(int) float64 { return 0.5 }, 2*second) // grants lapse, and open connections end
	f.acquiredAt = map[string][]Time{}
	timesOver := 0
	for range 40 {
		f.run(100*ms, "p/x", func(int) float64 { return 0.5 }, 2*second)
		if f.now > 0 && f.open["p"] > 30 {
			timesOver++
		}
	}
	if n := maxPerSecond(f.acquiredAt["p"]); n > 20+5+10 || timesOver > 12 {
		t.Errorf("after the limit was halved: acquired %d connections in one second, want at most 35; more than 30 open in %d of 40 checks, want at most 12", n, timesOver)
	}
}

// TestFleetStaysWithinLimits runs random sequences of partitions, lost messages and issuer
// restarts. The connections acquired in one second never exceed the sum of the limit, the bucket's
// burst, the grants of one lifetime and one permit of its share per proxy. The open connections
// never exceed the limit unless issuers change.
func TestFleetStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const rate, connections, n = 40, 50, 5
		f := newTestFleet(n, rapid.Uint64().Draw(rt, "seed"), map[string]Limit{"a": {Rate: rate, Connections: connections}})
		f.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")
		issuersChanged := false
		for range rapid.IntRange(3, 12).Draw(rt, "steps") {
			switch i := rapid.IntRange(0, n-1).Draw(rt, "proxy"); rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				f.isolated[i] = !f.isolated[i]
			case 2:
				f.restartIssuers()
				issuersChanged = true
			case 3:
				f.noIssuer = !f.noIssuer
				if !f.noIssuer {
					f.restartIssuers()
					issuersChanged = true
				}
			}
			f.run(Time(rapid.IntRange(100, 2500).Draw(rt, "time"))*ms, "a", func(int) float64 { return rapid.SampledFrom([]float64{0, 0.3, 2}).Draw(rt, "want") }, Time(rapid.IntRange(100, 3000).Draw(rt, "life"))*ms)
			if f.open["a"] > connections && !issuersChanged {
				rt.Fatalf("%d connections are open, want at most %d", f.open["a"], connections)
			}
			if f.open["a"] > 2*connections {
				rt.Fatalf("%d connections are open after changes of issuers, want at most %d", f.open["a"], 2*connections)
			}
		}
		if m := maxPerSecond(f.acquiredAt["a"]); m > rate+rate/4+rate/2+n {
			rt.Fatalf("acquired %d connections in one second, want at most %d", m, rate+rate/4+rate/2+n)
		}
	})
}

// TestGrantsLapseIndependently checks that a later grant does not prolong an earlier one, and that a
// grant that arrives after a newer one does not change how many connections may be open.
func TestGrantsLapseIndependently(t *testing.T) {
	now := Time(0)
	var tags []uint64
	p := &Client{
		Now:             func() Time { return now },
		GrantLifetime:   grantLifetime,
		FleetSize:       5,
		LimitedAccounts: func() []string { return []string{"a"} },
		Limits:          func(string) Limit { return Limit{Rate: 40, Connections: 50} },
		SendQuery:       func(_ int, tag uint64, _ []byte) { tags = append(tags, tag) },
	}
	sendQuery := func() (tag uint64) {
		tags = nil
		p.query(Shard("a"), false)
		return tags[0]
	}
	acquireAll := func() (n int) {
		for {
			p.mutex.Lock()
			exceeded, _ := p.tryAcquire(now, "a", 0)
			p.mutex.Unlock()
			if exceeded != "" {
				return n
			}
			n++
		}
	}
	first := sendQuery()
	p.receiveGrants(first, encodeGrants([]grant{{"a", 8, 50}}))
	now += grantLifetime / 2
	p.receiveGrants(sendQuery(), encodeGrants([]grant{{"a", 3, 50}}))
	now += grantLifetime/2 + ms // the first eight permits have lapsed: the issuer may have granted them to others
	if n := acquireAll(); n != 3 {
		t.Errorf("acquired %d connections after the first grant lapsed, want 3", n)
	}
	older := sendQuery()
	now += 10 * ms
	newer := sendQuery()
	p.receiveGrants(newer, encodeGrants([]grant{{"a", 0, 4}}))
	p.receiveGrants(older, encodeGrants([]grant{{"a", 9, 50}}))
	if n := acquireAll(); n != 1 {
		t.Errorf("acquired %d more connections after an older grant arrived late, want 1 (4 may be open)", n)
	}
}

// FuzzMessages passes arbitrary bytes to the issuer and the client, and checks that neither panics
// and that an account without limits is never rejected.
func FuzzMessages(f *testing.F) {
	f.Add(encodeDemands([]demand{{"a", 1, 2, 3}, {"a/b", 9, 9, 9}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet := newTestFleet(2, 1, map[string]Limit{"a": {Rate: 5, Connections: 5}})
		fleet.now += 10 * grantLifetime
		fleet.issuers[0].QueryReceived(fleet.now, 1, 1, data)
		fleet.clients[0].Acquire("a", 0, func(string, time.Duration) {})
		fleet.clients[0].Step()
		fleet.clients[0].ReplyReceived(1, data)
		fleet.clients[0].Acquire("nobody's", 0, func(exceeded string, _ time.Duration) {
			if exceeded != "" {
				t.Fatalf("Acquire of an account without limits exceeds %q, want \"\"", exceeded)
			}
		})
	})
}

func TestGrantedConnections(t *testing.T) {
	for _, c := range []struct {
		name            string
		open, demanded  uint64
		capacity, limit int
		want            uint64
	}{
		{"capacity for the whole demand", 3, 2, 10, 20, 5},
		{"capacity for part of the demand", 3, 9, 10, 20, 10},
		{"no demand", 3, 0, 10, 20, 3},
		{"limit reduced: the grant shrinks in proportion", 10, 5, 0, 10, 5},
		{"limit is 0", 10, 5, -10, 0, 0},
	} {
		if got := grantedConnections(demand{open: c.open, additional: c.demanded}, c.capacity, c.limit); got != c.want {
			t.Errorf("%s: grantedConnections(open %d, additional %d, capacity %d, limit %d) = %d, want %d", c.name, c.open, c.demanded, c.capacity, c.limit, got, c.want)
		}
	}
}
