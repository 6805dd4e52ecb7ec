package balancer

import "math"

// What load reports tell, where servers tell their load to those who probe: whom to probe and when, how
// loaded a server is now, and what follows for its turns.

// reports tells whether servers can be asked how loaded they are.
func (b *Balancer) reports() bool { return b.cfg.MayHealthCheck && b.cfg.LoadField >= 0 }

// probe asks each server again once its last word is older than another is worth at its price: the more
// requests there are to be placed by it, the sooner.
func (b *Balancer) probe() {
	b.fx.Schedule(max(b.cfg.Tick, probeStep), "probe")
	b.survey()
	b.fadeRate()
	rate := max(leastRate, b.rate, b.fresh/b.rateTau())
	all := float64(len(b.servers)) * b.cfg.Prices.HealthCheck
	every := max(probeLeast, Time(1e9*all/(probeSpend*rate)))
	for _, s := range b.servers {
		due := every
		if s.told.LastReport() == 0 {
			due = probeLeast // it may begin to tell only once it is asked
		}
		if s.state == Ready && !s.probing && b.now-s.probedAt >= due && b.now >= s.until {
			// Spread, else all balancers' probes reach a server together.
			s.probing, s.probedAt = true, b.now-Time(float64(every)*0.2*b.rng.Float64())
			b.fx.HealthCheck(s.id)
		}
	}
}

// HealthCheckEnded takes a probe's result. One that fails tells nothing of the server's load, and what was
// known fades.
func (b *Balancer) HealthCheckEnded(now Time, id string, status AttemptStatus, elapsed Time, load []float64) {
	b.tick(now)
	if s := b.byID[id]; s != nil {
		s.probing = false
		if status == OK {
			b.reported(s, load)
		}
	}
}

// reported takes a load report.
func (b *Balancer) reported(s *server, load []float64) {
	i, j := b.cfg.LoadField, b.cfg.QueueField
	if i < 0 || i >= len(load) {
		return
	}
	queue := 0.0
	if j >= 0 && j < len(load) {
		queue = load[j]
	}
	s.told.Report(b.now, load[i], queue)
	b.relieve(s)
}

// placed notes load that no report holds yet, in mean connections. The other balancers have the same reports
// and place by them too: somewhere between nothing and as much each.
func (b *Balancer) placed(s *server, turns float64) {
	s.told.AddLoad(b.now, turns*math.Sqrt(float64(b.cfg.Instances)))
}

// relieve moves some connections off a server that has more than it can do, where others have room. Each
// balancer moves by chance a part of its own, since all are told the same.
func (b *Balancer) relieve(s *server) {
	x := b.loaded(s)
	if x < movesAt || b.usualLoad > movesUnder || b.usualLoad == 0 {
		return
	}
	over := min(mostMoved, (x-movesTo)/x)
	for _, r := range s.conns {
		if !r.moved && b.rng.Float64() < over {
			r.moved = true
			b.fx.Migrate(r.ID)
		}
	}
}
