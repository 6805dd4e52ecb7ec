package balancer

import "math"

// The rotation is smooth and weighted. A turn is the cost of a mean connection: each request brings
// as many turns as its connection is expected to cost, and they are divided over all candidates by
// weight. A host's deficit is the turns that it is owed. A warming host is one in slow start, whose
// requests are limited by a budget.
const (
	// tieBreakSlack is by how many turns a candidate's deficit may be below the largest deficit of
	// all candidates for the candidate to be picked by its load.
	tieBreakSlack = 1.0
	// reportedLoadSlack multiplies tieBreakSlack if hosts report their load. The reported loads then
	// keep the balance, so that turns need not be even.
	reportedLoadSlack = 24.0
	// crossZoneBias is how strongly Prices.CrossZone reduces the turns of hosts in other zones: these
	// hosts keep 1 / (1 + crossZoneBias * price) of their turns.
	crossZoneBias = 100.0
	// minHealth is the smallest factor by which failures and message delays, or reported load, reduce
	// the weight of a host. A host without any turns could not show that it has recovered.
	minHealth = 0.02
	// noTurnsLoad is the reported load at which a host gets almost no turns; 1 is full. It is above
	// 1, so that the weights of hosts that are nearly full still differ by load.
	noTurnsLoad = 1.1
	// zoneSets is the number of sets into which zones are divided, by index, if traffic is sparse
	// (less than one connection per host at each balancer). In each set, a group of connections has
	// hosts of its own.
	zoneSets = 2
)

// pick holds the parameters of the choice of a host for one request.
type pick struct {
	request      *request
	turns        float64  // cost of the request's connection relative to that of a mean connection
	preferredAge ageGroup // only hosts of this age (newer or older) may be picked; anyAge means all
	fallback     bool     // hosts that are not available may be picked as well
	sparse       bool     // result of sparseTraffic
}

// candidate is a host that may be picked for a request.
type candidate struct {
	reportedLoad
	host       *host
	weight     float64 // its share of the turns, relative to those of the other candidates
	wonLottery bool    // a warming host whose budget allows this request by lottery only
}

// reportedLoad holds the values of a host that follow from load reports. Both are 0 if hosts do not
// report their load.
type reportedLoad struct {
	load                float64 // 1 is full
	groupHomedElsewhere float64 // 1 if the host comes after the home of the group (markGroupHomes), else 0
}

// pick chooses a host for a request by smooth weighted rotation over the available hosts: first over
// those of the preferred age group, then over all. If no host is available, it chooses from all
// hosts that may take the request. It returns nil if there is none.
func (b *Balancer) pick(r *request) *host {
	p := pick{request: r, turns: b.costs.turns(r.cost), preferredAge: b.preferredAgeGroup(r)}
	if p.preferredAge != anyAge {
		if h := b.rotate(&p); h != nil {
			return h
		}
		p.preferredAge = anyAge
	}
	if h := b.rotate(&p); h != nil {
		return h
	}
	p.fallback = true
	return b.rotate(&p)
}

// rotate makes one step of the smooth weighted rotation: each candidate's deficit grows by its
// share of the request's turns, and the deficit of the picked one shrinks by all of them. Of the
// candidates whose deficit is within a slack of the largest one, the one with the least load for
// its weight is picked. rotate returns nil if there is no candidate.
func (b *Balancer) rotate(p *pick) *host {
	p.sparse = b.sparseTraffic()
	candidates, total, maxWeight := b.candidates(p)
	maxDeficit := math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		c.host.deficit += p.turns * c.weight / total
		maxDeficit = max(maxDeficit, c.host.deficit)
	}
	var best *host
	minLoad := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		h := c.host
		if b.fullCapacityShare(h) < 1 {
			// The slow start budget of a warming host decides when it is picked, not its deficit. By
			// their deficits, all new hosts would have the same place in the rotation of every
			// balancer, and would wait for half of a round, which takes long if traffic is sparse.
			h.deficit = maxDeficit
		}
		slack, capacity := b.tieBreakParams(p, c, maxWeight)
		if h.deficit < maxDeficit-slack {
			continue
		}
		load := b.tieBreakLoad(p, c, capacity)
		if load < minLoad || load == minLoad && h.deficit > best.deficit {
			best, minLoad = h, load
		}
	}
	if best != nil {
		best.deficit -= p.turns
	}
	return best
}

