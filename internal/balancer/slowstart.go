package balancer

import (
	"math"

	"croftlock/internal/balancer/rendezvous"
)

// slowStartShareFactor is how many times its share by present capacity a warming host may get: a host at full
// load bears about 2.5 times what an average one gets.
const slowStartShareFactor = 2.5

// Parts of a warming host's budget that are given out by lottery. Not all is: the draws vary.
const (
	lotteryFreshShare = 0.85 // to fresh requests
	lotteryRetryShare = 0.5  // to retries, which come together
	lotteryFarShare   = 0.75 // factor for a host of another zone; those of the own get as much more
)

// slowStartBudget is the budget of a warming host at one balancer, in mean connections.
type slowStartBudget struct {
	tokens   float64
	filledAt Time
}

// fullCapacityShare is the part of its capacity that a host surely has by now, 0 to 1.
func (b *Balancer) fullCapacityShare(h *host) float64 {
	duration := b.cfg.SlowStartDuration
	if h.startedAt == 0 || duration <= 0 || b.now >= h.startedAt+duration {
		return 1
	}
	age := max(0, float64(b.now-h.startedAt)/float64(duration))
	return b.cfg.SlowStartFloor + (1-b.cfg.SlowStartFloor)*age
}

// slowStartShare is the part of all fresh connections that a warming host may get.
func (b *Balancer) slowStartShare(h *host) float64 {
	return slowStartShareFactor * b.cfg.SlowStartOverloadFactor * b.fullCapacityShare(h) * h.weight /
		max(b.traffic.fleetWeight, h.weight)
}

// slowStartRate is how many mean connections a second this balancer may place at a warming host. Each
// balancer keeps to its own part, so that all together keep to the host's budget.
func (b *Balancer) slowStartRate(h *host) float64 {
	t := &b.traffic
	t.fade(b.now)
	rate := t.endRate
	if t.expectedRate > 0 {
		window := t.window(b.now)
		rate = estimateRate(t.endRate*window, window, t.expectedRate)
	}
	return b.slowStartShare(h) * rate
}

// slowStartStagger gives each balancer another fill of a host's first token, 0 to 1: were all alike, all
// would send their first connection at the same moment.
func (b *Balancer) slowStartStagger(h *host) float64 {
	_, fill := math.Modf(float64(h.hash%1024)/1024 + float64(b.cfg.Instance)/float64(b.cfg.Instances))
	return fill
}

// slowStartAllows reports whether a warming host's budget bears a connection of so many turns now, and
// whether it does so by lottery only. It fills the host's tokens up to now. Tokens that are not used within
// the overload window are lost: else many sparse balancers would keep theirs, and a wave would spend them all
// at once. What is lost so is given out by lottery.
func (b *Balancer) slowStartAllows(h *host, r *request, turns float64) (allowed, byLottery bool) {
	if r.ledger.replied && r.attempts == 0 {
		return false, false // the ledger server has counted what is left
	}
	bucket := &h.slowStart
	rate := b.slowStartRate(h) / 1e9
	bucket.tokens += rate * float64(b.now-bucket.filledAt)
	bucket.filledAt = b.now
	window := float64(b.cfg.SlowStartOverloadWindow)
	if capacity := 1 + rate*window; bucket.tokens > capacity {
		bucket.tokens = math.Mod(bucket.tokens, capacity)
	}
	if turns > max(2, rate*float64(b.cfg.Instances)*window) {
		return false, false // too large for the host, whichever balancer places it
	}
	if bucket.tokens >= 1 {
		return true, false
	}
	drawn := b.drawnByLottery(h, r)
	return drawn, drawn
}

// spendSlowStartTokens takes the turns of an attempt from a warming host's budget. One that came by lottery
// costs none.
func (b *Balancer) spendSlowStartTokens(h *host, turns float64) {
	if b.fullCapacityShare(h) < 1 && h.slowStart.tokens >= 1 {
		h.slowStart.tokens -= turns
	}
}

// drawnByLottery gives a request a chance at a warming host, such that the requests of all balancers together
// use the part of its budget that is lost at balancers without requests. With a request in half a minute at
// each of many balancers that is nearly all of it. The draw belongs to request and host, so that a second
// call does not draw again.
func (b *Balancer) drawnByLottery(h *host, r *request) bool {
	if r.similarPerSecond <= 0 {
		return false
	}
	share, ok := b.lotteryShare(h, r)
	if !ok {
		return false
	}
	t := &b.traffic
	seconds := float64(b.cfg.SlowStartOverloadWindow) / 1e9
	// The chance that no request comes to this balancer within the window.
	unused := math.Exp(-(t.freshRequests/t.window(b.now) + t.retries.Sum/seconds) * seconds)
	rate := b.slowStartRate(h)
	if t.expectedRate <= 0 {
		// Without quotas: fresh requests as seen here, and at least as many as give the host, within its slow
		// start, as many connections as others of its size hold.
		establishedRate := float64(b.establishedConnections) * 1e9 / float64(b.cfg.SlowStartDuration)
		rate = b.slowStartShare(h) * max(estimateRate(t.freshRequests, t.window(b.now), 0), establishedRate)
	}
	chance := share * unused * rate * float64(b.cfg.Instances) / r.similarPerSecond
	const draws = 1 << 20
	return float64(rendezvous.Hash(r.ID+h.hostID)%draws) < chance*draws
}

// lotteryShare is the part of a warming host's lost budget that requests like this one may use; false: none.
// Half of a zone's warming hosts take a group, since each pays for it and bears little as yet.
func (b *Balancer) lotteryShare(h *host, r *request) (share float64, ok bool) {
	share = lotteryFreshShare
	if r.isRetry() {
		share = lotteryRetryShare
	}
	if len(b.zones) > 1 {
		if h.zone == b.ownZone {
			share *= 2 - lotteryFarShare
		} else {
			share *= lotteryFarShare
		}
	}
	if r.Group == "" {
		return share, true
	}
	warming, place := 0, 0
	for _, i := range b.rendezvousOrder(r.Group) {
		if o := b.hosts[i]; o.zone == h.zone && b.fullCapacityShare(o) < 1 {
			warming++
			if o == h {
				place = warming
			}
		}
	}
	taking := (warming + 1) / 2
	return share * (float64(warming) / float64(taking)), place <= taking
}
