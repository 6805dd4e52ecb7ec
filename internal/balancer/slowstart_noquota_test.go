package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// Fleets whose settings name no tenants, so that no quota says how many connections come: what each balancer makes of the
// little that it sees.

// manyWithoutQuotas are n balancers without quotas, part of them just started, before a fleet of 80 hosts.
func manyWithoutQuotas(t *testing.T, n int, seed int64) []*fake {
	t.Helper()
	all := manyBalancers(t, n, seed)
	for me := range all {
		cfg := all[me].b.cfg
		cfg.Tenants, cfg.SlowStartDuration, cfg.SlowStartOverloadWindow, cfg.SlowStartOverloadFactor, cfg.SlowStartFloor = nil, 9*sec, sec, 3, 0.31
		all[me] = start(t, cfg, fleet(80)...)
		all[me].b.rng = rand.New(rand.NewSource(seed*1000 + int64(me)))
	}
	return all
}

// Without quotas the lottery goes by what is seen and held: a warming host has to get its part from processes too that have just
// started.
func TestWarmingHostsAreUsedWithoutQuotas(t *testing.T) {
	const cold, flow = warmingHosts, unquotedFlow
	for _, c := range []struct {
		n   int
		new float64
	}{{1, 0}, {3, 0}, {30, 0.5}, {300, 0}, {300, 0.5}, {300, 1}} {
		_, sent, later := startWarming(t, c.n, c.new, 1)
		total, most := 0, 0
		for _, at := range sent {
			total, most = total+len(at), max(most, within(at, sec))
		}
		// What the settings allow each: three times its warmth of what a host bears, here 2.5 times the mean flow.
		allowed := 0.0
		for s := 0.0; s < 9; s++ {
			allowed += cold * 3 * (0.31 + 0.69*(s+0.5)/9) * 2.5 * flow / 80
		}
		t.Logf("%3d balancers, %3.0f%% new: %d of %d to warming hosts, allowed %.0f; most in a second to one %d",
			c.n, 100*c.new, total, len(later), allowed, most)
		if fair := float64(len(later)) * cold / 80; float64(total) < fair/3 {
			t.Errorf("%d balancers, %.0f%% new: %d connections to the warming hosts, %.0f would be their part", c.n, 100*c.new, total, fair)
		}
		// 600 connections are open, 7.5 at a host: at least 0.83 a second fill it within its slow start, and a full one holds 2.5 times
		// as many. Three times that at its first capacity is 1.9: chance may bring three times the root of it and three more.
		if most > 9 {
			t.Errorf("%d balancers, %.0f%% new: %d connections within a second at one warming host", c.n, 100*c.new, most)
		}
	}
}

const (
	warmingHosts = 30   // of 80 have just started
	unquotedFlow = 40.0 // requests a second
)

// startWarming has hosts start under balancers, a part of which are new as well. It returns when each of these hosts was sent something in
// its slow start, and when requests came.
func startWarming(t *testing.T, n int, restarted float64, seed int64) (up Time, sent map[string][]Time, later []Time) {
	t.Helper()
	rng := rand.New(rand.NewSource(seed + 6))
	all, young := manyWithoutQuotas(t, n, seed), manyWithoutQuotas(t, n, seed+1)
	at := 100 * sec
	step := func() Time { return Time(rng.ExpFloat64() / unquotedFlow * 1e9) }
	var before []Time
	for ; at < 130*sec; at += step() {
		before = append(before, at)
	}
	replayEnds(all, rng, before)
	for i := range all {
		if rng.Float64() < restarted {
			all[i] = young[i]
		}
	}
	for _, f := range all {
		var es []ListedHost
		for i := 0; i < warmingHosts; i++ {
			es = append(es, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1, StartedAt: at})
		}
		f.now = max(f.now, at)
		f.b.ListReceived(f.now, ListDelta, es)
	}
	for up = at; at < up+9*sec; at += step() {
		later = append(later, at)
	}
	sent = map[string][]Time{}
	for i, now := range later {
		f := all[rng.Intn(len(all))]
		f.run(now - f.now)
		id, from := fmt.Sprintf("l-%d", i), len(f.attemptsStarted)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		for _, s := range f.attemptsStarted[from:] {
			f.establish(s.request)
			if s.host < fmt.Sprintf("s%02d", warmingHosts) {
				sent[s.host] = append(sent[s.host], now)
			}
		}
	}
	return up, sent, later
}

// replayEnds gives requests at moments to balancers by chance; each stands at once and ends by itself 15 s later.
func replayEnds(all []*fake, rng *rand.Rand, at []Time) {
	type open struct {
		f     *fake
		id    string
		until Time
	}
	var up []open
	for i, now := range at {
		for len(up) > 0 && up[0].until <= now {
			o := up[0]
			up = up[1:]
			o.f.run(o.until - o.f.now)
			o.f.end(o.id, OK)
		}
		f := all[rng.Intn(len(all))]
		f.run(now - f.now)
		id := fmt.Sprintf("e-%d", i)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		if f.inFlight[id] {
			f.establish(id)
			up = append(up, open{f, id, now + 15*sec})
		}
	}
}
