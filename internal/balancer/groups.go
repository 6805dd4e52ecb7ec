package balancer

import (
	"math"
	"sort"
)

// Which servers the connections of a group keep to.

// strange is what a server pays for a group that it does not hold yet. Where other balancers put a group's
// connections is not known here, but all can keep to one order of its servers, drawn from their names, so
// that few servers pay for it and not each of them. Where traffic is thin that order is all there is to go
// by: it is one for a set of zones, goes further, and a slow server stands later in it.
func (b *Balancer) strange(s *server, r *request, thin bool) float64 {
	if r.Group == "" {
		return 0
	}
	for _, o := range s.conns {
		if o.Group == r.Group {
			return 0
		}
	}
	if b.reports() {
		return strangeTold * groupCost * max(1, b.meanCost) * s.before
	}
	place, most := 0.0, 2.0
	if thin {
		most = thinPlaces
		place = min(most, 2*b.slowness(s)/slowAt)
	}
	for _, i := range b.order(r.Group) {
		o := b.servers[i]
		if o == s || place >= most {
			break
		}
		if (o.zone == s.zone || thin && o.zone%areas == s.zone%areas) && b.warmth(o) >= 1 && !b.passes(o) {
			place++
		}
	}
	return groupCost * max(1, b.meanCost) * place / 2
}

// thin tells whether a balancer holds less than one connection a server, by the quotas if there are any: its
// own turns and loads then say little of the fleet's.
func (b *Balancer) thin() bool {
	if b.standing > 0 {
		return b.standing < float64(b.cfg.Instances*len(b.servers))
	}
	return b.ups < len(b.servers)
}

// order is the order of servers that a group's connections keep to, the same at every balancer.
func (b *Balancer) order(group string) []int32 {
	if o := b.orders[group]; o != nil {
		return o
	}
	draw := make([]float64, len(b.servers))
	o := make([]int32, 0, len(b.servers))
	for i, s := range b.servers {
		if s.state == Ready {
			u := (float64(hash(group+s.id)>>11) + 0.5) / (1 << 53)
			draw[i] = -math.Log(u) / s.weight // a larger server comes sooner
			o = append(o, int32(i))
		}
	}
	sort.Slice(o, func(i, j int) bool { return draw[o[i]] < draw[o[j]] })
	if len(b.orders) >= ordersKept {
		clear(b.orders)
	}
	b.orders[group] = o
	return o
}

// homes marks each server that tells its load but for the first one with room in a group's order, which is to
// hold the group. Loads told keep the balance, so that the order may weigh more than where they are not: what
// all groups cost everywhere is a third of what the fleet can do.
func (b *Balancer) homes(group string) {
	n := 0.0
	for _, i := range b.order(group) {
		s := b.servers[i]
		s.before = min(1, n)
		if s.x < homeFull && b.warmth(s) >= 1 {
			n++
		}
	}
}
