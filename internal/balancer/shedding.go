package balancer

import "math"

// The stalled share is the fraction of the load of open connections that is on stalled hosts, where
// messages take too long. The shed share is the fraction of the demand, the load of new requests,
// that is rejected.
const (
	// maxStalledShare is the stalled share above which new requests are shed.
	maxStalledShare = 0.1
	// maxShedShare is the largest shed share.
	maxShedShare = 0.9
	// shedGrowthRate is the growth of the shed share per second, for each unit by which the stalled
	// share is above maxStalledShare.
	shedGrowthRate = 1.0
	// shedRelease is by how much the shed share shrinks per second while the stalled share is not
	// above maxStalledShare.
	shedRelease = 0.05
	// shedDecay is the fraction of the shed share that is lost per second in addition while no host
	// is stalled. Up to maxStalledShare the loss falls to 0. Shedding that the pause of one host has
	// started must not leave the other hosts idle.
	shedDecay = 0.5
	// assumedConnections is how many mean connections, spread over all ready hosts, are added to
	// those of this balancer. Without them, one connection on a stalled host would count as an
	// overload of all hosts.
	assumedConnections = 4.0
	// demandTimeConstant is the time constant with which demand decays, in seconds.
	demandTimeConstant = 10
)

// loadShedding rejects a fraction of the demand while hosts are stalled, since hosts with more work
// than they can do answer no client.
type loadShedding struct {
	// share is the shed share, 0 to maxShedShare. Requests with the lowest priority weight per work
	// are shed first.
	share float64
	// crossZoneShare is the fraction, 0 to 1, by which the reduction of turns of hosts in other zones
	// (Prices.CrossZone) is undone.
	crossZoneShare    float64
	demandByClass     []float64 // load of new requests by Request.Class, with exponential decay
	tenantConnections []int     // number of open connections by Request.Tenant
}

// zoneLoad is the open load of one or more zones, and the part of it that is on stalled hosts, in
// the unit of Request.ExpectedLoad.
type zoneLoad struct{ open, stalled float64 }

// stalledShare returns the fraction of the open load that is on stalled hosts.
func (z zoneLoad) stalledShare() float64 { return z.stalled / max(1, z.open) }

// update adjusts share and crossZoneShare to the loads of the balancer's own zone and of the other
// zones, and applies the decay of the demand. dt is the time since the last update, in seconds.
func (s *loadShedding) update(own, other zoneLoad, dt float64) {
	// While the own zone is stalled more than the other zones, it has more clients than its hosts can
	// serve. More requests then go to the other zones.
	if d := own.stalledShare() - other.stalledShare(); d > maxStalledShare {
		s.crossZoneShare = min(1, s.crossZoneShare+shedGrowthRate*d*dt)
	} else {
		s.crossZoneShare = max(0, s.crossZoneShare-shedRelease*dt)
	}
	stalled := (own.stalled + other.stalled) / max(1, own.open+other.open)
	if excess := stalled - maxStalledShare; excess > 0 {
		s.share = min(maxShedShare, s.share+shedGrowthRate*excess*dt)
	} else {
		// The pause of one host can stall half of the load of a balancer that holds few connections.
		// The shedding that the pause causes must not outlast it by much.
		s.share = max(0, s.share-shedRelease*dt)
		s.share -= s.share * min(1, shedDecay*dt*(1-stalled/maxStalledShare))
	}
	for i := range s.demandByClass {
		s.demandByClass[i] *= math.Exp(-dt / demandTimeConstant)
	}
}

// updateShedding measures the load of open connections by zone and updates load shedding.
// readyWeight is the sum of the weights of all ready hosts.
func (b *Balancer) updateShedding(readyWeight float64) {
	var own, other zoneLoad
	for _, h := range b.hosts {
		zone := &own
		if h.zone != b.ownZone {
			zone = &other
		}
		load := h.load
		if h.state == Ready {
			load += assumedConnections * b.costs.mean * h.weight / readyWeight
		}
		zone.open += load
		if b.stalled(h) {
			zone.stalled += load
		}
	}
	b.shedding.update(own, other, float64(b.updateInterval())/1e9)
}

// shouldShed reports whether load shedding marks a request, which is then rejected unless a host in
// slow start may take it. It uses the random number generator only while load is shed.
func (b *Balancer) shouldShed(r *request) bool {
	return b.shedding.share > 0 && b.priorityRank(r) < b.shedding.share
}

// priorityRank returns a request's position, 0 to 1, in the demand ordered by priority weight per
// work, lowest first. The position is random among demand of the same priority, within 1%. A request
// of a tenant beyond its connection quota has its weight reduced by Config.OverQuotaWeight.
func (b *Balancer) priorityRank(r *request) float64 {
	density := b.priorityDensity(r.Class)
	if r.Tenant >= 0 {
		quota := b.cfg.Tenants[r.Tenant].ConnectionQuota
		if quota > 0 && float64(b.shedding.tenantConnections[r.Tenant]*b.cfg.Instances) > quota {
			density *= b.cfg.OverQuotaWeight
		}
	}
	total, below, same := 0.0, 0.0, 0.0
	for class, demand := range b.shedding.demandByClass {
		total += demand
		if other := b.priorityDensity(class); other < density*0.99 { // within 1% counts as the same
			below += demand
		} else if other <= density*1.01 {
			same += demand
		}
	}
	return (below + b.rng.Float64()*same) / total
}

// priorityDensity returns a class's priority weight per work. It returns the weight itself if the
// weight counts per work already (Config.PriorityByWork) or the work of the class is unknown.
func (b *Balancer) priorityDensity(class int) float64 {
	cost := b.costs.byClass[class]
	if b.cfg.PriorityByWork || cost <= 0 {
		return b.cfg.Classes[class].PriorityWeight
	}
	return b.cfg.Classes[class].PriorityWeight / cost
}
