package balancer

import (
	"math"

	"croftlock/internal/balancer/rendezvous"
)

// A warming host is one in slow start: its capacity grows with the time since its start, and it
// fails if it is sent too many connections. Each balancer has a budget for the host, a token bucket.
// Budget that balancers without requests cannot use is given to the requests of others by lottery.

// slowStartShareFactor multiplies the share of all connections that a warming host gets by its
// present capacity. A host at full load serves about 2.5 times what an average host gets.
const slowStartShareFactor = 2.5

// Fractions of a warming host's unused budget that are given out by lottery. They are below 1
// because the number of winners varies.
const (
	lotteryFreshShare = 0.85 // to fresh requests, those that are no retries
	lotteryRetryShare = 0.5  // to retries, many of which come at the same time
	// lotteryOtherZoneFactor multiplies the fraction for hosts in other zones. The factor for hosts in
	// the balancer's own zone is 2 - lotteryOtherZoneFactor. If there is only one zone, it is 1.
	lotteryOtherZoneFactor = 0.75
)

// slowStartBudget is the token bucket of a warming host at one balancer.
type slowStartBudget struct {
	tokens   float64 // in mean connections
	filledAt Time    // when tokens were last added
}

// fullCapacityShare returns the fraction of its full capacity, 0 to 1, that a host is certain to have
// now. The fraction grows linearly from Config.SlowStartFloor to 1 within Config.SlowStartDuration of
// the host's start. It is below 1 only if the host is warming.
func (b *Balancer) fullCapacityShare(h *host) float64 {
	duration := b.cfg.SlowStartDuration
	if h.startedAt == 0 || duration <= 0 || b.now >= h.startedAt+duration {
		return 1
	}
	age := max(0, float64(b.now-h.startedAt)/float64(duration))
	return b.cfg.SlowStartFloor + (1-b.cfg.SlowStartFloor)*age
}

// slowStartShare returns the fraction of the fresh connections of all balancers that a warming host
// may get. It can be above 1.
func (b *Balancer) slowStartShare(h *host) float64 {
	return slowStartShareFactor * b.cfg.SlowStartOverloadFactor * b.fullCapacityShare(h) * h.weight /
		max(b.traffic.fleetWeight, h.weight)
}

// slowStartRate returns how many mean connections per second this balancer may place at a warming
// host. Each balancer keeps to its own part of what the host may get, so that all balancers together
// do not exceed it.
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

// slowStartStagger returns the number of tokens, 0 to 1, with which a host's budget starts. It
// differs between balancers: with the same number, all of them would send their first connection at
// the same moment.
func (b *Balancer) slowStartStagger(h *host) float64 {
	_, fill := math.Modf(float64(h.hash%1024)/1024 + float64(b.cfg.Instance)/float64(b.cfg.Instances))
	return fill
}

// slowStartAllows reports whether a warming host's budget allows the connection of r now, and whether
// it does so only because r won the lottery. turns is the connection's cost in mean connections.
// slowStartAllows adds the host's tokens up to now, and spends none. Tokens that are not used within
// Config.SlowStartOverloadWindow are lost: otherwise many balancers with little traffic would save
// theirs, and a wave of retries would spend them all at once. The lost tokens are given out by
// lottery instead.
func (b *Balancer) slowStartAllows(h *host, r *request, turns float64) (allowed, byLottery bool) {
	if r.ledger.budgetsCounted && r.attempts == 0 {
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

// spendSlowStartTokens subtracts the turns of an attempt, in mean connections, from a warming host's
// budget. If the bucket holds less than one token, the attempt was allowed by lottery or by the
// ledger server and costs no tokens. spendSlowStartTokens has no effect on other hosts.
func (b *Balancer) spendSlowStartTokens(h *host, turns float64) {
	if b.fullCapacityShare(h) < 1 && h.slowStart.tokens >= 1 {
		h.slowStart.tokens -= turns
	}
}

// winsLottery reports whether a request is placed at a warming host by chance. The chance is such
// that the requests of all balancers together use the part of the host's budget that is lost at
// balancers without requests. If each of many balancers gets one request per half a minute, nearly
// all of the budget is lost. A hash of request and host decides, so that a second call does not give
// the request a second chance.
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
	const resolution = 1 << 20 // number of hash values by which chances are distinguished
	return float64(rendezvous.Hash(r.ID+h.hostID)%resolution) < chance*resolution
}

// lotteryShare returns the fraction of a warming host's lost budget that requests like r may use.
// ok is false if r may not use any. A group (connections that Request.Group names) is accepted only
// by the half of a zone's warming hosts that comes first in its rendezvous order: each host that
// accepts it bears the cost of the group and has little capacity yet.
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
