package balancer

import "math"

// Servers that have just started: their budget, kept by all balancers together.

// warmth is the share of its capacity that a server surely has by now.
func (b *Balancer) warmth(s *server) float64 {
	if s.since == 0 || b.cfg.SlowStartDuration <= 0 || b.now >= s.since+b.cfg.SlowStartDuration {
		return 1
	}
	age := max(0, float64(b.now-s.since)/float64(b.cfg.SlowStartDuration))
	return b.cfg.SlowStartFloor + (1-b.cfg.SlowStartFloor)*age
}

// coldRate is what this balancer may send to a cold server a second, in mean connections: the multiple of
// its present share of what an average warm server gets from here. Each balancer keeping to its own part,
// all keep to the whole.
func (b *Balancer) coldRate(s *server) float64 {
	b.fadeRate()
	rate := b.rate
	if b.usual > 0 {
		rate = b.believe(b.rate*b.rateTau(), b.rateTau(), b.usual)
	}
	return b.budget(s) * rate
}

// budget is a cold server's part of the rate at which fresh connections come.
func (b *Balancer) budget(s *server) float64 {
	return coldSafety * b.cfg.SlowStartOverloadFactor * b.warmth(s) * s.weight / max(b.fleet, s.weight)
}

// coldAllows tells whether the cold budget bears a connection now. A budget that has ripened is lost unless
// it is used within the rule's window: else many sparse balancers keep theirs, and a wave spends them all
// at once. What is lost so is given out by lot.
func (b *Balancer) coldAllows(s *server, r *request, cost float64) bool {
	s.lucky = false
	if b.warmth(s) >= 1 {
		return true
	}
	if r.booked && r.attempts == 0 {
		return false // whoever keeps the book has counted what is left
	}
	rate := b.coldRate(s) / 1e9
	s.tokens += rate * float64(b.now-s.tokensAt)
	s.tokensAt = b.now
	if ripe := 1 + rate*float64(b.cfg.SlowStartOverloadWindow); s.tokens > ripe {
		s.tokens = math.Mod(s.tokens, ripe)
	}
	if cost > max(2, rate*float64(b.cfg.Instances)*float64(b.cfg.SlowStartOverloadWindow)) {
		return false
	}
	s.lucky = s.tokens < 1 && b.lot(s, r)
	return s.tokens >= 1 || s.lucky
}

// lot gives a request a chance at a cold server, such that all balancers' requests together use the part of
// its budget that ripened where nobody came for it. With a request in half a minute at each of eighty
// balancers that is nearly all: the server would stand empty while the others carry its part. The draw
// belongs to request and server, so that asking again does not draw again.
func (b *Balancer) lot(s *server, r *request) bool {
	if r.flow <= 0 {
		return false
	}
	luck := freshLuck
	if r.comesAgain() {
		luck = waveLuck
	}
	if len(b.zones) > 1 {
		if s.zone == b.zone {
			luck *= 2 - farLuck
		} else {
			luck *= farLuck
		}
	}
	if r.Group != "" {
		// Half of a zone's cold servers take a group: each pays for it, and bears little as yet.
		cold, before := 0, 0
		for _, i := range b.order(r.Group) {
			if o := b.servers[i]; o.zone == s.zone && b.warmth(o) < 1 {
				cold++
				if o == s {
					before = cold
				}
			}
		}
		take := (cold + 1) / 2
		if before > take {
			return false
		}
		luck *= float64(cold) / float64(take)
	}
	seconds := float64(b.cfg.SlowStartOverloadWindow) / 1e9
	unused := math.Exp(-(b.fresh/b.rateTau() + b.again.n/seconds) * seconds)
	rate := b.coldRate(s)
	if b.usual <= 0 {
		// No quotas tell how many come: fresh ones as seen here, as flow has it of those like this one, and
		// at least as many as fill it within its warm-up as others of its size are, which it can take.
		held := float64(b.ups) * 1e9 / float64(b.cfg.SlowStartDuration)
		rate = b.budget(s) * max(b.believe(b.fresh, b.rateTau(), 0), held)
	}
	p := luck * unused * rate * float64(b.cfg.Instances) / r.flow
	return float64(hash(r.ID+s.id)%(1<<20)) < p*(1<<20)
}

func (b *Balancer) spendCold(s *server, cost float64) {
	if b.warmth(s) < 1 && s.tokens >= 1 {
		s.tokens -= cost
	}
}
