package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// slowDiscovery is a discovery service that answers 14 polls per second, one after the other, and
// is down from discoveryDown to discoveryUp.
type slowDiscovery struct {
	queue      []poll
	busyUntil  Time           // the time from which the next poll can be answered
	polls      []Time         // times of the polls since the start of the outage
	answeredAt map[*fake]Time // time of the last answer since the end of the outage, by balancer
}

// poll is one poll of the endpoint list by a balancer.
type poll struct {
	f  *fake
	at Time
}

const (
	pollTime      = sec / 14  // time that the discovery service takes to answer a poll
	pollTimeout   = 2 * sec   // after which a poll that waits in the queue fails
	discoveryDown = 106 * sec // on the clock that starts at 100 s, as does discoveryUp
	discoveryUp   = 110 * sec
)

// down reports whether the discovery service is down.
func (d *slowDiscovery) down(now Time) bool { return now >= discoveryDown && now < discoveryUp }

// receivePoll queues a balancer's poll, or fails it while the discovery service is down.
func (d *slowDiscovery) receivePoll(now Time, f *fake) {
	if now >= discoveryDown {
		d.polls = append(d.polls, now)
	}
	if d.down(now) {
		f.b.ListReceived(now, ListFailed, nil)
	} else {
		d.queue = append(d.queue, poll{f, now})
	}
}

// answerPolls answers the polls in the queue that are due, and fails those that have timed out.
func (d *slowDiscovery) answerPolls(now Time) {
	for len(d.queue) > 0 && !d.down(now) {
		p := d.queue[0]
		if now-p.at >= pollTimeout {
			p.f.b.ListReceived(now, ListFailed, nil)
		} else if d.busyUntil <= now {
			d.busyUntil = now + pollTime
			p.f.b.ListReceived(now, ListDelta, nil)
			if now >= discoveryUp {
				d.answeredAt[p.f] = now
			}
		} else {
			return
		}
		d.queue = d.queue[1:]
	}
}

// TestDiscoveryDownForAll checks that 80 balancers do not all poll at once when the discovery
// service fails, and that the service has answered all of them within 9 s of its return.
func TestDiscoveryDownForAll(t *testing.T) {
	const instances = 80
	discovery := slowDiscovery{answeredAt: map[*fake]Time{}}
	var balancers []*fake
	for instance := range instances {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.PollsDiscovery, cfg.Zones = instance, instances, true, []string{"a"}
		f := start(t, cfg, fleet(3)...)
		f.b.rng = rand.New(rand.NewSource(int64(instance) + 7))
		balancers = append(balancers, f)
	}
	for now := 100 * sec; now < 130*sec; now += 10 * ms {
		if now == discoveryDown { // all watches break
			for _, f := range balancers {
				f.b.ListReceived(now, ListFailed, nil)
			}
		}
		for _, f := range balancers {
			n := len(f.watches)
			f.run(now - f.now)
			for range f.watches[n:] {
				discovery.receivePoll(now, f)
			}
		}
		discovery.answerPolls(now)
	}
	most := maxInWindow(discovery.polls, sec)
	if most > 60 {
		t.Errorf("%d polls within a second of a discovery service that answers 14 per second, want at most 60", most)
	}
	last := Time(0)
	for _, at := range discovery.answeredAt {
		last = max(last, at)
	}
	answered, sinceUp := len(discovery.answeredAt), float64(last-discoveryUp)/1e9
	if answered < instances || last > discoveryUp+9*sec {
		t.Errorf("the discovery service answered %d of %d balancers, the last one %.1f s after the outage, want all within 9 s",
			answered, instances, sinceUp)
	}
	t.Logf("at most %d polls per second, the last of %d answered after %.1f s", most, answered, sinceUp)
}

