package balancer

import "math"

// The smooth weighted rotation over the pool, and what a server's share of turns is.

// pick is the smooth weighted rotation over the available pool; if that is empty, over all that may be sent
// to.
func (b *Balancer) pick(r *request) *server {
	cost := b.turns(r)
	if b.among = b.ages(r); b.among != anyAge {
		s := b.rotate(r, cost, false)
		if b.among = anyAge; s != nil {
			return s
		}
	}
	if s := b.rotate(r, cost, false); s != nil {
		return s
	}
	return b.rotate(r, cost, true)
}

// ages tells among which servers a request is placed first: those that have started lately, if they hold less
// than their part of what is held from here, else those before them. Where traffic is thin that tells nothing
// of one server, but something of all of an age: each balancer keeps to the part by chance, and so all do.
func (b *Balancer) ages(r *request) int {
	if b.reports() || !b.thin() {
		return anyAge
	}
	var load, room [3]float64
	for _, s := range b.servers {
		if s.state == Ready {
			a := b.age(s)
			load[a] += s.load
			room[a] += s.weight * b.warmth(s)
		}
	}
	if room[newer] == 0 {
		return anyAge
	}
	all, luck := load[newer]+load[older]+r.cost, float64(hash(r.ID)%1024)/1024
	if load[newer]+luck*r.cost < all*room[newer]/(room[newer]+room[older]) {
		return newer
	}
	return older
}

// passes tells whether a server is not of the age that is looked among. A cold one has its own budget.
func (b *Balancer) passes(s *server) bool {
	return b.among != anyAge && b.age(s) != b.among && (b.among == newer || b.warmth(s) >= 1)
}

func (b *Balancer) rotate(r *request, cost float64, all bool) *server {
	total, widest, top := 0.0, 0.0, math.Inf(-1)
	pool := b.scratch[:0]
	if b.reports() {
		for _, s := range b.servers {
			s.x = b.loaded(s)
		}
		if r.Group != "" {
			b.homes(r.Group)
		}
	}
	for _, s := range b.servers {
		if !b.mayTake(s, r, cost) || !all && !b.available(s, r) || r.spare && b.warmth(s) >= 1 {
			continue
		}
		s.eff = b.turnWeight(s)
		total += s.eff
		widest = max(widest, s.eff)
		pool = append(pool, s)
	}
	b.scratch = pool
	for _, s := range pool {
		s.lag += cost * s.eff / total
		top = max(top, s.lag)
	}
	// Within the slack the order is open: the server with the least load from here, for its weight, goes
	// first.
	var best *server
	least, thin := math.Inf(1), b.thin()
	for _, s := range pool {
		if b.warmth(s) < 1 {
			// A cold server's turn comes with its budget. In the rotation all newcomers would stand at the
			// same place at every balancer, and wait there for half a round of many sparse rotations.
			s.lag = top
		}
		reach, size := slack*s.eff/widest, s.eff
		if thin && s.zone%areas == b.zone%areas {
			reach, size = 2*slack, s.weight
		}
		if b.reports() {
			reach *= slackTold
		}
		if s.lag < top-reach {
			continue
		}
		// Load as held, not as it would be: else all balancers begin with the same large servers.
		l := (s.load + b.strange(s, r, thin)) / size
		if b.full > 0 {
			l = s.x + (cost+b.strange(s, r, thin)/max(1, b.meanCost))/b.full
		}
		if s.lucky {
			l = -1 / (1 + l + float64(hash(r.ID+s.id)%1024)/1e6) // lots first, by load and then by the draw
		}
		if l < least || l == least && s.lag > best.lag {
			best, least = s, l
		}
	}
	if best != nil {
		best.lag -= cost
	}
	return best
}

// mayTake holds what no fallback sets aside: drains, groups that discard repeats, the cold budget.
func (b *Balancer) mayTake(s *server, r *request, cost float64) bool {
	if s.state != Ready || b.passes(s) {
		return false // nothing new to a draining or gone server: at once, well within the grace
	}
	if r.ranOn != nil {
		switch c := &b.cfg.Classes[r.Class]; {
		case c.Idempotency != IdempotentWithKey || c.DedupScope == ScopeAll:
		case c.DedupScope == ScopeZone && s.zone != r.ranOn.zone,
			c.DedupScope == ScopeCell && s.cell != r.ranOn.cell:
			return false
		}
	}
	return b.coldAllows(s, r, cost)
}

// turnWeight is a server's share of turns: the list's weight, less for a crossing that costs, for a cold
// server, and for one seen slow or failing.
func (b *Balancer) turnWeight(s *server) float64 {
	w := s.weight
	if s.zone != b.zone {
		far := 1 / (1 + zoneBias*b.cfg.Prices.CrossZone)
		w *= far + (1-far)*b.spill
	}
	if f := b.warmth(s); f < 1 {
		w *= min(1, coldSafety*b.cfg.SlowStartOverloadFactor*f)
	}
	if b.reports() {
		w *= max(minHealth, roomTop-s.x) // the share of its turns that its load leaves it
	}
	health := 1 - b.illness(s)
	if x := b.slowness(s) / slowAt; x > 0 {
		health /= 1 + x*x
	}
	return w * max(minHealth, health)
}

func (b *Balancer) illness(s *server) float64 {
	if s.ill == 0 {
		return 0
	}
	return s.ill * math.Exp(-float64(b.now-s.illAt)/float64(b.qInit+1))
}

// slowness is the last message delay told, over the shortest aim; it fades once no news comes.
func (b *Balancer) slowness(s *server) float64 {
	if s.delay < slowAt {
		return 0
	}
	const news = 1.5e9 // notes come once a second while there is something to tell
	return s.delay * math.Exp(-max(0, float64(b.now-s.delayAt)-news)/1e9)
}
