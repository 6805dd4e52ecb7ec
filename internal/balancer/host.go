package balancer

import "croftlock/internal/balancer/loadestimate"

// host is the state of an upstream host at one balancer. Each rule keeps its state in a field of
// its own.
type host struct {
	hostID     string
	hash       uint64  // of hostID
	zone, cell int     // index of its zone in endpointList.zones, and number of its cell
	weight     float64 // capacity relative to other hosts, above 0
	startedAt  Time    // its latest start; 0 if it was long ago
	state      HostState
	listed     bool // whether the last complete list, or a change since then, names it

	connections []*request // open connections that this balancer placed or adopted
	load        float64    // of connections, in the unit of Request.ExpectedLoad

	// deficit is how many turns (mean connections) the rotation owes the host. The smooth weighted
	// rotation prefers the hosts with the largest deficits.
	deficit      float64
	ejection     hostEjection
	fullUntil    Time // the host counts as full until then, after an attempt that ended with status Full
	errors       errorScore
	messages     messageDelay
	slowStart    slowStartBudget
	loadEstimate loadestimate.Host
	healthCheck  healthCheckState
}

// restarted resets the failures and other state of the host's previous process. Otherwise a host
// that came back would stay ejected for the remaining time. tokens, in mean connections, is the
// initial fill of the budget that limits its requests during slow start. restarted ends an ejection
// without reporting HostReadmitted. It is also called when an operator's suspension ends.
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

// connectionEstablished adds the connection of r, which is at r.host, to the counts of its host, its
// tenant and the ledger server.
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

// connectionEnded undoes connectionEstablished. It has no effect if r has no open connection.
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
		h.load = 0 // removes rounding errors
	}
	r.established = false
	if r.Tenant >= 0 {
		b.shedding.tenantConnections[r.Tenant]--
	}
}
