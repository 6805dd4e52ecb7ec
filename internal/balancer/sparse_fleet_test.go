package balancer

import (
	"fmt"
	"math/rand"
	"testing"

	"croftlock/internal/balancer/stallgossip"
)

// manyBalancers are n instances with the settings of a grown fleet: 11 hosts, a fresh connection in half a minute at
// each balancer.
func manyBalancers(t *testing.T, n int, seed int64) []*fake {
	t.Helper()
	var all []*fake
	for me := 0; me < n; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.Zones = me, n, []string{"a"}
		cfg.SlowStartFloor, cfg.SlowStartDuration, cfg.SlowStartOverloadFactor, cfg.SlowStartOverloadWindow = 0.14, 23*sec, 4, 2*sec
		cfg.Classes = []Class{{Name: "x", LatencyObjective: 800 * ms, Deadline: 4800 * ms, MessageLatencyObjective: 150 * ms}}
		cfg.Tenants = []Tenant{{Name: "t", RateQuota: 5, ServiceQuota: 1, ConnectionQuota: 240}}
		f := start(t, cfg, fleet(11)...)
		f.b.rng = rand.New(rand.NewSource(seed*1000 + int64(me)))
		all = append(all, f)
	}
	return all
}

// replay gives requests at moments to balancers by chance, each of which is established at once, and returns when
// connections were sent to host.
func replay(all []*fake, rng *rand.Rand, at []Time, returned bool, server string) []Time {
	var sent []Time
	for i, now := range at {
		f := all[rng.Intn(len(all))]
		f.run(now - f.now)
		from, id := len(f.attemptsStarted), fmt.Sprintf("%x-%d", rng.Int63(), i)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Returned: returned, Remaining: 4800 * ms})
		for _, s := range f.attemptsStarted[from:] {
			f.establish(s.request)
			if s.host == server {
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// within counts the most moments in any window.
func within(at []Time, window Time) int {
	most := 0
	for i := range at {
		n := 0
		for _, x := range at[i:] {
			if x < at[i]+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestSparseTrafficUsesSlowStartBudget: at 80 balancers with a request each half a minute the tokens of a
// warming host fill where nobody comes for them; it has to get its part nevertheless.
func TestSparseTrafficUsesSlowStartBudget(t *testing.T) {
	const seeds = 20
	total, bound := 0, 0.0
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		all := manyBalancers(t, 80, seed)
		up := 110 * sec
		var later []Time
		for now := 100 * sec; now < 130*sec; now += Time(rng.ExpFloat64() / 2.4 * 1e9) {
			if now > up && now < up+10*sec {
				later = append(later, now)
			}
		}
		restarted := manyBalancers(t, 80, seed+100)
		for i := range all {
			if i%2 == 0 { // half of them have just been restarted
				all[i] = restarted[i]
			}
			all[i].b.ListReceived(up, ListDelta, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, StartedAt: up}})
			all[i].now = up
		}
		sent := replay(all, rng, later, false, "s03")
		total += len(sent)
		// Two seconds bear 2.1 at the end; chance brings more now and then, but no wave.
		if n := within(sent, 2*sec); n > 6 {
			t.Errorf("seed %d: %d connections within 2 s at a warming host", seed, n)
		}
	}
	// What it bears in 10 s: four times its present share of the 5 a second that 11 hosts bear.
	for s := 0.0; s < 10; s++ {
		bound += 4 * (0.14 + 0.86*s/23) * 5.0 / 11
	}
	t.Logf("%.1f connections of %.1f in a warming host's first 10 s", float64(total)/seeds, bound)
	if got := float64(total) / seeds; got < bound/4 || got > bound {
		t.Fatalf("a warming host got %.1f connections in its first 10 s, and bears %.1f", got, bound)
	}
}

// TestWaveSparesWarmingHost: what two hosts held comes back at once, a request or none at each
// balancer, none of which sees that it is a wave.
func TestWaveSparesWarmingHost(t *testing.T) {
	const seeds = 30
	total := 0
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		all := manyBalancers(t, 80, seed)
		up := 110 * sec
		for _, f := range all {
			f.b.ListReceived(up, ListDelta, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, StartedAt: up},
				{ID: "s04", Zone: "a", Weight: 1, State: Draining}, {ID: "s05", Zone: "a", Weight: 1, State: Draining}})
			f.now = up
		}
		var at []Time
		for i := 0; i < 30; i++ {
			at = append(at, up+sec+Time(i)*40*ms)
		}
		sent := replay(all, rng, at, true, "s03")
		total += len(sent)
		if len(sent) > 4 {
			t.Errorf("seed %d: a wave of 30 brought %d connections to a warming host", seed, len(sent))
		}
	}
	// The rule's window of 2 s at four times 0.19 of 0.45 a second: 0.68 connections.
	if mean := float64(total) / seeds; mean > 0.68 {
		t.Fatalf("waves bring %.2f connections to a warming host that bears 0.68", mean)
	}
}

