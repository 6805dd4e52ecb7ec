package balancer

import (
	"math"

	"croftlock/internal/balancer/decay"
)

// usualQuotaShare is the fraction of the tenants' quotas that is in use on a usual day.
const usualQuotaShare = 0.4

// minRateWindow is the shortest time over which rates are measured, in seconds.
const minRateWindow = 2

// traffic estimates the rates of new connections: of fresh ones, and of those that come back
// together as a wave. If each of many balancers observes little traffic, the estimates rely on the
// quotas.
type traffic struct {
	instances      float64
	maxWindow      Time // longest time over which rates are measured
	overloadWindow Time // time over which a wave is counted

	observedSince  Time          // time of the first event; -1 before it
	endRate        float64       // connections that end by themselves, in mean connections per second
	freshRequests  float64       // fading sum of requests that are not retries
	fadedAt        Time          // time of endRate and freshRequests
	retries        decay.Counter // over overloadWindow
	departedWeight decay.Counter // weight of hosts that have begun to send their clients away

	expectedRate        float64 // fresh connections per second here, by the quotas; 0 without quotas
	expectedConnections float64 // open connections at all balancers, by the quotas; 0 without quotas

	fleetWeight      float64
	fleetWeightAt    Time
	fleetWeightDecay Time // time constant with which fleetWeight falls
}

// newTraffic returns estimates without events. ejectionInitial is the duration of a first ejection.
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

// window returns the time over which rates are measured, in seconds.
func (t *traffic) window(now Time) float64 {
	return min(float64(t.maxWindow)/1e9, max(minRateWindow, float64(now-t.observedSince)/1e9))
}

// fade applies the decay of endRate and freshRequests up to now.
func (t *traffic) fade(now Time) {
	if now == t.fadedAt {
		return
	}
	f := math.Exp(-float64(now-t.fadedAt) / 1e9 / t.window(now))
	t.endRate, t.freshRequests, t.fadedAt = t.endRate*f, t.freshRequests*f, now
}

// connectionEnded counts a connection that ended by itself. In the long run as many connections end
// as fresh ones begin. Unlike arrivals, ends do not include retries: clients that come back without
// marking their requests as retries would raise the budgets of warming hosts just when these
// budgets matter most.
func (t *traffic) connectionEnded(now Time, turns float64) {
	t.fade(now)
	t.endRate += turns / t.window(now)
}

// arrived counts a request, and returns the rate per second of similar requests at all balancers.
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

// waveRate returns how many connections per second a wave brings to all balancers. It expects that
// the connections of one host come back together, or those of all draining hosts if these are more.
func (t *traffic) waveRate(now Time, hosts int) float64 {
	t.departedWeight.Add(now, 2*t.overloadWindow, 0)
	share := max(1/float64(max(1, hosts)), t.departedWeight.Sum/max(t.fleetWeight, 1))
	seconds := float64(t.overloadWindow) / 1e9
	expected := share * t.expectedConnections / t.instances / seconds
	return t.instances * estimateRate(t.retries.Sum, seconds, expected)
}

// hostDeparted counts a host that has begun to send its clients away.
func (t *traffic) hostDeparted(now Time, weight float64) {
	t.departedWeight.Add(now, 2*t.overloadWindow, weight)
}

// updateFleetWeight updates the weight of the fleet to which the rates belong. The weight falls
// slowly: after the loss of a zone, connections still end at the rate of the whole earlier fleet.
func (t *traffic) updateFleetWeight(now Time, weight float64) {
	f := math.Exp(-float64(now-t.fleetWeightAt) / float64(t.fleetWeightDecay))
	t.fleetWeight, t.fleetWeightAt = max(weight, t.fleetWeight*f+weight*(1-f)), now
}

// estimateRate estimates a rate per second from n events in the given number of seconds and from
// the rate that was expected before any event. An expected rate of 0 means unknown.
func estimateRate(n, seconds, expected float64) float64 {
	if expected <= 0 {
		return (n + 1) / seconds
	}
	return (n + 1) / (seconds + 1/expected)
}

// updateFleetWeight updates the weight of the fleet, and returns the weight of the ready hosts.
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

// sparseTraffic reports whether a balancer holds less than one connection per host, by the quotas
// if there are any. Its own turns and loads then say little about the fleet.
func (b *Balancer) sparseTraffic() bool {
	if b.traffic.expectedConnections > 0 {
		return b.traffic.expectedConnections < float64(b.cfg.Instances*len(b.hosts))
	}
	return b.establishedConnections < len(b.hosts)
}
