package balancer

import (
	"math"

	"croftlock/internal/balancer/decay"
)

// usualQuotaShare is the fraction of the tenants' quotas that is in use on a usual day.
const usualQuotaShare = 0.4

// minRateWindow is the shortest time over which rates are measured, in seconds, unless
// traffic.maxWindow is shorter.
const minRateWindow = 2

// traffic estimates the rates of new connections: of fresh ones, and of retries, which come back
// together as a wave after a host has lost or sent away its clients. If each of many balancers
// observes little traffic, the estimates rely on the tenants' quotas.
type traffic struct {
	instances      float64 // number of balancers
	maxWindow      Time    // longest time over which rates are measured
	overloadWindow Time    // time constant of the count of retries, Config.SlowStartOverloadWindow

	observedSince  Time          // time of the first event; -1 before it
	endRate        float64       // connections that ended by themselves, in mean connections per second
	freshRequests  float64       // fading sum (with exponential decay) of requests that are not retries
	fadedAt        Time          // time up to which the decay of endRate and freshRequests is applied
	retries        decay.Counter // number of retries, with time constant overloadWindow
	departedWeight decay.Counter // weight of hosts that are no longer ready, over 2*overloadWindow

	expectedRate        float64 // fresh connections per second here, by the quotas; 0 without quotas
	expectedConnections float64 // open connections at all balancers, by the quotas; 0 without quotas

	fleetWeight      float64 // weight of the ready hosts; falls slowly if hosts are lost
	fleetWeightAt    Time    // when fleetWeight was last updated
	fleetWeightDecay Time    // time constant with which fleetWeight falls
}

// newTraffic returns estimates without events. ejectionInitial is the duration of a first ejection;
// rates are measured over that time, or over a slow start if that is longer.
func newTraffic(cfg *Config, ejectionInitial Time) traffic {
	t := traffic{instances: float64(cfg.Instances), maxWindow: max(cfg.SlowStartDuration, ejectionInitial),
		overloadWindow: cfg.SlowStartOverloadWindow, observedSince: -1,
		fleetWeightDecay: 2*cfg.SlowStartDuration + 1} // + 1 avoids a division by zero
	for _, tenant := range cfg.Tenants {
		t.expectedRate += usualQuotaShare * tenant.RateQuota / float64(cfg.Instances)
		t.expectedConnections += usualQuotaShare * tenant.ConnectionQuota
	}
	return t
}

// window returns the time over which rates are measured, in seconds: the time since the first event,
// within its bounds.
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

// connectionEnded counts a connection that ended by itself. turns is its cost in mean connections.
// In the long run as many connections end as fresh ones begin, so that endRate estimates the rate of
// fresh connections. Arrivals would not do: clients that come back without marking their requests as
// retries would raise the slow start budgets of hosts just when these budgets matter most.
func (t *traffic) connectionEnded(now Time, turns float64) {
	t.fade(now)
	t.endRate += turns / t.window(now)
}

// arrived counts a request, and returns the rate per second at all balancers of requests of the same
// kind: retries if isRetry is true, else fresh requests. hosts is the number of listed hosts.
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

// waveRate returns how many retries per second a wave brings to all balancers. It expects that the
// connections of one of the given number of hosts come back together, or those of all hosts that
// have recently departed if these are more.
func (t *traffic) waveRate(now Time, hosts int) float64 {
	t.departedWeight.Add(now, 2*t.overloadWindow, 0)
	share := max(1/float64(max(1, hosts)), t.departedWeight.Sum/max(t.fleetWeight, 1))
	seconds := float64(t.overloadWindow) / 1e9
	expected := share * t.expectedConnections / t.instances / seconds
	return t.instances * estimateRate(t.retries.Sum, seconds, expected)
}

// hostDeparted counts a host of the given weight that is no longer ready, so that its clients come
// back soon.
func (t *traffic) hostDeparted(now Time, weight float64) {
	t.departedWeight.Add(now, 2*t.overloadWindow, weight)
}

// updateFleetWeight updates fleetWeight, the weight of the hosts that cause the measured rates.
// weight is that of the hosts that are ready now. fleetWeight falls slowly: after the loss of a zone,
// connections still end at the rate of all earlier hosts.
func (t *traffic) updateFleetWeight(now Time, weight float64) {
	f := math.Exp(-float64(now-t.fleetWeightAt) / float64(t.fleetWeightDecay))
	t.fleetWeight, t.fleetWeightAt = max(weight, t.fleetWeight*f+weight*(1-f)), now
}

// estimateRate estimates a rate per second from n events in the given number of seconds and from
// the rate that was expected before any event: as if one more event had come, in the mean time
// between two events at the expected rate. An expected rate of 0 means unknown.
func estimateRate(n, seconds, expected float64) float64 {
	if expected <= 0 {
		return (n + 1) / seconds
	}
	return (n + 1) / (seconds + 1/expected)
}

// updateFleetWeight updates traffic.fleetWeight, and returns the weight of the ready hosts.
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

// sparseTraffic reports whether a balancer holds less than one connection per host: a mean balancer
// by the tenants' quotas, or this one if there are no quotas. The loads and the rotation of a single
// balancer then say little about the load of the hosts.
func (b *Balancer) sparseTraffic() bool {
	if b.traffic.expectedConnections > 0 {
		return b.traffic.expectedConnections < float64(b.cfg.Instances*len(b.hosts))
	}
	return b.establishedConnections < len(b.hosts)
}