// candidates returns the hosts that may be picked, in the order of their IDs, the sum of their
// weights and the largest weight. The slice is valid until the next call.
func (b *Balancer) candidates(p *pick) (eligible []candidate, total, maxWeight float64) {
	reported := b.hostsReportLoad()
	if reported {
		b.readLoads(p.request.Group)
	}
	eligible = b.candidateBuffer[:0]
	for i, h := range b.hosts {
		allowed, byLottery := b.mayPlaceOn(h, p)
		if !allowed || !p.fallback && !b.available(h, p.request) ||
			p.request.shedUnlessWarmingHost && b.fullCapacityShare(h) >= 1 {
			continue
		}
		c := candidate{host: h, wonLottery: byLottery}
		if reported {
			c.reportedLoad = b.loadBuffer[i]
		}
		c.weight = b.turnWeight(h, c.load)
		total += c.weight
		maxWeight = max(maxWeight, c.weight)
		eligible = append(eligible, c)
	}
	b.candidateBuffer = eligible
	return eligible, total, maxWeight
}

// readLoads fills loadBuffer with the current load of each host. If group is not empty, it marks
// the hosts that come after the group's home.
func (b *Balancer) readLoads(group string) {
	loads := b.loadBuffer[:0]
	for _, h := range b.hosts {
		loads = append(loads, reportedLoad{load: b.currentLoad(h)})
	}
	b.loadBuffer = loads
	if group != "" {
		b.markGroupHomes(group, loads)
	}
}

// mayPlaceOn reports whether a host may take the request, and whether a warming host may take it only
// because the request won the lottery for the host's unused budget (winsLottery). It checks the
// preferred age group and the rules that hold in a fallback as well: the host must be ready, it must
// discard repeats if necessary, and the slow start budget of a warming host must allow the request.
func (b *Balancer) mayPlaceOn(h *host, p *pick) (allowed, byLottery bool) {
	if h.state != Ready || p.preferredAge != anyAge && b.excludedByAge(h, p.preferredAge) ||
		b.outsideDedupScope(h, p.request) {
		return false, false
	}
	if b.fullCapacityShare(h) >= 1 {
		return true, false
	}
	return b.slowStartAllows(h, p.request, p.turns)
}

// turnWeight returns a host's share of the turns, relative to those of other hosts. It is the
// weight from the endpoint list, reduced for a host in another zone if crossing has a price, for a
// warming host, for a loaded host, and for a host that fails or delays messages. load is the host's
// reported load; it is ignored if hosts do not report their load.
func (b *Balancer) turnWeight(h *host, load float64) float64 {
	w := h.weight
	if h.zone != b.ownZone {
		crossZoneFactor := 1 / (1 + crossZoneBias*b.cfg.Prices.CrossZone)
		w *= crossZoneFactor + (1-crossZoneFactor)*b.shedding.crossZoneShare
	}
	if warm := b.fullCapacityShare(h); warm < 1 {
		w *= min(1, slowStartShareFactor*b.cfg.SlowStartOverloadFactor*warm)
	}
	if b.hostsReportLoad() {
		w *= max(minHealth, noTurnsLoad-load)
	}
	health := 1 - b.currentErrorScore(h)
	if ratio := b.currentMessageDelay(h) / slowMessageDelay; ratio > 0 {
		health /= 1 + ratio*ratio
	}
	return w * max(minHealth, health)
}

// tieBreakParams returns the slack, by how many turns a candidate's deficit may be below the largest
// deficit, and the capacity by which the candidate's load is divided. maxWeight is the largest weight
// of all candidates.
func (b *Balancer) tieBreakParams(p *pick, c *candidate, maxWeight float64) (slack, capacity float64) {
	slack, capacity = tieBreakSlack*c.weight/maxWeight, c.weight
	if p.sparse && c.host.zone%zoneSets == b.ownZone%zoneSets {
		slack, capacity = 2*tieBreakSlack, c.host.weight
	}
	if b.hostsReportLoad() {
		slack *= reportedLoadSlack
	}
	return slack, capacity
}

// tieBreakLoad returns the load by which candidates within the slack are ordered, least first. It
// includes the cost of the request's group at the host. The load of the request itself is left out,
// or adds the same to all candidates: otherwise all balancers would begin with the same large hosts.
func (b *Balancer) tieBreakLoad(p *pick, c *candidate, capacity float64) float64 {
	groupCost := b.groupPlacementCost(p, c)
	load := (c.host.load + groupCost) / capacity
	if b.fleetLoad.full > 0 {
		load = c.load + (p.turns+groupCost/b.costs.unit())/b.fleetLoad.full
	}
	if c.wonLottery {
		// A winner of the lottery comes before all other candidates, since its load is negative. Winners
		// are ordered by load and, at loads that differ by less than about 0.001, by a hash of the
		// request and the host.
		load = -1 / (1 + load + float64(stableHash(p.request.ID+c.host.hostID)%1024)/1e6)
	}
	return load
}
