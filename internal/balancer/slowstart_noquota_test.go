package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// In the tests of this file there are no tenants and thus no quotas from which to derive the number
// of connections. Each balancer estimates the number from the few requests that it sees. A warming
// host is one in slow start.

const (
	noQuotaHosts       = 80
	warmingHosts       = 30   // how many of the noQuotaHosts have just started
	noQuotaRequestRate = 40.0 // requests per second
)

// manyBalancersWithoutQuotas returns n balancers without quotas and with noQuotaHosts hosts. Slow
// start takes 9 s. The clocks are at 100 s, and seed determines the random numbers.
func manyBalancersWithoutQuotas(t *testing.T, n int, seed int64) []*fake {
	t.Helper()
	balancers := manyBalancers(t, n, seed)
	for instance, f := range balancers {
		cfg := f.b.cfg
		cfg.Tenants = nil
		cfg.SlowStartFloor, cfg.SlowStartDuration = 0.31, 9*sec
		cfg.SlowStartOverloadFactor, cfg.SlowStartOverloadWindow = 3, sec
		balancers[instance] = start(t, cfg, fleet(noQuotaHosts)...)
		balancers[instance].b.rng = rand.New(rand.NewSource(seed*1000 + int64(instance)))
	}
	return balancers
}

// TestWarmingHostsAreUsedWithoutQuotas checks that warming hosts get connections within their
// budget although there are no quotas. The lottery then depends on the requests that a balancer has
// seen and the connections that it holds, which are few after a restart of the balancer.
func TestWarmingHostsAreUsedWithoutQuotas(t *testing.T) {
	for _, c := range []struct {
		balancers int
		restarted float64 // fraction of the balancers that have just restarted
	}{{1, 0}, {3, 0}, {30, 0.5}, {300, 0}, {300, 0.5}, {300, 1}} {
		_, attempts, arrivals := startWarming(t, c.balancers, c.restarted, 1)
		total, most := 0, 0
		for _, at := range attempts {
			total, most = total+len(at), max(most, maxInWindow(at, sec))
		}
		// The settings allow each warming host three times its share of the capacity of a host,
		// which is 2.5 times the mean request rate here.
		allowed := 0.0
		for s := 0.0; s < 9; s++ {
			allowed += warmingHosts * 3 * (0.31 + 0.69*(s+0.5)/9) * 2.5 * noQuotaRequestRate / noQuotaHosts
		}
		name := fmt.Sprintf("%d balancers, %.0f%% restarted", c.balancers, 100*c.restarted)
		t.Logf("%s: %d of %d requests to warming hosts, allowed %.0f; at one at most %d in a second",
			name, total, len(arrivals), allowed, most)
		if even := float64(len(arrivals)) * warmingHosts / noQuotaHosts; float64(total) < even/3 {
			t.Errorf("%s: %d connections to the warming hosts, want at least a third of an even share of %.0f",
				name, total, even)
		}
		// 600 connections are open, 7.5 per host. At least 0.83 per second fill a host within its
		// slow start, and a full host holds 2.5 times as many. Three times that at the initial
		// capacity is 1.9 per second. Three times the square root of this and three more may come
		// by chance.
		if most > 9 {
			t.Errorf("%s: %d connections within a second at one warming host, want at most 9", name, most)
		}
	}
}

// startWarming starts warmingHosts hosts while n balancers serve requests. restarted is the
// fraction of balancers that restart just before. startWarming returns the time up at which the hosts
// started, and for the 9 s of their slow start the times of attempts at each of them, by host ID, and
// the times at which requests arrived.
func startWarming(t *testing.T, n int, restarted float64, seed int64) (
	up Time, attempts map[string][]Time, arrivals []Time) {
	t.Helper()
	rng := rand.New(rand.NewSource(seed + 6))
	balancers, restartedBalancers := manyBalancersWithoutQuotas(t, n, seed), manyBalancersWithoutQuotas(t, n, seed+1)
	at := 100 * sec
	// pause returns a random time between two requests.
	pause := func() Time { return Time(rng.ExpFloat64() / noQuotaRequestRate * 1e9) }
	var before []Time
	for ; at < 130*sec; at += pause() {
		before = append(before, at)
	}
	replayWithEnds(balancers, rng, before)
	for i := range balancers {
		if rng.Float64() < restarted {
			balancers[i] = restartedBalancers[i]
		}
	}
	var changes []ListedHost
	for i := range warmingHosts {
		changes = append(changes, warming(hostID(i), at))
	}
	for _, f := range balancers {
		f.now = max(f.now, at)
		f.listChanged(changes...)
	}
	for up = at; at < up+9*sec; at += pause() {
		arrivals = append(arrivals, at)
	}
	attempts = map[string][]Time{}
	for i, now := range arrivals {
		f := balancers[rng.Intn(len(balancers))]
		f.run(now - f.now)
		id, from := fmt.Sprintf("l-%d", i), len(f.attemptsStarted)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		for _, a := range f.attemptsStarted[from:] {
			f.establish(a.request)
			if a.host < hostID(warmingHosts) {
				attempts[a.host] = append(attempts[a.host], now)
			}
		}
	}
	return up, attempts, arrivals
}

// replayWithEnds sends requests at the given times to random balancers. Each is established at
// once, and its connection ends by itself 15 s later.
func replayWithEnds(balancers []*fake, rng *rand.Rand, at []Time) {
	type connection struct {
		f     *fake
		id    string
		until Time
	}
	var open []connection
	for i, now := range at {
		for len(open) > 0 && open[0].until <= now {
			c := open[0]
			open = open[1:]
			c.f.run(c.until - c.f.now)
			c.f.end(c.id, OK)
		}
		f := balancers[rng.Intn(len(balancers))]
		f.run(now - f.now)
		id := fmt.Sprintf("e-%d", i)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		if f.inFlight[id] {
			f.establish(id)
			open = append(open, connection{f, id, now + 15*sec})
		}
	}
}
