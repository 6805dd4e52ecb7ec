package balancer

import "math"

const (
	// tieBreakSlack is by how many turns a tie-break may run ahead of the rotation, and
	// reportedLoadSlack the factor on it where hosts report how loaded they are: then loads keep the balance,
	// which is all that even turns are for.
	tieBreakSlack     = 1.0
	reportedLoadSlack = 24.0
	// crossZoneBias is how strongly Prices.CrossZone takes turns from other zones: they get 1 / (1 + bias *
	// price) of their own.
	crossZoneBias = 100.0
	// minHealth is the part of its turns that a failing or loaded host keeps: without any, nothing would show
	// that it is well again.
	minHealth = 0.02
	// noTurnsLoad is the reported load at which a host gets next to no turns; 1 is full. It is above 1, so
	// that a full fleet still has an order.
	noTurnsLoad = 1.1
	// zoneSets is how many sets of zones have hosts of their own for a group where traffic is sparse.
	zoneSets = 2
)

// pick is the choice of a host for one request.
type pick struct {
	request  *request
	turns    float64
	among    ageGroup
	fallback bool // hosts that are not available may be picked
	sparse   bool // sparseTraffic
}

// candidate is a host in one pick.
type candidate struct {
	reportedLoad
	host           *host
	weight         float64 // its share of the turns
	drawnByLottery bool    // a warming host that got this request by lottery
}

// reportedLoad is what load reports mean for a host in one pick; zero where hosts do not report.
type reportedLoad struct {
	load                float64 // 1 is full
	groupHomedElsewhere float64 // 1: another host is to hold the group; 0: this one
}

// pick chooses by smooth weighted rotation over the available hosts, of the preferred age if there is one; if
// none is available, over all that may take the request. It returns nil where none may.
func (b *Balancer) pick(r *request) *host {
	p := pick{request: r, turns: b.costs.turns(r.cost), among: b.preferredAgeGroup(r)}
	if p.among != anyAge {
		if h := b.rotate(&p); h != nil {
			return h
		}
		p.among = anyAge
	}
	if h := b.rotate(&p); h != nil {
		return h
	}
	p.fallback = true
	return b.rotate(&p)
}

// rotate is one turn of the smooth weighted rotation: each candidate's deficit grows by its share of the
// turns, and the picked one's shrinks by all of them. Within a slack the order is open: the candidate with
// the least load for its weight goes first.
func (b *Balancer) rotate(p *pick) *host {
	p.sparse = b.sparseTraffic()
	candidates, total, widest := b.candidates(p)
	furthest := math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		c.host.deficit += p.turns * c.weight / total
		furthest = max(furthest, c.host.deficit)
	}
	var best *host
	least := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		h := c.host
		if b.fullCapacityShare(h) < 1 {
			// A warming host's turn comes with its budget. By their deficits all new hosts would have the
			// same place at every balancer, and wait for half a round of many sparse rotations.
			h.deficit = furthest
		}
		reach, size := b.tieBreakReach(p, c, widest)
		if h.deficit < furthest-reach {
			continue
		}
		load := b.tieBreakLoad(p, c, size)
		if load < least || load == least && h.deficit > best.deficit {
			best, least = h, load
		}
	}
	if best != nil {
		best.deficit -= p.turns
	}
	return best
}

// candidates are the hosts that may be picked, in the order of the rotation, with the sum of their weights
// and the largest one.
func (b *Balancer) candidates(p *pick) (pool []candidate, total, widest float64) {
	reported := b.hostsReportLoad()
	if reported {
		b.readLoads(p.request.Group)
	}
	pool = b.candidateBuffer[:0]
	for i, h := range b.hosts {
		allowed, byLottery := b.mayPlaceOn(h, p)
		if !allowed || !p.fallback && !b.available(h, p.request) ||
			p.request.shedUnlessWarmingHost && b.fullCapacityShare(h) >= 1 {
			continue
		}
		c := candidate{host: h, drawnByLottery: byLottery}
		if reported {
			c.reportedLoad = b.loadBuffer[i]
		}
		c.weight = b.turnWeight(h, c.load)
		total += c.weight
		widest = max(widest, c.weight)
		pool = append(pool, c)
	}
	b.candidateBuffer = pool
	return pool, total, widest
}

// readLoads fills loadBuffer for a pick for a request of a group.
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

// mayPlaceOn holds what no fallback sets aside: drains, hosts that do not discard repeats, and the budget of
// a warming host.
func (b *Balancer) mayPlaceOn(h *host, p *pick) (allowed, byLottery bool) {
	if h.state != Ready || p.among != anyAge && b.excludedByAge(h, p.among) ||
		b.outsideDedupScope(h, p.request) {
		return false, false
	}
	if b.fullCapacityShare(h) >= 1 {
		return true, false
	}
	return b.slowStartAllows(h, p.request, p.turns)
}

// turnWeight is a host's share of the turns: the list's weight, less for a crossing that costs, for a warming
// host, for a loaded one, and for one that fails or delays messages.
func (b *Balancer) turnWeight(h *host, load float64) float64 {
	w := h.weight
	if h.zone != b.ownZone {
		far := 1 / (1 + crossZoneBias*b.cfg.Prices.CrossZone)
		w *= far + (1-far)*b.shedding.crossZoneShare
	}
	if warm := b.fullCapacityShare(h); warm < 1 {
		w *= min(1, slowStartShareFactor*b.cfg.SlowStartOverloadFactor*warm)
	}
	if b.hostsReportLoad() {
		w *= max(minHealth, noTurnsLoad-load)
	}
	health := 1 - b.currentErrorScore(h)
	if x := b.currentMessageDelay(h) / slowMessageDelay; x > 0 {
		health /= 1 + x*x
	}
	return w * max(minHealth, health)
}

// tieBreakReach is by how many turns a candidate may be behind and still be picked, and the size by which its
// load is divided.
func (b *Balancer) tieBreakReach(p *pick, c *candidate, widest float64) (reach, size float64) {
	reach, size = tieBreakSlack*c.weight/widest, c.weight
	if p.sparse && c.host.zone%zoneSets == b.ownZone%zoneSets {
		reach, size = 2*tieBreakSlack, c.host.weight
	}
	if b.hostsReportLoad() {
		reach *= reportedLoadSlack
	}
	return reach, size
}

// tieBreakLoad is the load by which candidates within the slack are ordered. It is the present load, not that
// with the request: else all balancers begin with the same large hosts.
func (b *Balancer) tieBreakLoad(p *pick, c *candidate, size float64) float64 {
	groupCost := b.groupPlacementCost(p, c)
	load := (c.host.load + groupCost) / size
	if b.fleetLoad.full > 0 {
		load = c.load + (p.turns+groupCost/b.costs.unit())/b.fleetLoad.full
	}
	if c.drawnByLottery {
		// Before all others, by load and then by the draw.
		load = -1 / (1 + load + float64(stableHash(p.request.ID+c.host.hostID)%1024)/1e6)
	}
	return load
}
