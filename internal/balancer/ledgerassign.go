package balancer

import (
	"math"

	"croftlock/internal/balancer/ledger"
)

const (
	// freshRequestWindow is the time constant with which the ledger server counts fresh requests, in
	// nanoseconds.
	freshRequestWindow = 1e10
	// assignLoadSlack is the load over the mean at which a host counts as full, and assignOverfull by how
	// much more it counts as overfull; assignOverfullCost is what each load beyond that costs in addition.
	assignLoadSlack      = 1.15
	assignOverfullMargin = 4.0
	assignOverfullCost   = 10.0
	// assignNewGroupCost is the price of a group that is new to a host, beyond what it costs the host.
	assignNewGroupCost = 1.0
	// assignCrossZoneCost is the cost of a host in another zone, and assignStallCost the cost of a host that
	// delays messages by the shortest latency objective.
	assignCrossZoneCost = 2.0
	assignStallCost     = 10.0
	// assignSlowStartShare is the part of what a warming host may get by chance that the ledger server gives
	// out; the rest is for requests that had no reply.
	assignSlowStartShare = 0.75
)

// assignHost returns the ledger server's choice for a request of any balancer: the assignable host with the
// lowest assignCost, or nil if no host is assignable. It records the assignment, so that a warming host's
// budget is counted for all balancers together.
func (b *Balancer) assignHost(from int, q ledger.Query) *host {
	if !q.Retry {
		b.ledger.freshRequests.Add(b.now, freshRequestWindow, 1)
	}
	full := b.meanLedgerLoad() * assignLoadSlack
	var best *host
	least := math.Inf(1)
	for _, h := range b.hosts {
		if !b.assignable(h) {
			continue
		}
		if cost := b.assignCost(h, q, full); cost < least {
			best, least = h, cost
		}
	}
	if best != nil {
		b.ledger.placements.Add(from, uint32(best.hash), q.Group, q.Units)
		b.ledger.placements.RecordAssignment(uint32(best.hash), b.now)
	}
	return best
}

// assignable reports whether the ledger server may assign a host: what it knows itself counts for all.
func (b *Balancer) assignable(h *host) bool {
	if h.state != Ready || b.now < h.fullUntil {
		return false
	}
	if h.ejection.consecutiveFailures > 0 && b.now < h.ejection.until {
		return false
	}
	return b.fullCapacityShare(h) >= 1 || b.slowStartBudgetLeft(h)
}

// meanLedgerLoad is what all balancers hold, for the capacity of the fleet.
func (b *Balancer) meanLedgerLoad() float64 {
	load, capacity := 0.0, 0.0
	for _, h := range b.hosts {
		if h.state == Ready {
			connections, groups, _ := b.ledger.placements.Load(uint32(h.hash), 0)
			load += connections + firstOfGroupCost*float64(groups)
			capacity += h.weight * b.fullCapacityShare(h)
		}
	}
	return load / max(capacity, 1e-9)
}

// assignCost is how full a host would be with a request, and what speaks against it in the same unit.
func (b *Balancer) assignCost(h *host, q ledger.Query, full float64) float64 {
	warm := b.fullCapacityShare(h)
	load, groups, holds := b.ledger.placements.Load(uint32(h.hash), q.Group)
	load += firstOfGroupCost*float64(groups) + float64(q.Units)/ledger.UnitsPerConnection
	cost, newGroup := load/(h.weight*warm), 0.0
	if !holds {
		newGroup = firstOfGroupCost / (h.weight * warm)
	}
	cost += newGroup
	cost += assignNewGroupCost*newGroup + assignOverfullCost*max(0, cost-full-assignOverfullMargin)
	if h.zone != q.Zone {
		cost += assignCrossZoneCost
	}
	return cost + assignStallCost*b.currentMessageDelay(h)
}

// slowStartBudgetLeft reports whether a warming host's budget bears one more request: of n that the settings
// allow in the overload window, n + 3 √n + 3 may come by chance. The ledger server gives out a part of that,
// counted exactly.
func (b *Balancer) slowStartBudgetLeft(h *host) bool {
	fresh := &b.ledger.freshRequests
	fresh.Add(b.now, freshRequestWindow, 0)
	rate := max(fresh.Sum/(freshRequestWindow/1e9), b.traffic.expectedRate*float64(b.cfg.Instances))
	window := float64(b.cfg.SlowStartOverloadWindow)
	n := b.slowStartShare(h) * rate * window / 1e9
	// The capacity as it was when the window began.
	warm, warmed := b.fullCapacityShare(h), (1-b.cfg.SlowStartFloor)*window/float64(b.cfg.SlowStartDuration)
	n *= max(b.cfg.SlowStartFloor, warm-warmed) / warm
	granted := b.ledger.placements.AssignmentsSince(uint32(h.hash), b.now-b.cfg.SlowStartOverloadWindow)
	return float64(granted+1) <= assignSlowStartShare*(n+3*math.Sqrt(n)+3)
}
