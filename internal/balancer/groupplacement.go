package balancer

import (
	"sort"

	"croftlock/internal/balancer/rendezvous"
)

const (
	// firstOfGroupCost is what the first connection of a group costs a host on top, in mean connections.
	firstOfGroupCost = 3.0
	// rankedHosts is how many hosts of a group's order cost more than the one before, and
	// rankedHostsSparse how many where traffic is sparse: there the order has to do what loads do elsewhere.
	rankedHosts       = 2.0
	rankedHostsSparse = 8.0
	// awayFromHomeCost is the factor on firstOfGroupCost of a host that is not the group's home, where hosts
	// report their loads: these keep the balance, so that the order may weigh more.
	awayFromHomeCost = 8.0
	// homeMaxLoad is the reported load from which a host is no group's home any more; 1 is full.
	homeMaxLoad = 0.9
	// maxGroupOrders bounds the memory for orders of groups.
	maxGroupOrders = 256
)

// groupOrders holds the order of hosts of each group, as indexes in endpointList.hosts, until the list
// changes.
type groupOrders map[string][]int32

// rendezvousOrder is the order of the ready hosts to which a group's connections keep, the same at every
// balancer.
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

// groupPlacementCost is what a host pays for a group that it does not hold yet, in the unit of host.load.
// Where other balancers placed a group's connections is unknown here, but all keep to the group's rendezvous
// order, so that few hosts pay for it instead of all. Where traffic is sparse there is nothing else to go by:
// the order is one for a set of zones, covers more hosts, and has slow hosts later.
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

// markGroupHomes marks each host but for the group's home: the first one in the group's order that is warm
// and not full. loads are those of all hosts, in their order.
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
