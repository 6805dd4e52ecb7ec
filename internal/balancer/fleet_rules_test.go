package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// TestDiscoveryDownForAll: eighty balancers on a discovery that gets through fourteen calls a second and is down for four
// seconds. They must not all call at once when it fails, nor stay away when it is back.
func TestDiscoveryDownForAll(t *testing.T) {
	const peers, each, patience, downFrom, upAt = 80, sec / 14, 2 * sec, 106 * sec, 110 * sec
	type call struct {
		f  *fake
		at Time
	}
	var queue []call // worked through in turn; what has waited too long fails
	var calls []Time // while it is down or after
	free := Time(0)
	var all []*fake
	told := map[*fake]Time{}
	for me := 0; me < peers; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.PollsDiscovery, cfg.Zones = me, peers, true, []string{"a"}
		f := start(t, cfg, fleet(3)...)
		f.b.rng = rand.New(rand.NewSource(int64(me) + 7))
		all = append(all, f)
	}
	down := func(now Time) bool { return now >= downFrom && now < upAt }
	for now := 100 * sec; now < 130*sec; now += 10 * ms {
		if now == downFrom { // all watches end
			for _, f := range all {
				f.b.ListReceived(now, ListFailed, nil)
			}
		}
		for _, f := range all {
			n := len(f.watches)
			f.run(now - f.now)
			for range f.watches[n:] {
				if now >= downFrom {
					calls = append(calls, now)
				}
				if down(now) {
					f.b.ListReceived(now, ListFailed, nil)
				} else {
					queue = append(queue, call{f, now})
				}
			}
		}
		for len(queue) > 0 && !down(now) {
			c := queue[0]
			if now-c.at >= patience {
				c.f.b.ListReceived(now, ListFailed, nil)
			} else if free <= now {
				free = now + each
				c.f.b.ListReceived(now, ListDelta, nil)
				if now >= upAt {
					told[c.f] = now
				}
			} else {
				break
			}
			queue = queue[1:]
		}
	}
	most := within(calls, sec)
	if most > 60 {
		t.Errorf("%d calls within a second on a discovery that gets through 14", most)
	}
	last := Time(0)
	for _, at := range told {
		last = max(last, at)
	}
	if len(told) < peers || last > upAt+9*sec {
		t.Errorf("%d of %d told, the last %.1f s after it was back", len(told), peers, float64(last-upAt)/1e9)
	}
	t.Logf("at most %d calls a second, the last of %d told after %.1f s", most, len(told), float64(last-upAt)/1e9)
}

// TestRollingReplacement: hosts are replaced within seven seconds, and each balancer is notified at a moment of its own;
// nothing goes to a draining host later than the grace after that, whatever comes back meanwhile.
func TestRollingReplacement(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		rng := rand.New(rand.NewSource(seed))
		all := manyBalancers(t, 80, seed)
		type news struct {
			at Time
			e  ListedHost
		}
		told := map[*fake]map[string]Time{}
		var due []news
		for i := 0; i < 7; i++ {
			at := 101*sec + Time(i)*sec
			due = append(due, news{at, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1, State: Draining}},
				news{at + sec/2, ListedHost{ID: fmt.Sprintf("t%02d", i), Zone: "a", Weight: 1, StartedAt: at}})
		}
		heard := map[*fake]int{}
		late := map[*fake]Time{}
		for _, f := range all {
			told[f] = map[string]Time{}
			late[f] = Time(rng.Int63n(int64(200 * ms)))
		}
		n := 0
		for now := 101 * sec; now < 112*sec; now += 20 * ms {
			for _, f := range all {
				f.run(now - f.now)
				for ; heard[f] < len(due) && due[heard[f]].at+late[f] <= now; heard[f]++ {
					e := due[heard[f]].e
					f.b.ListReceived(now, ListDelta, []ListedHost{e})
					if e.State == Draining {
						told[f][e.ID] = now
					}
				}
			}
			f, id := all[rng.Intn(len(all))], fmt.Sprintf("%d-%d", seed, n)
			n++
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Group: fmt.Sprint("g", n%4), Returned: n%2 == 0, Remaining: 4800 * ms})
			if f.inFlight[id] {
				f.establish(id)
			}
		}
		for _, f := range all {
			for _, s := range f.attemptsStarted {
				if at, ok := told[f][s.host]; ok && s.at > at+250*ms {
					t.Errorf("seed %d: %s got a connection %d ms after its drain was told", seed, s.host, (s.at-at)/ms)
				}
			}
		}
		if n < 500 {
			t.Fatal("too few requests")
		}
	}
}

// TestZoneReturnsWarming: four of eleven hosts vanish and come back warming at one moment; of eighty balancers, whose failed
// connects have run out at different times, not all send there at once.
func TestZoneReturnsWarming(t *testing.T) {
	mean := 0.0
	const seeds = 10
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		all := manyBalancers(t, 80, seed)
		gone := []string{"s00", "s03", "s06", "s09"}
		for _, f := range all {
			for _, id := range gone {
				if rng.Intn(2) == 0 {
					f.failConnect(f.b.byID[id])
				}
			}
			f.now = 106 * sec
			var back []ListedHost
			for _, id := range gone {
				back = append(back, ListedHost{ID: id, Zone: "a", Weight: 1, StartedAt: f.now - sec})
			}
			f.b.ListReceived(f.now, ListDelta, back)
		}
		var at []Time
		for now := 106 * sec; now < 108*sec; now += 50 * ms {
			at = append(at, now)
		}
		for _, f := range all {
			f.attemptsStarted = nil
		}
		replay(all, rng, at, true, "s00")
		cold := map[string]int{}
		for _, f := range all {
			for _, s := range f.attemptsStarted {
				cold[s.host]++
			}
		}
		for _, id := range gone {
			mean += float64(cold[id]) / seeds / float64(len(gone))
			if cold[id] > 6 {
				t.Errorf("seed %d: %d connections in 2 s to %s, back for a second", seed, cold[id], id)
			}
		}
	}
	// Two seconds at four times 0.2 of 0.45 a second are 0.73, and quotas are at most 0.8 or so of what the hosts bear.
	if mean > 0.9 {
		t.Errorf("%.2f connections in 2 s to a warming host that bears 0.9", mean)
	}
	t.Logf("%.2f connections in 2 s to a warming host", mean)
}
