package balancer

import "math"

// What a balancer has seen of requests and connections: what they ask for, how many come, how long set-ups take.
// Nothing is decided here.

const anyAge, newer, older = 0, 1, 2

// take begins to keep a request; nil where its id is known already or its class is not.
func (b *Balancer) take(q Request) *request {
	if b.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(b.cfg.Classes) {
		return nil
	}
	if q.Tenant < 0 || q.Tenant >= len(b.tenants) {
		q.Tenant = -1
	}
	r := &request{Request: q, cost: b.price(&q)}
	b.requests[q.ID] = r
	return r
}

// price is a connection's expected load, raw; the mean over all makes it turns.
func (b *Balancer) price(q *Request) float64 {
	c := q.ExpectedLoad
	if c <= 0 {
		c = b.classCost[q.Class]
	}
	if c <= 0 {
		c = b.meanCost
	}
	if c <= 0 {
		return 1
	}
	if q.ExpectedLoad > 0 {
		b.learn(q.Class, c)
	}
	return c
}

func (b *Balancer) learn(class int, c float64) {
	if b.classCost[class] == 0 {
		b.classCost[class] = c
	}
	b.classCost[class] += (c - b.classCost[class]) / 32
	if b.meanCost == 0 {
		b.meanCost = c
	}
	b.meanCost += (c - b.meanCost) / 64
}

func (b *Balancer) turns(r *request) float64 {
	if b.meanCost <= 0 {
		return 1
	}
	return min(8, max(0.125, r.cost/b.meanCost))
}

func (b *Balancer) sample(t float64) {
	if b.setups == 0 {
		b.setup, b.setupDev = t, t/2
	}
	b.setups++
	b.sampled = b.now
	d := t - b.setup
	b.setup += d / 8
	b.setupDev += (math.Abs(d) - b.setupDev) / 4
}

// fade halves recent evidence about every longest aim.
func (b *Balancer) fade() {
	f := math.Exp(-float64(b.now-b.fadeAt) / float64(2*b.aimLong))
	b.good, b.bad, b.fadeAt = b.good*f, b.bad*f, b.now
}

// count keeps the rate at which connections end by themselves: in the long run that at which fresh ones
// come, but free of every repeat. Clients that come again unmarked would raise the cold budget just when it
// matters.
func (b *Balancer) count(r *request) {
	b.fadeRate()
	b.rate += b.turns(r) / b.rateTau()
}

func (b *Balancer) rateTau() float64 {
	tau := float64(max(b.cfg.SlowStartDuration, b.qInit)) / 1e9
	return min(tau, max(2, float64(b.now-b.started)/1e9))
}

func (b *Balancer) fadeRate() {
	if b.now == b.rateAt {
		return
	}
	f := math.Exp(-float64(b.now-b.rateAt) / 1e9 / b.rateTau())
	b.rate, b.fresh, b.rateAt = b.rate*f, b.fresh*f, b.now
}

// arrives counts a try as a fresh one or one of a wave.
func (b *Balancer) arrives(r *request) {
	b.fadeRate()
	b.again.add(b.now, b.cfg.SlowStartOverloadWindow, 0)
	r.flow = b.flow(r)
	if r.comesAgain() {
		b.again.n++
	} else {
		b.fresh++
	}
}

// flow is how many connections like this one come a second, all balancers together: what was seen here, and
// where that is little, what the settings let expect. One balancer of many sees a request in half a minute,
// and of a wave one or none: what it has counted alone would be nothing or far too much.
func (b *Balancer) flow(r *request) float64 {
	peers := float64(b.cfg.Instances)
	if !r.comesAgain() {
		return peers * b.believe(b.fresh, b.rateTau(), b.usual)
	}
	// A wave: what one server holds comes back together, or all that drain.
	b.left.add(b.now, 2*b.cfg.SlowStartOverloadWindow, 0)
	part := max(1/float64(max(1, len(b.servers))), b.left.n/max(b.fleet, 1))
	fall := float64(b.cfg.SlowStartOverloadWindow) / 1e9
	return peers * b.believe(b.again.n, fall, part*b.standing/peers/fall)
}

// believe is the rate behind n events in a time, where so many a second were expected before any was seen; 0:
// none known.
func (b *Balancer) believe(n, seconds, expected float64) float64 {
	if expected <= 0 {
		return (n + 1) / seconds
	}
	return (n + 1) / (seconds + 1/expected)
}

// age tells servers that have started lately from those before them.
func (b *Balancer) age(s *server) int {
	if s.since > 0 && b.now < s.since+youngFor*b.cfg.SlowStartDuration {
		return newer
	}
	return older
}

// measure keeps the weight of the fleet that the rate belongs to: it sinks slowly, since a fleet that has
// just lost a zone still sees the ends of connections that the whole one bore. It gives the weight as it is
// now.
func (b *Balancer) measure() float64 {
	total := 0.0
	for _, s := range b.servers {
		if s.state == Ready {
			total += s.weight
		}
	}
	f := math.Exp(-float64(b.now-b.fleetAt) / float64(2*b.cfg.SlowStartDuration+1))
	b.fleet, b.fleetAt = max(total, b.fleet*f+total*(1-f)), b.now
	return total
}

// survey takes in how loaded the fleet is, and how many mean connections fill one server. The tenants'
// quotas, in sum, are most of what the fleet can hold; where there are none, all balancers' connections, of
// which this one holds its part, make up the sum of what the servers tell.
func (b *Balancer) survey() {
	own, sum, told, all := 0.0, 0.0, 0.0, 0.0
	for _, s := range b.servers {
		if s.state != Removed {
			all++
		}
		if s.state == Ready && s.told.Known(b.now) {
			own += s.load
			sum += s.told.Load(b.now, 0, 0)
			told++
		}
	}
	if told > 0 {
		b.usualLoad = sum / told
	}
	if b.standing > 0 {
		b.full = b.standing / usualPart / quotaPart / max(1, all)
	} else if own > 0 && sum > 0 {
		b.full = own / b.meanCost * float64(b.cfg.Instances) / sum
	}
}

// loaded is how loaded a server is now; 1 is full.
func (b *Balancer) loaded(s *server) float64 { return s.told.Load(b.now, b.full, b.usualLoad) }
