package balancer

import "math"

const (
	// maxStalledShare is the part of the open load that may be on stalled hosts before new work is shed.
	maxStalledShare = 0.1
	// maxShedShare is the largest part of the demand that is shed.
	maxShedShare = 0.9
	// shedGain is by how much the shed share grows a second while all open load is stalled, shedRelease by
	// how much it shrinks a second while little is, and shedDecay the part of it that is lost a second on top
	// while no host is stalled: what a pause of one host began must not leave the others idle.
	shedGain    = 1.0
	shedRelease = 0.05
	shedDecay   = 0.5
	// assumedConnections is how many mean connections are added, spread over all hosts, to those placed here:
	// else one connection on a stalled host would count as an overload of the fleet.
	assumedConnections = 4.0
	// demandFade is the time constant of the demand, in seconds.
	demandFade = 10
)

// loadShedding rejects a part of the demand while hosts are stalled: hosts with more work than they can do
// answer nobody.
type loadShedding struct {
	share float64 // part of the demand that is shed, lowest priority weight for its work first
	// crossZoneShare is how much of the turns that the price of a crossing takes from other zones they get
	// back, 0 to 1.
	crossZoneShare    float64
	demandByClass     []float64 // requested load, with exponential decay
	tenantConnections []int     // open connections
}

// zoneLoad is open load, and how much of it is on stalled hosts.
type zoneLoad struct{ open, stalled float64 }

func (z zoneLoad) stalledShare() float64 { return z.stalled / max(1, z.open) }

// update applies the load of the own and of the other zones, after dt seconds.
func (s *loadShedding) update(own, other zoneLoad, dt float64) {
	// More clients in this zone than its hosts bear: turns go to other zones while those do better.
	if d := own.stalledShare() - other.stalledShare(); d > maxStalledShare {
		s.crossZoneShare = min(1, s.crossZoneShare+shedGain*d*dt)
	} else {
		s.crossZoneShare = max(0, s.crossZoneShare-shedRelease*dt)
	}
	stalled := (own.stalled + other.stalled) / max(1, own.open+other.open)
	if excess := stalled - maxStalledShare; excess > 0 {
		s.share = min(maxShedShare, s.share+shedGain*excess*dt)
	} else {
		// A pause of one host can hold half of a small balancer's load; what is shed for it must not outlast
		// it by much.
		s.share = max(0, s.share-shedRelease*dt)
		s.share -= s.share * min(1, shedDecay*dt*(1-stalled/maxStalledShare))
	}
	for i := range s.demandByClass {
		s.demandByClass[i] *= math.Exp(-dt / demandFade)
	}
}

// updateShedding measures the open load for load shedding.
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

// shed reports whether load shedding rejects a request, unless a warming host's budget bears it. It draws
// from the random numbers only while load is shed.
func (b *Balancer) shed(r *request) bool {
	return b.shedding.share > 0 && b.priorityRank(r) < b.shedding.share
}

// priorityRank is a request's place, 0 to 1, in the demand ordered by priority weight for its work.
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

// priorityDensity is a class's priority weight for its work.
func (b *Balancer) priorityDensity(class int) float64 {
	cost := b.costs.byClass[class]
	if b.cfg.PriorityByWork || cost <= 0 {
		return b.cfg.Classes[class].PriorityWeight
	}
	return b.cfg.Classes[class].PriorityWeight / cost
}
