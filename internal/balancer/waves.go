package balancer

import "math"

// How many connections come: fresh ones, and those that come again all together; and when sends wait.

// comesAgain tells whether a request is one of a wave, not a fresh one.
func (r *request) comesAgain() bool { return r.Retry || r.Returned }

// crowded tells whether a send waits: attempts of late exceed twice those that stood. Failed connects count
// in neither: they cost the servers nothing and say nothing of the store.
func (b *Balancer) crowded() bool {
	f := math.Exp(-float64(b.now-b.triedAt) / float64(8*b.aimLong))
	b.tried, b.stood, b.triedAt = b.tried*f, b.stood*f, b.now
	return b.failing(3)
}

// turnedAway tells whether the first attempts of the last two requests ended in errors, wherever they went.
func (b *Balancer) turnedAway() bool { return b.errors > 1 && b.now-b.erredAt < 2*b.aimLong }

// failing tells whether attempts of late exceed twice those that stood by more than some leave.
func (b *Balancer) failing(leave float64) bool { return b.tried > b.stood/sharedPart+leave }
