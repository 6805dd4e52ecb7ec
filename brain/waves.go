package brain

import "math"

// How many connections come: fresh ones, and those that come again all together; and when sends wait.

// count keeps the rate at which connections end by themselves: in the long run that at which fresh ones
// come, but free of every repeat. Clients that come again unmarked would raise the cold budget just when it
// matters.
func (b *Brain) count(r *request) {
	b.fadeRate()
	b.rate += b.turns(r) / b.rateTau()
}

func (b *Brain) rateTau() float64 {
	tau := float64(max(b.cfg.WarmUp, b.qInit)) / 1e9
	return min(tau, max(2, float64(b.now-b.started)/1e9))
}

func (b *Brain) fadeRate() {
	if b.now == b.rateAt {
		return
	}
	f := math.Exp(-float64(b.now-b.rateAt) / 1e9 / b.rateTau())
	b.rate, b.fresh, b.rateAt = b.rate*f, b.fresh*f, b.now
}

// comesAgain tells whether a request is one of a wave, not a fresh one.
func (r *request) comesAgain() bool { return r.Repeat || r.Returned }

// arrives counts a try as a fresh one or one of a wave.
func (b *Brain) arrives(r *request) {
	b.fadeRate()
	b.again.add(b.now, b.cfg.Fall, 0)
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
func (b *Brain) flow(r *request) float64 {
	peers := float64(b.cfg.Peers)
	if !r.comesAgain() {
		return peers * b.believe(b.fresh, b.rateTau(), b.usual)
	}
	// A wave: what one server holds comes back together, or all that drain.
	b.left.add(b.now, 2*b.cfg.Fall, 0)
	part := max(1/float64(max(1, len(b.servers))), b.left.n/max(b.fleet, 1))
	fall := float64(b.cfg.Fall) / 1e9
	return peers * b.believe(b.again.n, fall, part*b.standing/peers/fall)
}

// believe is the rate behind n events in a time, where so many a second were expected before any was seen; 0:
// none known.
func (b *Brain) believe(n, seconds, expected float64) float64 {
	if expected <= 0 {
		return (n + 1) / seconds
	}
	return (n + 1) / (seconds + 1/expected)
}

// crowded tells whether a send waits: attempts of late exceed twice those that stood. Failed connects count
// in neither: they cost the servers nothing and say nothing of the store.
func (b *Brain) crowded() bool {
	f := math.Exp(-float64(b.now-b.triedAt) / float64(8*b.aimLong))
	b.tried, b.stood, b.triedAt = b.tried*f, b.stood*f, b.now
	return b.failing(3)
}

// turnedAway tells whether the first attempts of the last two requests ended in errors, wherever they went.
func (b *Brain) turnedAway() bool { return b.errors > 1 && b.now-b.erredAt < 2*b.aimLong }

// failing tells whether attempts of late exceed twice those that stood by more than some leave.
func (b *Brain) failing(leave float64) bool { return b.tried > b.stood/sharedPart+leave }
