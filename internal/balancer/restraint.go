package balancer

import "math"

// What is refused when servers have more work than they can do.

// sweep watches how much of the open load stands on stalled servers. Above the target this balancer refuses
// a growing part of what is asked, and less again below it: servers with more work than they can do answer
// nobody.
func (b *Balancer) sweep() {
	b.fx.Schedule(b.sweepEvery(), "sweep")
	b.lookForBook()
	ready := b.measure()
	dt := float64(b.sweepEvery()) / 1e9
	var all, stalled [2]float64 // in the own zone, in the others
	for _, s := range b.servers {
		i := 0
		if s.zone != b.zone {
			i = 1
		}
		// One connection of a sparse balancer's says little of the fleet: what is known of all servers counts
		// as some more that are spread over them.
		l := s.load
		if s.state == Ready {
			l += spreadLoad * b.meanCost * s.weight / ready
		}
		all[i] += l
		if b.slowness(s) >= 1 {
			stalled[i] += l
		}
	}
	part := (stalled[0] + stalled[1]) / max(1, all[0]+all[1])
	// More clients in this zone than its servers bear: turns spill over to the others, while these do
	// better.
	if d := stalled[0]/max(1, all[0]) - stalled[1]/max(1, all[1]); d > stallTarget {
		b.spill = min(1, b.spill+restrain*d*dt)
	} else {
		b.spill = max(0, b.spill-release*dt)
	}
	if over := part - stallTarget; over > 0 {
		b.restraint = min(0.9, b.restraint+restrain*over*dt)
	} else {
		// A pause of one server can hold half of a small balancer's load, and the restraint that it brings
		// would outlast it many times over, with all servers idle again.
		b.restraint = max(0, b.restraint-release*dt)
		b.restraint -= b.restraint * min(1, relief*dt*(1-part/stallTarget))
	}
	for i := range b.asked {
		b.asked[i] *= math.Exp(-dt / 10)
	}
}

// rank is a request's place, 0 to 1, among the load asked for, ordered by worth for its work.
func (b *Balancer) rank(r *request) float64 {
	d := b.density(r.Class)
	if r.Tenant >= 0 {
		t := &b.cfg.Tenants[r.Tenant]
		if t.ConnectionQuota > 0 && float64(b.tenants[r.Tenant]*b.cfg.Instances) > t.ConnectionQuota {
			d *= b.cfg.OverQuotaWeight
		}
	}
	all, under, same := 0.0, 0.0, 0.0
	for c, load := range b.asked {
		all += load
		if o := b.density(c); o < d*0.99 {
			under += load
		} else if o <= d*1.01 {
			same += load
		}
	}
	return (under + b.rng.Float64()*same) / all
}

func (b *Balancer) density(class int) float64 {
	c := b.classCost[class]
	if b.cfg.PriorityByWork || c <= 0 {
		return b.cfg.Classes[class].PriorityWeight
	}
	return b.cfg.Classes[class].PriorityWeight / c
}
