package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDemandIsFollowed(t *testing.T) {
	f := newFleet(5, 1, map[string]Limit{"a": {Rate: 40}})
	skewed := func(i int) float64 { return []float64{2, 0.02, 0, 0, 0}[i] }
	f.run(5*sec, "a", skewed, 100*ms)
	f.acquiredAt = map[string][]Time{}
	f.run(10*sec, "a", skewed, 100*ms)
	n := len(f.acquiredAt["a"])
	t.Logf("%d of 400 taken, nearly all at one of five proxies; %d at most in a second", n, maxPerSecond(f.acquiredAt["a"]))
	if n < 360 || maxPerSecond(f.acquiredAt["a"]) > 52 {
		t.Errorf("%d of 400, %d in a second", n, maxPerSecond(f.acquiredAt["a"]))
	}
	if f.longestWait > maxWait+20*ms || f.waiting > 20 {
		t.Errorf("one waited %d ms; %d wait still", f.longestWait/ms, f.waiting)
	}
	even := func(i int) float64 { return []float64{2, 0.02, 0.02, 0.02, 0.02}[i] }
	f.run(3*sec, "a", even, 100*ms)
	f.acquiredAt = map[string][]Time{}
	f.run(10*sec, "a", even, 100*ms)
	if n := len(f.acquiredAt["a"]); n < 360 {
		t.Errorf("%d of 400 taken with all asking", n)
	}
}

func TestWithoutAnOwnerEachHasItsShare(t *testing.T) {
	f := newFleet(5, 2, map[string]Limit{"a": {Rate: 50, Connections: 100}})
	all := func(int) float64 { return 1 }
	f.run(5*sec, "a", all, sec)
	f.noIssuer = true
	f.run(3*sec, "a", all, sec)
	f.acquiredAt = map[string][]Time{}
	f.run(10*sec, "a", all, sec)
	if n := len(f.acquiredAt["a"]); n < 450 || n > 510 {
		t.Errorf("%d taken in 10 s without an owner, 500 are the shares", n)
	}
	f.noIssuer = false
	f.restartIssuers()
	f.run(10*sec, "a", all, sec)
	if n := maxPerSecond(f.acquiredAt["a"]); n > 50+13+50/5 {
		t.Errorf("%d in a second over the change of owners", n)
	}
}

// A parent's limit holds over its children, also as it is cut by half in the middle of a burst.
func TestAParentsLimitHolds(t *testing.T) {
	f := newFleet(4, 3, map[string]Limit{"p": {Rate: 40, Connections: 60}, "p/x": {Rate: 40}, "p/y": {Rate: 40}})
	for range 20 {
		f.run(200*ms, "p/x", func(int) float64 { return 0.5 }, 2*sec)
		f.run(200*ms, "p/y", func(int) float64 { return 0.5 }, 2*sec)
	}
	if n := maxPerSecond(f.acquiredAt["p"]); n > 40+10+8 || f.open["p"] > 60 {
		t.Errorf("%d in a second, %d open", n, f.open["p"])
	}
	f.limits["p"] = Limit{Rate: 20, Connections: 30}
	f.run(2*sec, "p/x", func(int) float64 { return 0.5 }, 2*sec) // what was handed out lapses, and what is open ends
	f.acquiredAt = map[string][]Time{}
	over := 0
	for range 40 {
		f.run(100*ms, "p/x", func(int) float64 { return 0.5 }, 2*sec)
		if f.now > 0 && f.open["p"] > 30 {
			over++
		}
	}
	if n := maxPerSecond(f.acquiredAt["p"]); n > 20+5+10 || over > 12 {
		t.Errorf("cut by half: %d in a second; over 30 open in %d of 40 looks", n, over)
	}
}

