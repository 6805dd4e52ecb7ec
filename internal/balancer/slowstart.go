package balancer

import (
	"math"

	"croftlock/internal/balancer/rendezvous"
)

// slowStartShareFactor is how many times its share by present capacity a warming host may get. A
// host at full load serves about 2.5 times what an average host gets.
const slowStartShareFactor = 2.5

// Fractions of a warming host's budget that are given out by lottery. They are below 1 because the
// number of winners varies.
const (
	lotteryFreshShare      = 0.85 // to fresh requests
	lotteryRetryShare      = 0.5  // to retries, which come together
	lotteryOtherZoneFactor = 0.75 // factor for hosts in other zones; 2 minus this in the own zone
)

// slowStartBudget is the token bucket of a warming host at one balancer.
type slowStartBudget struct {
	tokens   float64 // mean connections
	filledAt Time    // when tokens were last added
}

// fullCapacityShare returns the fraction of its capacity, 0 to 1, that a host is certain to have by
// now. It returns 1 if the host is not warming.
func (b *Balancer) fullCapacityShare(h *host) float64 {
	duration := b.cfg.SlowStartDuration
	if h.startedAt == 0 || duration <= 0 || b.now >= h.startedAt+duration {
		return 1
	}
	age := max(0, float64(b.now-h.startedAt)/float64(duration))
	return b.cfg.SlowStartFloor + (1-b.cfg.SlowStartFloor)*age
}

// slowStartShare returns the fraction of all fresh connections that a warming host may get.
func (b *Balancer) slowStartShare(h *host) float64 {
	return slowStartShareFactor * b.cfg.SlowStartOverloadFactor * b.fullCapacityShare(h) * h.weight /
		max(b.traffic.fleetWeight, h.weight)
}

// slowStartRate returns how many mean connections per second this balancer may place at a warming
// host. Each balancer keeps to its own part of the host's budget, so that all together keep to it.
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

// slowStartStagger returns the tokens, 0 to 1, with which a host's budget starts. They differ
// between balancers: with the same tokens, all would send their first connection at the same
// moment.
func (b *Balancer) slowStartStagger(h *host) float64 {
	_, fill := math.Modf(float64(h.hash%1024)/1024 + float64(b.cfg.Instance)/float64(b.cfg.Instances))
	return fill
}

// slowStartAllows reports whether a warming host's budget allows a connection of the given turns
// now, and whether it does so by lottery only. It adds the host's tokens up to now. Tokens that are
// not used within the overload window are lost: otherwise many balancers with little traffic would
// save theirs, and a wave would spend them all at once. The lost tokens are given out by lottery
// instead.
func (b *Balancer) slowStartAllows(h *host, r *request, turns float64) (allowed, byLottery bool) {
	if r.ledger.replied && r.attempts == 0 {
		return false, false // the ledger server has already considered the budget that is left
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
	won := b.winsLottery(h, r)
	return won, won
}

// spendSlowStartTokens subtracts the turns of an attempt from a warming host's budget. An attempt
// that was allowed by lottery costs no tokens.
func (b *Balancer) spendSlowStartTokens(h *host, turns float64) {
	if b.fullCapacityShare(h) < 1 && h.slowStart.tokens >= 1 {
		h.slowStart.tokens -= turns
	}
}

// winsLottery reports whether a request is placed at a warming host by chance. The chance is such
// that the requests of all balancers together use the part of the host's budget that is lost at
// balancers without requests. With one request per half a minute at each of many balancers, that is
// nearly all of it. A hash of request and host decides, so that a second call does not give the
// request a second chance.
func (b *Balancer) winsLottery(h *host, r *request) bool {
	if r.similarPerSecond <= 0 {
		return false
	}
	share, ok := b.lotteryShare(h, r)
	if !ok {
		return false
	}
	t := &b.traffic
	seconds := float64(b.cfg.SlowStartOverloadWindow) / 1e9
	// unused is the probability that no request comes to this balancer within the window.
	unused := math.Exp(-(t.freshRequests/t.window(b.now) + t.retries.Sum/seconds) * seconds)
	rate := b.slowStartRate(h)
	if t.expectedRate <= 0 {
		// Without quotas, the rate is that of the fresh requests seen by this balancer, and at
		// least the one that gives the host, within its slow start, as many connections as other
		// hosts of its size hold.
		establishedRate := float64(b.establishedConnections) * 1e9 / float64(b.cfg.SlowStartDuration)
		rate = b.slowStartShare(h) * max(estimateRate(t.freshRequests, t.window(b.now), 0), establishedRate)
	}
	chance := share * unused * rate * float64(b.cfg.Instances) / r.similarPerSecond
	const resolution = 1 << 20
	return float64(rendezvous.Hash(r.ID+h.hostID)%resolution) < chance*resolution
}

// lotteryShare returns the fraction of a warming host's lost budget that requests like r may use.
// ok is false if r may not use any. Half of a zone's warming hosts accept a group, since each of
// them bears the cost of the group and has little capacity yet.
func (b *Balancer) lotteryShare(h *host, r *request) (share float64, ok bool) {
	share = lotteryFreshShare
	if r.isRetry() {
		share = lotteryRetryShare
	}
	if len(b.zones) > 1 {
		if h.zone == b.ownZone {
			share *= 2 - lotteryOtherZoneFactor
		} else {
			share *= lotteryOtherZoneFactor
		}
	}
	if r.Group == "" {
		return share, true
	}
	warming, position := 0, 0
	for _, i := range b.rendezvousOrder(r.Group) {
		if other := b.hosts[i]; other.zone == h.zone && b.fullCapacityShare(other) < 1 {
			warming++
			if other == h {
				position = warming
			}
		}
	}
	accepting := (warming + 1) / 2
	return share * (float64(warming) / float64(accepting)), position <= accepting
}