// TestWithoutUsableQuotas: without quotas, with one balancer, or with a number outside the fleet, nothing divides by zero
// and requests are placed.
func TestWithoutUsableQuotas(t *testing.T) {
	for _, c := range []struct {
		peers, me int
		quota     float64
	}{{1, 0, 0}, {1, 0, 5}, {80, 99, 5}, {3, 1, 0}} {
		cfg := settings()
		cfg.Instance, cfg.Instances = c.me, c.peers
		cfg.Tenants = []Tenant{{Name: "t", RateQuota: c.quota}}
		es := fleet(3)
		es[0].StartedAt = 99 * sec
		f := start(t, cfg, es...)
		for i := 0; i < 50; i++ {
			f.b.RequestArrived(f.now, Request{ID: fmt.Sprint(i), Tenant: 0, Returned: i%2 == 0, Remaining: 2 * sec})
			f.establish(fmt.Sprint(i))
			f.now += 50 * ms
		}
		if len(f.attemptsStarted) < 40 {
			t.Errorf("%+v: %d of 50 requests sent", c, len(f.attemptsStarted))
		}
	}
}

// TestOneStalledConnectionShedsLittle: a balancer whose only connection is on a stalled host must not shed most of
// what comes, with ten hosts idle, nor go on with it because any other host is stalled.
func TestOneStalledConnectionShedsLittle(t *testing.T) {
	cfg := settings()
	cfg.Instances, cfg.Zones = 80, []string{"a"}
	f := start(t, cfg, fleet(11)...)
	f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
	f.b.Observe(f.now, "o", 0, ObservedLoad, 40000)
	for i := 0; i < 3; i++ {
		f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
		f.run(sec)
	}
	if f.b.shedding.share > 0.6 {
		t.Errorf("rejects %.2f of what comes for one connection of its own, with ten of eleven hosts idle", f.b.shedding.share)
	}
	f.b.Observe(f.now, "o", 0, ObservedLatency, 1)
	f.b.shedding.share = 0.9
	for i := 0; i < 10; i++ {
		f.b.PeerMessageReceived(f.now, 1, stallgossip.Append(nil, stallgossip.Record{Host: uint32(stableHash("s05")), Delay: 3})) // another host stalls, far from here
		f.run(sec)
	}
	if f.b.shedding.share > 0.2 {
		t.Errorf("still rejects %.2f after 10 s in which one host of eleven was stalled", f.b.shedding.share)
	}
}

// TestShedRequestMayGoToWarmingHost: what load shedding rejects takes part in the lottery, whose chances count it:
// else warming hosts get a part of their budget just when the warm ones are overloaded.
func TestShedRequestMayGoToWarmingHost(t *testing.T) {
	f := manyBalancers(t, 80, 3)[0]
	up := f.now - 8*sec
	f.b.ListReceived(f.now, ListDelta, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, StartedAt: up}})
	cold, warm := 0, 0
	for i := 0; i < 3000; i++ {
		f.b.shedding.share = 1 // what rank draws is below
		from, id := len(f.attemptsStarted), fmt.Sprintf("q%d", i)
		f.b.traffic.retries.Sum = 0
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Returned: true, Remaining: 4800 * ms})
		if len(f.attemptsStarted) == from {
			if f.answers[id] != 1 {
				t.Fatalf("%s has neither an attempt nor its answer at once", id)
			}
			continue
		}
		if f.last().host == "s03" {
			cold++
		} else {
			warm++
		}
		f.establish(id)
		f.end(id, Cancelled)
		f.b.hosts[3].slowStart.tokens = 0
	}
	if warm > 0 || cold == 0 || cold > 600 {
		t.Errorf("%d sent to the warming host, %d to the others", cold, warm)
	}
	t.Logf("%d of 3000 to the warming host", cold)
}