// TestRollingReplacement checks that no attempt goes to a draining host more than 250 ms after its
// balancer has received the drain, while 7 hosts are replaced within 7 s, each balancer receives
// the changes at a time of its own, and clients return.
func TestRollingReplacement(t *testing.T) {
	type change struct {
		at   Time
		host ListedHost
	}
	var changes []change
	for i := range 7 {
		at := 101*sec + Time(i)*sec
		changes = append(changes, change{at, listed(hostID(i), Draining)},
			change{at + sec/2, warming(fmt.Sprintf("t%02d", i), at)})
	}
	for seed := int64(1); seed <= 5; seed++ {
		rng := rand.New(rand.NewSource(seed))
		balancers := manyBalancers(t, 80, seed)
		drainReceived := map[*fake]map[string]Time{}
		received := map[*fake]int{} // number of changes that the balancer has received
		delay := map[*fake]Time{}   // after which the balancer receives each change
		for _, f := range balancers {
			drainReceived[f] = map[string]Time{}
			delay[f] = Time(rng.Int63n(int64(200 * ms)))
		}
		n := 0
		for now := 101 * sec; now < 112*sec; now += 20 * ms {
			for _, f := range balancers {
				f.run(now - f.now)
				for ; received[f] < len(changes) && changes[received[f]].at+delay[f] <= now; received[f]++ {
					h := changes[received[f]].host
					f.b.ListReceived(now, ListDelta, []ListedHost{h})
					if h.State == Draining {
						drainReceived[f][h.ID] = now
					}
				}
			}
			f, id := balancers[rng.Intn(len(balancers))], fmt.Sprintf("%d-%d", seed, n)
			n++
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Group: fmt.Sprint("g", n%4),
				Returned: n%2 == 0, Remaining: 4800 * ms})
			if f.inFlight[id] {
				f.establish(id)
			}
		}
		for _, f := range balancers {
			for _, a := range f.attemptsStarted {
				if at, ok := drainReceived[f][a.host]; ok && a.at > at+250*ms {
					t.Errorf("seed %d: attempt at %s %d ms after its drain was received, want at most 250 ms",
						seed, a.host, (a.at-at)/ms)
				}
			}
		}
		if n < 500 {
			t.Fatalf("seed %d: %d requests sent, want at least 500", seed, n)
		}
	}
}

// TestZoneReturnsWarming checks that 80 balancers do not overload four of eleven hosts that vanish
// and come back warming at the same moment. Each of the hosts is ejected by half of the balancers.
func TestZoneReturnsWarming(t *testing.T) {
	mean := 0.0
	const seeds = 10
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		balancers := manyBalancers(t, 80, seed)
		returning := []string{"s00", "s03", "s06", "s09"}
		for _, f := range balancers {
			for _, id := range returning {
				if rng.Intn(2) == 0 {
					f.failConnect(f.b.byID[id])
				}
			}
			f.now = 106 * sec
			var changes []ListedHost
			for _, id := range returning {
				changes = append(changes, warming(id, f.now-sec))
			}
			f.listChanged(changes...)
			f.attemptsStarted = nil
		}
		replay(balancers, rng, evenlySpacedTimes(40, 106*sec, 50*ms), true, "s00")
		attempts := map[string]int{}
		for _, f := range balancers {
			for _, a := range f.attemptsStarted {
				attempts[a.host]++
			}
		}
		for _, id := range returning {
			mean += float64(attempts[id]) / seeds / float64(len(returning))
			if attempts[id] > 6 {
				t.Errorf("seed %d: %d connections within 2 s to %s, which came back a second before, want at most 6",
					seed, attempts[id], id)
			}
		}
	}
	// The overload factor of 4 times a capacity share of 0.2 times 0.45 connections per second and
	// host makes 0.73 in 2 s. The quotas, from which the 0.45 follows, are at most about 0.8 of the
	// hosts' capacity, so that 0.9 is allowed.
	if mean > 0.9 {
		t.Errorf("%.2f connections within 2 s to a warming host on average, want at most its budget of 0.9", mean)
	}
	t.Logf("%.2f connections within 2 s to a warming host on average", mean)
}
