package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// manyBalancers returns n balancers for 11 hosts, whose tenant's quota is 5 requests per second in
// total. If n is 80, each balancer gets about one fresh connection per half a minute. Slow start
// takes 23 s. The clocks are at 100 s, and seed determines the random numbers.
func manyBalancers(t *testing.T, n int, seed int64) []*fake {
	t.Helper()
	var balancers []*fake
	for instance := range n {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.Zones = instance, n, []string{"a"}
		cfg.SlowStartFloor, cfg.SlowStartDuration = 0.14, 23*sec
		cfg.SlowStartOverloadFactor, cfg.SlowStartOverloadWindow = 4, 2*sec
		cfg.Classes = []Class{classWith(800*ms, 4800*ms, 150*ms)}
		cfg.Tenants = []Tenant{{Name: "t", RateQuota: 5, ServiceQuota: 1, ConnectionQuota: 240}}
		f := start(t, cfg, fleet(11)...)
		f.b.rng = rand.New(rand.NewSource(seed*1000 + int64(instance)))
		balancers = append(balancers, f)
	}
	return balancers
}

// replay sends requests at the given times to random balancers, and establishes each at once.
// returned is Request.Returned, which marks clients that come back. replay returns the times of the
// attempts at host.
func replay(balancers []*fake, rng *rand.Rand, at []Time, returned bool, host string) []Time {
	var attempts []Time
	for i, now := range at {
		f := balancers[rng.Intn(len(balancers))]
		f.run(now - f.now)
		from, id := len(f.attemptsStarted), fmt.Sprintf("%x-%d", rng.Int63(), i)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Returned: returned, Remaining: 4800 * ms})
		for _, a := range f.attemptsStarted[from:] {
			f.establish(a.request)
			if a.host == host {
				attempts = append(attempts, now)
			}
		}
	}
	return attempts
}

// evenlySpacedTimes returns n times from first on, with the given interval.
func evenlySpacedTimes(n int, first, interval Time) (at []Time) {
	for i := range n {
		at = append(at, first+Time(i)*interval)
	}
	return at
}

// replayWaves sends a wave of 30 returning clients to 80 new balancers for each seed from 1 to seeds.
// It first calls setUp for each balancer. The wave starts 1 s after up and takes 1.2 s. If after is
// not nil, it is called with the balancers after each wave. The test fails if a wave brings more than
// 4 connections to host s03. replayWaves returns the mean number of these connections per wave.
func replayWaves(t *testing.T, seeds int64, up Time, setUp func(f *fake),
	after func(balancers []*fake, rng *rand.Rand)) (mean float64) {
	t.Helper()
	total := 0
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		balancers := manyBalancers(t, 80, seed)
		for _, f := range balancers {
			setUp(f)
			f.now = up
		}
		n := len(replay(balancers, rng, evenlySpacedTimes(30, up+sec, 40*ms), true, "s03"))
		if n > 4 {
			t.Errorf("seed %d: a wave of 30 brought %d connections to s03, want at most 4", seed, n)
		}
		total += n
		if after != nil {
			after(balancers, rng)
		}
	}
	return float64(total) / float64(seeds)
}

