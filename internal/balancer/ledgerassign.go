package balancer

import (
	"math"

	"croftlock/internal/balancer/ledger"
)

const (
	// freshRequestWindow is the time constant, in nanoseconds, of the ledger server's decaying count
	// of fresh requests (those that are not retries).
	freshRequestWindow = 1e10
	// The loads and costs of the following constants are mean connections per unit of weight of a
	// host. A host counts as full at assignLoadSlack times the mean load of the hosts, and as
	// overfull from assignOverfullMargin above that load. Each unit of load above the overfull load
	// adds assignOverfullCost to the cost.
	assignLoadSlack      = 1.15
	assignOverfullMargin = 4.0
	assignOverfullCost   = 10.0
	// assignNewGroupCost is the additional cost of a host that does not hold the request's group (of
	// connections that cost less together) yet, as a multiple of the load that a new group causes.
	assignNewGroupCost = 1.0
	// assignCrossZoneCost is the additional cost of a host in another zone than the querying balancer.
	// assignStallCost is that of a host that delays messages by the shortest message latency
	// objective; it is proportional to the delay.
	assignCrossZoneCost = 2.0
	assignStallCost     = 10.0
	// assignSlowStartShare limits what the ledger server assigns to a warming host (one in slow start)
	// within the overload window, as a fraction of the requests that the host may get. The rest is
	// left for requests whose query had no reply.
	assignSlowStartShare = 0.75
)

// assignHost returns the ledger server's choice for a query of the balancer with number from: the
// assignable host with the lowest assignCost, or no host if none is assignable. It adds the load of
// the query to the ledger and records the assignment, so that a warming host's budget is counted for
// all balancers together. It counts a query that is no retry as a fresh request. If this balancer may
// not give out any budget and only warming hosts are left, the budgets do not count as considered: the
// balancers place such requests themselves, each by its own part.
func (b *Balancer) assignHost(from int, q ledger.Query) assignment {
	if !q.Retry {
		b.ledger.freshRequests.Add(b.now, freshRequestWindow, 1)
	}
	warming, budgetShare := b.hasWarmingHost(), 0.0
	if warming {
		budgetShare = b.followerShare()
	}
	full := b.meanLedgerLoad() * assignLoadSlack
	var best *host
	least := math.Inf(1)
	for _, h := range b.hosts {
		if !b.assignable(h, budgetShare) {
			continue
		}
		if cost := b.assignCost(h, q, full); cost < least {
			best, least = h, cost
		}
	}
	if best == nil {
		return assignment{withinBudget: warming && budgetShare > 0}
	}
	b.ledger.placements.Add(from, uint32(best.hash), q.Group, q.Units)
	b.ledger.placements.RecordAssignment(uint32(best.hash), b.now)
	return assignment{host: best, withinBudget: b.fullCapacityShare(best) < 1}
}

// hasWarmingHost reports whether a ready host is warming.
func (b *Balancer) hasWarmingHost() bool {
	for _, h := range b.hosts {
		if h.state == Ready && b.fullCapacityShare(h) < 1 {
			return true
		}
	}
	return false
}

// followerShare returns the fraction of all balancers, 0 to 1, for which this ledger server may give out
// budgets of warming hosts. Another ledger server may do so for the others.
func (b *Balancer) followerShare() float64 {
	settled := b.ledger.followers.Settled(b.now, b.cfg.SlowStartOverloadWindow)
	return min(1, float64(settled)/float64(b.cfg.Instances))
}

// assignable reports whether the ledger server may assign a host: the host is ready, neither full
// nor ejected, and its slow start budget allows a request. The ledger server's own observations of
// the host apply to the requests of all balancers. budgetShare is the part of the budget, 0 to 1, that
// the ledger server may give out.
func (b *Balancer) assignable(h *host, budgetShare float64) bool {
	if h.state != Ready || b.now < h.fullUntil {
		return false
	}
	if h.ejection.consecutiveFailures > 0 && b.now < h.ejection.until {
		return false
	}
	return b.fullCapacityShare(h) >= 1 || b.slowStartBudgetLeft(h, budgetShare)
}

// meanLedgerLoad returns the load that all balancers hold at the ready hosts, in mean connections,
// divided by the current capacity of these hosts. It includes firstOfGroupCost for each group.
func (b *Balancer) meanLedgerLoad() float64 {
	load, capacity := 0.0, 0.0
	for _, h := range b.hosts {
		if h.state == Ready {
			connections, groups, _ := b.ledger.placements.Load(uint32(h.hash), 0)
			load += connections + firstOfGroupCost*float64(groups)
			capacity += h.weight * b.fullCapacityShare(h)
		}
	}
	return load / max(capacity, 1e-9) // without capacity, not a division by zero
}

// assignCost returns the cost of assigning a request to a host: its load with the request, relative
// to its current capacity, and the additional costs in the same unit. full is the load at which a
// host counts as full.
func (b *Balancer) assignCost(h *host, q ledger.Query, full float64) float64 {
	capacityShare := b.fullCapacityShare(h)
	load, groups, holdsGroup := b.ledger.placements.Load(uint32(h.hash), q.Group)
	load += firstOfGroupCost*float64(groups) + float64(q.Units)/ledger.UnitsPerConnection
	cost, newGroup := load/(h.weight*capacityShare), 0.0
	if !holdsGroup {
		newGroup = firstOfGroupCost / (h.weight * capacityShare)
	}
	cost += newGroup
	cost += assignNewGroupCost*newGroup + assignOverfullCost*max(0, cost-full-assignOverfullMargin)
	if h.zone != q.Zone {
		cost += assignCrossZoneCost
	}
	return cost + assignStallCost*b.currentMessageDelay(h)
}

// slowStartBudgetLeft reports whether the ledger server may assign one more request to a warming
// host. If the settings allow n requests in the overload window, up to n + 3 √n + 3 may arrive by
// chance. The ledger server assigns at most assignSlowStartShare of that number, times budgetShare.
func (b *Balancer) slowStartBudgetLeft(h *host, budgetShare float64) bool {
	fresh := &b.ledger.freshRequests
	fresh.Add(b.now, freshRequestWindow, 0)
	rate := max(fresh.Sum/(freshRequestWindow/1e9), b.traffic.expectedRate*float64(b.cfg.Instances))
	window := float64(b.cfg.SlowStartOverloadWindow)
	n := b.slowStartShare(h) * rate * window / 1e9
	// n is computed from the host's capacity now. The next line reduces n to its capacity at the start
	// of the window.
	share, gain := b.fullCapacityShare(h), (1-b.cfg.SlowStartFloor)*window/float64(b.cfg.SlowStartDuration)
	n *= max(b.cfg.SlowStartFloor, share-gain) / share
	assigned := b.ledger.placements.AssignmentsSince(uint32(h.hash), b.now-b.cfg.SlowStartOverloadWindow)
	return float64(assigned+1) <= budgetShare*assignSlowStartShare*(n+3*math.Sqrt(n)+3)
}