// Whatever is cut off, lost and restarted: in no second more than the limit, what is saved, the shares of those that are alone and what was handed out
// in one grantLifetime; and never more open than the limit while owners stay.
func TestTheSumIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const rate, standing, n = 40, 50, 5
		f := newFleet(n, rapid.Uint64().Draw(rt, "seed"), map[string]Limit{"a": {Rate: rate, Connections: standing}})
		f.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "loss")
		changed := false
		for range rapid.IntRange(3, 12).Draw(rt, "steps") {
			switch i := rapid.IntRange(0, n-1).Draw(rt, "proxy"); rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0, 1:
				f.cut[i] = !f.cut[i]
			case 2:
				f.restartIssuers()
				changed = true
			case 3:
				f.noIssuer = !f.noIssuer
				if !f.noIssuer {
					f.restartIssuers()
					changed = true
				}
			}
			f.run(Time(rapid.IntRange(100, 2500).Draw(rt, "time"))*ms, "a", func(int) float64 { return rapid.SampledFrom([]float64{0, 0.3, 2}).Draw(rt, "want") }, Time(rapid.IntRange(100, 3000).Draw(rt, "life"))*ms)
			if f.open["a"] > standing && !changed {
				rt.Fatalf("%d open, %d are the limit", f.open["a"], standing)
			}
			if f.open["a"] > 2*standing {
				rt.Fatalf("%d open over changes of owners, %d are the limit", f.open["a"], standing)
			}
		}
		if m := maxPerSecond(f.acquiredAt["a"]); m > rate+rate/4+rate/2+n {
			rt.Fatalf("%d within a second, the limit is %d", m, rate)
		}
	})
}

// What an answer gave lapses by itself: the next one does not lengthen its life, and one that was overtaken says nothing of places.
func TestAnAnswerLapsesByItself(t *testing.T) {
	now := Time(0)
	var tags []uint64
	p := &Client{Now: func() Time { return now }, GrantLifetime: grantLifetime, FleetSize: 5, Accounts: func() []string { return []string{"a"} },
		Limits: func(string) Limit { return Limit{Rate: 40, Connections: 50} }, SendQuery: func(_ int, tag uint64, _ []byte) { tags = append(tags, tag) }}
	asks := func() (tag uint64) {
		tags = nil
		p.query(Shard("a"), false)
		return tags[0]
	}
	took := func() (n int) {
		for {
			over := "waits"
			p.mutex.Lock()
			over, _ = p.tryAcquire(now, "a", 0)
			p.mutex.Unlock()
			if over != "" {
				return n
			}
			n++
		}
	}
	first := asks()
	p.receiveGrants(first, encodeGrants([]grant{{"a", 8, 50}}))
	now += grantLifetime / 2
	p.receiveGrants(asks(), encodeGrants([]grant{{"a", 3, 50}}))
	now += grantLifetime/2 + ms // the first eight have lapsed: their owner has handed out others since
	if n := took(); n != 3 {
		t.Errorf("%d permits, 3 are left", n)
	}
	older := asks()
	now += 10 * ms
	newer := asks()
	p.receiveGrants(newer, encodeGrants([]grant{{"a", 0, 4}}))
	p.receiveGrants(older, encodeGrants([]grant{{"a", 9, 50}}))
	if n := took(); n != 1 {
		t.Errorf("%d more are open, 1 more of 4 places is left", n)
	}
}

func FuzzAsked(f *testing.F) {
	f.Add(encodeDemands([]demand{{"a", 1, 2, 3}, {"a/b", 9, 9, 9}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := newFleet(2, 1, map[string]Limit{"a": {Rate: 5, Connections: 5}})
		x.now += 10 * grantLifetime
		x.issuers[0].QueryReceived(x.now, 1, 1, data)
		x.clients[0].Acquire("a", 0, func(string, time.Duration) {})
		x.clients[0].Step()
		x.clients[0].ReplyReceived(1, data)
		x.clients[0].Acquire("nobody's", 0, func(over string, _ time.Duration) {
			if over != "" {
				t.Fatalf("an account without limits: %s", over)
			}
		})
	})
}

func TestGrantedPlaces(t *testing.T) {
	for _, c := range []struct {
		name            string
		open, demanded  uint64
		capacity, limit int
		want            uint64
	}{
		{"as demanded", 3, 2, 10, 20, 5},
		{"as far as there is capacity", 3, 9, 10, 20, 10},
		{"nothing demanded", 3, 0, 10, 20, 3},
		{"the limit was cut: all come down in step", 10, 5, 0, 10, 5},
		{"no limit is left", 10, 5, -10, 0, 0},
	} {
		if got := grantedConnections(demand{open: c.open, additional: c.demanded}, c.capacity, c.limit); got != c.want {
			t.Errorf("%s: %d, expected %d", c.name, got, c.want)
		}
	}
}
