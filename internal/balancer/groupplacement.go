package balancer

import (
	"sort"

	"croftlock/internal/balancer/rendezvous"
)

const (
	// firstOfGroupCost is the additional cost to a host of the first connection of a group, in mean
	// connections.
	firstOfGroupCost = 3.0
	// rankedHosts is how many hosts in a group's order cost more than the one before.
	// rankedHostsSparse is the same if traffic is sparse: the order then has to do what loads do
	// otherwise.
	rankedHosts       = 2.0
	rankedHostsSparse = 8.0
	// awayFromHomeCost is the factor on firstOfGroupCost for a host that comes after the group's
	// home, if hosts report their loads. The loads keep the balance, so that the order may count
	// for more.
	awayFromHomeCost = 8.0
	// homeMaxLoad is the reported load from which on a host is not the home of any group; 1 is
	// full.
	homeMaxLoad = 0.9
	// maxGroupOrders is how many groups' orders are cached at most, which bounds their memory.
	maxGroupOrders = 256
)

// groupOrders caches the order of hosts of each group, as indexes in endpointList.hosts, until the
// endpoint list changes.
type groupOrders map[string][]int32

// rendezvousOrder returns the ready hosts, as indexes in b.hosts, in the order in which a group's
// connections prefer them. It is the same at every balancer that has the same endpoint list.
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

// groupPlacementCost returns the cost to a host of a group that it does not hold yet, in the unit
// of host.load. A balancer does not know where others have placed a group's connections, but all of
// them follow the group's rendezvous order, so that few hosts instead of all bear the cost. If
// traffic is sparse, the order is the only information: it is then shared by a set of zones, ranks
// more hosts, and moves slow hosts back.
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

// markGroupHomes sets groupHomedElsewhere of the hosts that come after the group's home in the
// group's order. The home is the first host in that order that is no longer warming and whose load
// is below homeMaxLoad. loads has one element for each of b.hosts.
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
