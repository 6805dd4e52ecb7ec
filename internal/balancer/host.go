package balancer

import "croftlock/internal/balancer/loadestimate"

// host is an upstream host as one balancer knows it. Each rule has its state in a part of its own.
type host struct {
	hostID     string
	hash       uint64 // of hostID
	zone, cell int
	weight     float64 // above 0
	startedAt  Time    // its latest start; 0: long past
	state      HostState
	listed     bool // named by the last full list, or by a change since

	connections []*request // open ones that this balancer placed
	load        float64    // of these, in the unit of Request.ExpectedLoad

	deficit      float64 // turns owed: the smooth weighted rotation picks the largest
	ejection     hostEjection
	fullUntil    Time // after status Full: it said so, or the proxy stopped an attempt at it
	errors       errorScore
	messages     messageDelay
	slowStart    slowStartBudget
	loadEstimate loadestimate.Host
	healthCheck  healthCheckState
}

// restarted forgets the failures of the process before: else a host that came back would stay ejected for the
// rest of that time. It ends an ejection without reporting HostReadmitted, and is also called as an
// operator's suspension ends.
func (h *host) restarted(now, startedAt Time, tokens float64) {
	h.startedAt = startedAt
	h.ejection.consecutiveFailures, h.ejection.until = 0, 0
	h.errors.score = 0
	h.messages.delay = 0
	h.loadEstimate.Reset()
	h.fullUntil = 0
	h.slowStart = slowStartBudget{tokens: tokens, filledAt: now}
	h.deficit = min(h.deficit, 0)
}

// connectionEstablished counts a connection that is open at its host.
func (b *Balancer) connectionEstablished(r *request) {
	h := r.host
	r.established, r.connectionIndex, r.load = true, len(h.connections), r.cost
	h.connections = append(h.connections, r)
	h.load += r.load
	b.establishedConnections++
	b.reconcileLedger(r, h)
	if r.Tenant >= 0 {
		b.shedding.tenantConnections[r.Tenant]++
	}
}

// connectionEnded undoes connectionEstablished, where the connection was open.
func (b *Balancer) connectionEnded(r *request) {
	if !r.established {
		return
	}
	h := r.host
	last := len(h.connections) - 1
	h.connections[r.connectionIndex] = h.connections[last]
	h.connections[r.connectionIndex].connectionIndex = r.connectionIndex
	h.connections = h.connections[:last]
	h.load -= r.load
	b.establishedConnections--
	b.reportPlacement(h, r, -1)
	b.addUnreportedLoad(h, -r.load/b.costs.unit())
	if last == 0 {
		h.load = 0 // no rounding error stays
	}
	r.established = false
	if r.Tenant >= 0 {
		b.shedding.tenantConnections[r.Tenant]--
	}
}
