package balancer

import (
	"fmt"
	"testing"
)

// startReporting returns a fake as start does, with settings by which hosts report their load and
// queue length in health checks, and with one tenant of 10 requests per second and 80 connections
// per host.
func startReporting(t testing.TB, cfg Config, hosts ...ListedHost) *fake {
	t.Helper()
	cfg.MayHealthCheck, cfg.LoadField, cfg.QueueField = true, 0, 1
	cfg.Prices.HealthCheck = 0.0016
	cfg.Tenants = []Tenant{{Name: "t", RateQuota: 10, ConnectionQuota: 80 * float64(len(hosts))}}
	return start(t, cfg, hosts...)
}

// reportLoads makes each host report the load, 1 for a full host, that the function returns for the
// host's index in Balancer.hosts.
func (f *fake) reportLoads(load func(i int) float64) {
	for i, h := range f.b.hosts {
		f.b.HealthCheckEnded(f.now, h.hostID, OK, []float64{load(i), 0})
	}
	f.b.updateFleetLoad()
}

// healthChecks returns the number of health checks of a host that were started.
func (f *fake) healthChecks(host string) (n int) {
	for _, h := range f.healthChecked {
		if h == host {
			n++
		}
	}
	return n
}

// TestWhichHostsAreHealthChecked checks that only hosts that accept new connections are health
// checked, one check at a time for each.
func TestWhichHostsAreHealthChecked(t *testing.T) {
	hosts := fleet(3)
	hosts[1].State, hosts[2].State = Draining, Suspended
	f := startReporting(t, settings(), hosts...)
	f.request("r")
	f.run(5 * sec)
	if n := f.healthChecks("s00"); n != 1 {
		t.Errorf("%d health checks of a ready host that never answers, expected 1", n)
	}
	if draining, suspended := f.healthChecks("s01"), f.healthChecks("s02"); draining+suspended != 0 {
		t.Errorf("%d health checks of a draining host, %d of a suspended one, expected none", draining, suspended)
	}
	f.b.HealthCheckEnded(f.now, "s00", Timeout, nil)
	f.run(5 * sec)
	if f.healthChecks("s00") != 2 {
		t.Errorf("%d health checks of s00 after one that failed, expected 2", f.healthChecks("s00"))
	}
}

// TestNoHealthChecksWithoutUse checks that no health checks are made if the settings forbid them or
// reports contain no load.
func TestNoHealthChecksWithoutUse(t *testing.T) {
	for name, modify := range map[string]func(*Config){
		"forbidden":  func(c *Config) { c.MayHealthCheck = false },
		"no reports": func(c *Config) { c.MayHealthCheck, c.LoadField = true, -1 },
	} {
		cfg := settings()
		modify(&cfg)
		f := start(t, cfg, fleet(3)...)
		f.request("r")
		f.run(10 * sec)
		if n := len(f.healthChecked); n > 0 {
			t.Errorf("%s: %d health checks, expected none", name, n)
		}
	}
}

// TestHealthChecksArePacedByPrice checks that health checks are less frequent if few requests
// arrive or if checks are expensive: then a check costs more than its report saves.
func TestHealthChecksArePacedByPrice(t *testing.T) {
	// count returns the number of health checks in 30 s with the given requests per second and price
	// of a check.
	count := func(rate int, price float64) int {
		f := startReporting(t, settings(), fleet(10)...)
		f.b.cfg.Prices.HealthCheck = price
		for i := range 30 * rate {
			id := fmt.Sprint("r", i)
			f.request(id)
			f.establish(id)
			f.run(sec / Time(rate))
			for _, h := range f.b.hosts {
				f.b.HealthCheckEnded(f.now, h.hostID, OK, []float64{0.5, 0})
			}
		}
		return len(f.healthChecked)
	}
	busy, quiet, expensive := count(20, 0.0016), count(2, 0.0016), count(2, 0.016)
	if busy < 3*quiet/2 || quiet < 2*expensive {
		t.Errorf("%d health checks with 20 requests a second, expected 1.5 times the %d with 2; "+
			"and that at least twice the %d at ten times the price", busy, quiet, expensive)
	}
}

// TestConnectionsMigrateFromFullHost checks that a host that reports three times its capacity gets no
// more requests, and that connections migrate off it while other hosts have spare capacity. A host
// that has become slow still answers health checks, so its load reports show that it is full.
func TestConnectionsMigrateFromFullHost(t *testing.T) {
	f := startReporting(t, settings(), fleet(5)...)
	f.reportLoads(func(int) float64 { return 0.4 })
	for i := range 100 {
		id := fmt.Sprint("o", i)
		f.request(id)
		f.establish(id)
	}
	before := len(f.attemptsStarted)
	f.now += 3 * sec
	for range 20 {
		f.now += sec / 2
		f.reportLoads(func(i int) float64 {
			if i == 2 {
				return 3 + float64(f.now%1e9)/1e12
			}
			return 0.4 + float64(f.now%1e9)/1e12
		})
		id := fmt.Sprint("n", f.now)
		f.request(id)
		f.establish(id)
	}
	if n := f.attemptsAt("s02", before); n > 0 {
		t.Errorf("%d attempts at s02, which reports three times its capacity, expected none", n)
	}
	if len(f.migrations) == 0 {
		t.Error("0 connections migrated off s02, which reports three times its capacity, expected some")
	}
}

