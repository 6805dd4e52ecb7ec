package balancer

import (
	"sort"

	"croftlock/internal/balancer/rendezvous"
)

// A group is a set of connections that Request.Group names. They cost a host less if they are
// together on it.
const (
	// firstOfGroupCost is the additional cost to a host of the first connection of a group, in mean
	// connections.
	firstOfGroupCost = 3.0
	// rankedHosts is the number of hosts in a group's rendezvous order after which the cost stops
	// growing from one host to the next. rankedHostsSparse is that number if traffic is sparse (less
	// than one connection per host at each balancer): loads then say little, and the order has to
	// keep a group together.
	rankedHosts       = 2.0
	rankedHostsSparse = 8.0
	// awayFromHomeCost multiplies firstOfGroupCost for a host that comes after the group's home in
	// its order (markGroupHomes), if hosts report their loads. The reported loads keep the balance,
	// so that the order may count for more.
	awayFromHomeCost = 8.0
	// homeMaxLoad is the reported load from which on a host is not the home of any group; 1 is
	// full.
	homeMaxLoad = 0.9
	// maxGroupOrders is how many groups' orders are cached at most, to bound their memory. When one
	// more is needed, all of them are discarded.
	maxGroupOrders = 256
)

// groupOrders caches the order of hosts of each group, as indexes in endpointList.hosts, until the
// endpoint list changes. The key is Request.Group.
type groupOrders map[string][]int32

// rendezvousOrder returns the ready hosts, as indexes in b.hosts, in the order in which a group's
// connections prefer them. All balancers that have the same endpoint list compute the same order.
func (b *Balancer) rendezvousOrder(group string) []int32 {
	if order := b.groups[group]; order != nil {
		return order
	}
	scores := make([]float64, len(b.hosts))
	order := make([]int32, 0, len(b.hosts))
	for i, h := range b.hosts {
		if h.state == Ready {
			scores[i] = rendezvous.Score(group, h.hostID, h.weight)
			order = append(order, int32(i))
		}
	}
	sort.Slice(order, func(i, j int) bool { return scores[order[i]] < scores[order[j]] })
	if len(b.groups) >= maxGroupOrders {
		clear(b.groups)
	}
	b.groups[group] = order
	return order
}

// groupPlacementCost returns the cost of placing the request's group at a candidate, in the unit of
// host.load. It returns 0 if the request has no group or the host holds a connection of it. A
// balancer does not know where others have placed a group's connections. All of them follow the
// group's rendezvous order, so that few hosts instead of all bear the cost. If traffic is sparse,
// the order is the only information: it then covers a set of zones instead of one zone, ranks more
// hosts, and hosts that delay messages rank lower.
func (b *Balancer) groupPlacementCost(p *pick, c *candidate) float64 {
	group, h := p.request.Group, c.host
	if group == "" {
		return 0
	}
	for _, other := range h.connections {
		if other.Group == group {
			return 0
		}
	}
	if b.hostsReportLoad() {
		return awayFromHomeCost * firstOfGroupCost * b.costs.unit() * c.groupHomedElsewhere
	}
	rank, maxRank := 0.0, rankedHosts
	if p.sparse {
		maxRank = rankedHostsSparse
		rank = min(maxRank, 2*b.currentMessageDelay(h)/slowMessageDelay)
	}
	for _, i := range b.rendezvousOrder(group) {
		other := b.hosts[i]
		if other == h || rank >= maxRank {
			break
		}
		sameZones := other.zone == h.zone || p.sparse && other.zone%zoneSets == h.zone%zoneSets
		if sameZones && b.fullCapacityShare(other) >= 1 && !b.excludedByAge(other, p.preferredAge) {
			rank++
		}
	}
	return firstOfGroupCost * b.costs.unit() * rank / 2
}

// markGroupHomes sets groupHomedElsewhere to 1 for the hosts that come after the group's home in the
// group's order, and to 0 for the others in the order. The home is the first host in that order that
// has its full capacity and whose load is below homeMaxLoad. loads has one element for each of
// b.hosts, at the same index.
func (b *Balancer) markGroupHomes(group string, loads []reportedLoad) {
	homes := 0.0
	for _, i := range b.rendezvousOrder(group) {
		l := &loads[i]
		l.groupHomedElsewhere = min(1, homes)
		if l.load < homeMaxLoad && b.fullCapacityShare(b.hosts[i]) >= 1 {
			homes++
		}
	}
}