// maxInWindow returns the largest number of the given times, in ascending order, that are within any
// period of length window.
func maxInWindow(at []Time, window Time) int {
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

// TestSparseTrafficUsesSlowStartBudget checks that a warming host (one in slow start) gets its share
// of the requests, although the tokens of its budget expire unused at 80 balancers that get one
// request per half a minute each.
func TestSparseTrafficUsesSlowStartBudget(t *testing.T) {
	const seeds = 20
	total, bound := 0, 0.0
	for seed := int64(1); seed <= seeds; seed++ {
		rng := rand.New(rand.NewSource(seed))
		balancers := manyBalancers(t, 80, seed)
		up := 110 * sec
		var arrivals []Time
		for now := 100 * sec; now < 130*sec; now += Time(rng.ExpFloat64() / 2.4 * 1e9) {
			if now > up && now < up+10*sec {
				arrivals = append(arrivals, now)
			}
		}
		restarted := manyBalancers(t, 80, seed+100)
		for i := range balancers {
			if i%2 == 0 { // half of them have just been restarted
				balancers[i] = restarted[i]
			}
			balancers[i].b.ListReceived(up, ListDelta, []ListedHost{warming("s03", up)})
			balancers[i].now = up
		}
		attempts := replay(balancers, rng, arrivals, false, "s03")
		total += len(attempts)
		// The host's budget is 2.1 connections in 2 s at the end of the 10 s. Chance may bring
		// more, but not a wave.
		if n := maxInWindow(attempts, 2*sec); n > 6 {
			t.Errorf("seed %d: %d connections within 2 s at a warming host, want at most 6", seed, n)
		}
	}
	// The host's budget in 10 s is four times its present share of the 5 connections per second of
	// 11 hosts.
	for s := 0.0; s < 10; s++ {
		bound += 4 * (0.14 + 0.86*s/23) * 5.0 / 11
	}
	t.Logf("%.1f connections of %.1f in a warming host's first 10 s", float64(total)/seeds, bound)
	if got := float64(total) / seeds; got < bound/4 || got > bound {
		t.Fatalf("%.1f connections to a warming host in its first 10 s, want %.1f to its budget of %.1f",
			got, bound/4, bound)
	}
}

// waveWarmingBudget is how many connections of a wave fit the budget of a warming host of
// manyBalancers: in the overload window of 2 s, four times 0.19 of 0.45 connections per second.
const waveWarmingBudget = 0.68

// TestWaveSparesWarmingHost checks that a wave of returning clients does not exceed the budget of a
// warming host. The clients of two draining hosts come back at once. No balancer sees that it is a
// wave, since it gets at most about one of them.
func TestWaveSparesWarmingHost(t *testing.T) {
	up := 110 * sec
	mean := replayWaves(t, 30, up, func(f *fake) {
		f.b.ListReceived(up, ListDelta,
			[]ListedHost{warming("s03", up), listed("s04", Draining), listed("s05", Draining)})
	}, nil)
	if mean > waveWarmingBudget {
		t.Fatalf("a wave brings %.2f connections on average to a warming host, want at most its budget of %.2f",
			mean, waveWarmingBudget)
	}
}

// TestWithoutUsableQuotas checks that requests are placed, without a division by zero, if there are
// no quotas, if there is one balancer, or if a balancer's number is not below the number of them.
func TestWithoutUsableQuotas(t *testing.T) {
	for _, c := range []struct {
		instances, instance int
		quota               float64
	}{{1, 0, 0}, {1, 0, 5}, {80, 99, 5}, {3, 1, 0}} { // a quota of 0 means none
		cfg := settings()
		cfg.Instance, cfg.Instances = c.instance, c.instances
		cfg.Tenants = []Tenant{{Name: "t", RateQuota: c.quota}}
		hosts := fleet(3)
		hosts[0].StartedAt = 99 * sec
		f := start(t, cfg, hosts...)
		for i := range 50 {
			id := fmt.Sprint(i)
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Returned: i%2 == 0, Remaining: 2 * sec})
			f.establish(id)
			f.now += 50 * ms
		}
		if len(f.attemptsStarted) < 40 {
			t.Errorf("%+v: %d attempts for 50 requests, want at least 40", c, len(f.attemptsStarted))
		}
	}
}

// TestOneStalledConnectionShedsLittle checks that a balancer whose only connection is on a stalled
// host does not shed most requests while ten hosts are idle, and does not go on shedding because
// another host is stalled.
func TestOneStalledConnectionShedsLittle(t *testing.T) {
	cfg := settings()
	cfg.Instances, cfg.Zones = 80, []string{"a"}
	f := start(t, cfg, fleet(11)...)
	f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
	f.b.Observe(f.now, "o", 0, ObservedLoad, 40000)
	for range 3 {
		f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
		f.run(sec)
	}
	if share := f.b.shedding.share; share > 0.6 {
		t.Errorf("%.2f of the demand shed for one stalled connection with 10 of 11 hosts idle, want at most 0.6",
			share)
	}
	f.b.Observe(f.now, "o", 0, ObservedLatency, 1)
	f.b.shedding.share = 0.9
	for range 10 { // a host at which this balancer has no connections stalls
		f.b.PeerMessageReceived(f.now, 1, stallMessage("s05", 3))
		f.run(sec)
	}
	if share := f.b.shedding.share; share > 0.2 {
		t.Errorf("%.2f of the demand still shed after 10 s with 1 of 11 hosts stalled, want at most 0.2", share)
	}
}

// TestShedRequestMayGoToWarmingHost checks that requests that load shedding would reject take part in
// the lottery for a host in slow start. The chance to win is computed for all requests: without the
// shed ones, warming hosts would get only a part of their budget while the others are overloaded.
func TestShedRequestMayGoToWarmingHost(t *testing.T) {
	f := manyBalancers(t, 80, 3)[0]
	f.listChanged(warming("s03", f.now-8*sec))
	toWarming, toOthers := 0, 0
	for i := range 3000 {
		f.b.shedding.share = 1 // above every priorityRank
		from, id := len(f.attemptsStarted), fmt.Sprintf("q%d", i)
		f.b.traffic.retries.Sum = 0
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Returned: true, Remaining: 4800 * ms})
		if len(f.attemptsStarted) == from {
			if f.answers[id] != 1 {
				t.Fatalf("request %s: no attempt and %d answers, want an attempt or an answer at once", id, f.answers[id])
			}
			continue
		}
		if f.lastAttempt().host == "s03" {
			toWarming++
		} else {
			toOthers++
		}
		f.establish(id)
		f.end(id, Cancelled)
		f.b.hosts[3].slowStart.tokens = 0
	}
	if toOthers > 0 || toWarming == 0 || toWarming > 600 {
		t.Errorf("%d attempts at the warming host, want 1 to 600; %d at the others, want 0", toWarming, toOthers)
	}
	t.Logf("%d of 3000 to the warming host", toWarming)
}
