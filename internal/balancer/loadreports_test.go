package balancer

import (
	"fmt"
	"strings"
	"testing"
)

// startReporting starts a balancer whose hosts report their load to health checks.
func startReporting(t *testing.T, cfg Config, servers ...ListedHost) *fake {
	cfg.MayHealthCheck, cfg.LoadField, cfg.QueueField = true, 0, 1
	cfg.Prices.HealthCheck = 0.0016
	cfg.Tenants = []Tenant{{Name: "t", RateQuota: 10, ConnectionQuota: 80 * float64(len(servers))}}
	return start(t, cfg, servers...)
}

// reportLoads has every host report a load.
func (f *fake) reportLoads(x func(i int) float64) {
	for i, s := range f.b.hosts {
		f.b.HealthCheckEnded(f.now, s.hostID, OK, []float64{x(i), 0})
	}
	f.b.updateFleetLoad()
}

func (f *fake) healthChecks(id string) (n int) {
	for _, s := range f.trace {
		if strings.HasPrefix(s, "probe "+id) {
			n++
		}
	}
	return n
}

// Health checks go to hosts that take new connections, one at a time to each, and nowhere where the settings forbid them
// or reports tell no load.
func TestWhichHostsAreHealthChecked(t *testing.T) {
	es := fleet(3)
	es[1].State, es[2].State = Draining, Suspended
	f := startReporting(t, settings(), es...)
	f.request("r")
	f.run(5 * sec)
	if f.healthChecks("s00") != 1 || f.healthChecks("s01")+f.healthChecks("s02") != 0 {
		t.Errorf("%d to a ready one that never answers, %d and %d to ones that take nothing", f.healthChecks("s00"), f.healthChecks("s01"), f.healthChecks("s02"))
	}
	f.b.HealthCheckEnded(f.now, "s00", Timeout, nil)
	f.run(5 * sec)
	if f.healthChecks("s00") != 2 {
		t.Error("a probe that failed ends probing")
	}
	for what, spoil := range map[string]func(*Config){
		"forbidden":  func(c *Config) { c.MayHealthCheck = false },
		"no reports": func(c *Config) { c.MayHealthCheck, c.LoadField = true, -1 },
	} {
		cfg := settings()
		spoil(&cfg)
		g := start(t, cfg, fleet(3)...)
		g.request("r")
		g.run(10 * sec)
		if g.healthChecks("s") > 0 {
			t.Errorf("%s: %d probes", what, g.healthChecks("s"))
		}
	}
}

// Health checks are paced by their price: with little to place, each costs more than its report is worth.
func TestHealthChecksArePacedByPrice(t *testing.T) {
	count := func(rate int, price float64) int {
		f := startReporting(t, settings(), fleet(10)...)
		f.b.cfg.Prices.HealthCheck = price
		for i := range 30 * rate {
			id := fmt.Sprint("r", i)
			f.request(id)
			f.establish(id)
			f.run(sec / Time(rate))
			for _, s := range f.b.hosts {
				f.b.HealthCheckEnded(f.now, s.hostID, OK, []float64{0.5, 0})
			}
		}
		return f.healthChecks("s")
	}
	busy, quiet, dear := count(20, 0.0016), count(2, 0.0016), count(2, 0.016)
	if busy < 3*quiet/2 || quiet < 2*dear {
		t.Errorf("%d probes with 20 requests a second, %d with 2, %d where one costs ten times as much", busy, quiet, dear)
	}
}

// A host slowed nine times still answers health checks: its reports take its turns away, and clients are migrated off it
// while others have spare capacity.
func TestConnectionsMigrateFromFullHost(t *testing.T) {
	f := startReporting(t, settings(), fleet(5)...)
	f.reportLoads(func(int) float64 { return 0.4 })
	for i := range 100 {
		id := fmt.Sprint("o", i)
		f.request(id)
		f.establish(id)
	}
	bad := f.b.byID["s02"]
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
	for _, s := range f.attemptsStarted[before:] {
		if s.host == bad.hostID {
			t.Error("a new connection goes to a host that tells three times what it can do")
		}
	}
	if len(f.migrations) == 0 {
		t.Error("nobody is moved off it")
	}
}

// With the whole fleet full, migrations help nobody.
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
		t.Errorf("%d moved", len(f.migrations))
	}
}

// After a restart a balancer holds nothing of what its hosts carry: that must not make each connection that it places
// look like a load that fills one.
func TestRestartedBalancerKnowsFullLoad(t *testing.T) {
	cfg := settings()
	cfg.Instances = 3
	f := startReporting(t, cfg, fleet(5)...)
	f.reportLoads(func(int) float64 { return 0.6 })
	f.b.costs.learn(0, 1000)
	f.request("a")
	f.establish("a")
	f.now += 250 * ms
	for i := range 50 {
		f.reportLoads(func(int) float64 { return 0.6 + float64(i)/1e4 })
	}
	if x := f.b.currentLoad(f.b.byID[f.last().host]); x > 0.7 {
		t.Errorf("%.2f: one connection of some 500 filled a host at 0.6", x)
	}
	if len(f.migrations) > 0 {
		t.Error("and is moved off it again")
	}
}

// Weights that fall as a host fills come late and alike to all: a host that looks empty by them must not draw every
// balancer, where its load is reported.
func TestReportedLoadOutweighsWeights(t *testing.T) {
	to := map[string]int{}
	for me := range 3 {
		cfg := settings()
		cfg.Instance, cfg.Instances = me, 3
		es := fleet(6)
		es[0].Weight = 5
		f := startReporting(t, cfg, es...)
		f.reportLoads(func(i int) float64 { return 0.6 })
		for i := range 20 {
			id := fmt.Sprint("r", i)
			f.request(id)
			f.establish(id)
			to[f.last().host]++
		}
	}
	if to["s00"] > 20 {
		t.Errorf("%d of 60 to the host that looks empty by its weight, at the same load as five others", to["s00"])
	}
}

// Every mixture of what settings allow: each request gets its one answer, no health check or message is sent that may not be.
func TestWhateverSettingsAllow(t *testing.T) {
	for bits := range 16 {
		cfg := settings()
		cfg.Instances, cfg.MayHealthCheck, cfg.MayGossip, cfg.LoadField = 1+2*(bits&1), bits&2 > 0, bits&4 > 0, 0
		if bits&8 > 0 {
			cfg.LoadField = -1
		}
		f := start(t, cfg, fleet(3)...)
		for i := range 60 {
			id := fmt.Sprint("r", i)
			f.request(id)
			if f.inFlight[id] {
				f.establish(id)
				f.b.Observe(f.now, id, 0, ObservedLatency, 500) // all stalled: something to tell
			}
			f.run(200 * ms)
		}
		f.run(3 * sec)
		for i := range 60 {
			id := fmt.Sprint("r", i)
			if !f.inFlight[id] && f.answers[id] != 1 {
				t.Errorf("settings %04b: %s has %d answers and no attempt", bits, id, f.answers[id])
			}
		}
		if f.healthChecks("s") > 0 != (cfg.MayHealthCheck && cfg.LoadField >= 0) {
			t.Errorf("settings %04b: %d probes", bits, f.healthChecks("s"))
		}
		if len(f.peerMessages) > 0 != (cfg.MayGossip && cfg.Instances > 1) {
			t.Errorf("settings %04b: %d messages", bits, len(f.peerMessages))
		}
	}
}