// TestNoMigrationsInFullFleet checks that no connection migrates if all hosts are full, since no
// host could take it.
func TestNoMigrationsInFullFleet(t *testing.T) {
	f := startReporting(t, settings(), fleet(5)...)
	for i := range 50 {
		f.request(fmt.Sprint("o", i))
		f.establish(fmt.Sprint("o", i))
	}
	for k := range 10 {
		f.now += sec
		f.reportLoads(func(int) float64 { return 1.2 + float64(k)/1000 })
	}
	if len(f.migrations) > 0 {
		t.Errorf("%d migrations in a fleet of full hosts, expected none", len(f.migrations))
	}
}

// TestRestartedBalancerKnowsFullLoad checks the load estimate of a restarted balancer, which holds
// none of the connections that its hosts carry. The first connection that it places must not count
// as a load that fills a host.
func TestRestartedBalancerKnowsFullLoad(t *testing.T) {
	cfg := settings()
	cfg.Instances = 3
	f := startReporting(t, cfg, fleet(5)...)
	f.reportLoads(func(int) float64 { return 0.6 })
	f.b.costs.addSample(0, 1000)
	f.request("a")
	f.establish("a")
	f.now += 250 * ms
	for i := range 50 {
		f.reportLoads(func(int) float64 { return 0.6 + float64(i)/1e4 })
	}
	if load := f.b.currentLoad(f.b.byID[f.lastAttempt().host]); load > 0.7 {
		t.Errorf("load %.2f: one connection of about 500 filled a host at 0.6, expected at most 0.7", load)
	}
	if len(f.migrations) > 0 {
		t.Errorf("requests %v migrated, expected none", f.migrations)
	}
}

// TestReportedLoadOutweighsWeights checks that a host with a large weight in the endpoint list does
// not get all requests if its reported load is that of the others. The discovery service may lower
// the weight of a host as the host fills, but all balancers receive such a weight late and at the
// same time.
func TestReportedLoadOutweighsWeights(t *testing.T) {
	attempts := 0
	for instance := range 3 {
		cfg := settings()
		cfg.Instance, cfg.Instances = instance, 3
		hosts := fleet(6)
		hosts[0].Weight = 5
		f := startReporting(t, cfg, hosts...)
		f.reportLoads(func(i int) float64 { return 0.6 })
		for i := range 20 {
			id := fmt.Sprint("r", i)
			f.request(id)
			f.establish(id)
		}
		attempts += f.attemptsAt("s00", 0)
	}
	if attempts > 20 {
		t.Errorf("%d of 60 attempts at the host with the largest weight, at the same load as five others, "+
			"expected at most 20", attempts)
	}
}

// TestEachCombinationOfSettings checks that each request gets one final answer, and that health
// checks are made and messages sent only if the settings allow them.
func TestEachCombinationOfSettings(t *testing.T) {
	for bits := range 16 {
		cfg := settings()
		cfg.Instances, cfg.LoadField = 1+2*(bits&1), 0
		cfg.MayHealthCheck, cfg.MayGossip = bits&2 > 0, bits&4 > 0
		if bits&8 > 0 {
			cfg.LoadField = -1
		}
		f := start(t, cfg, fleet(3)...)
		for i := range 60 {
			id := fmt.Sprint("r", i)
			f.request(id)
			if f.inFlight[id] {
				f.establish(id)
				f.b.Observe(f.now, id, 0, ObservedLatency, 500) // all hosts stall
			}
			f.run(200 * ms)
		}
		f.run(3 * sec)
		for i := range 60 {
			id := fmt.Sprint("r", i)
			if !f.inFlight[id] && f.answers[id] != 1 {
				t.Errorf("settings %04b: %s has %d answers and no attempt in flight, expected 1 answer",
					bits, id, f.answers[id])
			}
		}
		if n := len(f.healthChecked); n > 0 != (cfg.MayHealthCheck && cfg.LoadField >= 0) {
			t.Errorf("settings %04b: %d health checks with MayHealthCheck %t and LoadField %d, "+
				"expected some only if both allow them", bits, n, cfg.MayHealthCheck, cfg.LoadField)
		}
		if len(f.peerMessages) > 0 != (cfg.MayGossip && cfg.Instances > 1) {
			t.Errorf("settings %04b: %d messages to peers with MayGossip %t and %d balancers, "+
				"expected some only if gossip is allowed and there are peers", bits, len(f.peerMessages), cfg.MayGossip, cfg.Instances)
		}
	}
}
