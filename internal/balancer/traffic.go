package balancer

import (
	"math"

	"croftlock/internal/balancer/decay"
)

// usualQuotaShare is the part of the tenants' quotas that is used on a usual day.
const usualQuotaShare = 0.4

// minRateWindow is the shortest time over which arrivals are counted, in seconds.
const minRateWindow = 2

// traffic estimates how many connections come: fresh ones, and those that come back together as a wave. Where
// one balancer of many sees little traffic, the estimates rely on the quotas.
type traffic struct {
	instances      float64
	maxWindow      Time // longest time over which rates are counted
	overloadWindow Time // in which a wave counts

	observedSince  Time    // the first event; -1: there was none
	endRate        float64 // connections that end by themselves a second, in mean connections
	freshRequests  float64 // first attempts within the rate window
	fadedAt        Time    // of endRate and fresh
	retries        decay.Counter
	departedWeight decay.Counter // of hosts that have begun to send their clients away

	expectedRate        float64 // fresh connections a second here, by the quotas; 0: there are none
	expectedConnections float64 // open connections at all balancers, by the quotas

	fleetWeight      float64
	fleetWeightAt    Time
	fleetWeightDecay Time // time constant with which the weight sinks
}

func newTraffic(cfg *Config, ejectionInitial Time) traffic {
	t := traffic{instances: float64(cfg.Instances), maxWindow: max(cfg.SlowStartDuration, ejectionInitial),
		overloadWindow: cfg.SlowStartOverloadWindow, observedSince: -1,
		fleetWeightDecay: 2*cfg.SlowStartDuration + 1}
	for _, tenant := range cfg.Tenants {
		t.expectedRate += usualQuotaShare * tenant.RateQuota / float64(cfg.Instances)
		t.expectedConnections += usualQuotaShare * tenant.ConnectionQuota
	}
	return t
}

// window is the time over which rates are counted, in seconds.
func (t *traffic) window(now Time) float64 {
	return min(float64(t.maxWindow)/1e9, max(minRateWindow, float64(now-t.observedSince)/1e9))
}

// fade ages the rates to now.
func (t *traffic) fade(now Time) {
	if now == t.fadedAt {
		return
	}
	f := math.Exp(-float64(now-t.fadedAt) / 1e9 / t.window(now))
	t.endRate, t.freshRequests, t.fadedAt = t.endRate*f, t.freshRequests*f, now
}

// connectionEnded counts a connection that ended by itself. In the long run as many end as fresh ones come,
// but no retry counts: clients that come back unmarked would raise the budgets of warming hosts just when
// these matter.
func (t *traffic) connectionEnded(now Time, turns float64) {
	t.fade(now)
	t.endRate += turns / t.window(now)
}

// arrived counts a request, and returns how many like it come a second at all balancers.
func (t *traffic) arrived(now Time, isRetry bool, hosts int) float64 {
	t.fade(now)
	t.retries.Add(now, t.overloadWindow, 0)
	if !isRetry {
		rate := t.instances * estimateRate(t.freshRequests, t.window(now), t.expectedRate)
		t.freshRequests++
		return rate
	}
	rate := t.waveRate(now, hosts)
	t.retries.Sum++
	return rate
}

// waveRate is how many connections a second a wave brings to all balancers: what one host holds comes back
// together, or what all draining ones hold.
func (t *traffic) waveRate(now Time, hosts int) float64 {
	t.departedWeight.Add(now, 2*t.overloadWindow, 0)
	part := max(1/float64(max(1, hosts)), t.departedWeight.Sum/max(t.fleetWeight, 1))
	seconds := float64(t.overloadWindow) / 1e9
	expected := part * t.expectedConnections / t.instances / seconds
	return t.instances * estimateRate(t.retries.Sum, seconds, expected)
}

// hostDeparted counts a host that has begun to send its clients away.
func (t *traffic) hostDeparted(now Time, weight float64) {
	t.departedWeight.Add(now, 2*t.overloadWindow, weight)
}

// updateFleetWeight keeps the weight of the fleet to which the rates belong. It sinks slowly, since a fleet
// that has just lost a zone still sees the ends of connections that all of it bore.
func (t *traffic) updateFleetWeight(now Time, weight float64) {
	f := math.Exp(-float64(now-t.fleetWeightAt) / float64(t.fleetWeightDecay))
	t.fleetWeight, t.fleetWeightAt = max(weight, t.fleetWeight*f+weight*(1-f)), now
}

// estimateRate is the rate a second behind n events in a time, where so many a second were expected before
// any was seen; expected 0: unknown.
func estimateRate(n, seconds, expected float64) float64 {
	if expected <= 0 {
		return (n + 1) / seconds
	}
	return (n + 1) / (seconds + 1/expected)
}

// updateFleetWeight returns the weight of the ready hosts.
func (b *Balancer) updateFleetWeight() float64 {
	total := 0.0
	for _, h := range b.hosts {
		if h.state == Ready {
			total += h.weight
		}
	}
	b.traffic.updateFleetWeight(b.now, total)
	return total
}

// sparseTraffic reports whether a balancer holds less than one connection a host, by the quotas if there are
// any: its own turns and loads then say little of the fleet's.
func (b *Balancer) sparseTraffic() bool {
	if b.traffic.expectedConnections > 0 {
		return b.traffic.expectedConnections < float64(b.cfg.Instances*len(b.hosts))
	}
	return b.establishedConnections < len(b.hosts)
}
