package proxy

import (
	"fmt"
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/maintenance"
)

// host is an upstream host as this proxy knows it.
type host struct {
	hostID    string
	zone      string
	address   string
	listed    balancer.ListedHost // as discovery last said
	state     balancer.HostState  // the effective one: after suspensions and watermarks
	startedAt balancer.Time       // its latest start, on this process's clock
	pool      *pool               // nil: it is between two pools, and gets nothing new

	established map[*Request]struct{}         // its open connections
	pending     map[*upstreamRequest]struct{} // attempts in flight

	latency     messageLatency
	loadFigures loadClassifier
	checkedLoad float64 // load over capacity, as its last health check said
	checkedAt   int64   // ns, when that was; 0: never

	lastSnapshot *balancer.HostSnapshot // what its last pool's balancer knew of it, until another takes it
}

// invariantHost is what the invariants have to know of a host.
func (h *host) invariantHost() invariant.Host {
	return invariant.Host{State: h.state, Zone: h.zone, Cell: h.listed.Cell}
}

// effectiveEntry is the host as the decision module is to see it.
func (h *host) effectiveEntry() balancer.ListedHost {
	e := h.listed
	e.State, e.StartedAt = h.state, h.startedAt
	return e
}

// hostStateName is a state's name in the log.
func hostStateName(s balancer.HostState) string {
	names := [...]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Removed: "removed", balancer.Suspended: "suspended"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("HostState(%d)", int(s))
	}
	return names[s]
}

// target is what a Connector needs to know of it.
func (h *host) target() Target { return Target{h.hostID, h.zone, h.address} }

// setRemoved says that the endpoint list does not name the host any more.
func (h *host) setRemoved() { h.state, h.listed.State = balancer.Removed, balancer.Removed }

// changeAddress has attempts whose line is not written go on towards a new address.
func (h *host) changeAddress(address string) {
	if address == "" || address == h.address {
		return
	}
	h.address = address
	for a := range h.pending {
		if a.lineUnsent() {
			a.conn.End(netio.Dropped)
			a.dial()
		}
	}
}

// stopUnsentAttempts ends the attempts whose line is not written, where which says so: the host cannot have acted on them.
func (h *host) stopUnsentAttempts(matches func(a *upstreamRequest) bool) {
	for a := range h.pending {
		if a.lineUnsent() && !a.request.adopted && matches(a) {
			a.finish(balancer.Full, netio.Dropped)
		}
	}
}

// hostTable holds the upstream hosts, and the rules on which of them get anything new.
type hostTable struct {
	byID        map[string]*host
	suspensions *maintenance.Registry // the hosts that operators have suspended
	watermarks  Watermarks            // nil: every proxy goes by its own list alone
	clock       startClock
}

// add enters a host that is in no pool yet.
func (t *hostTable) add(id string) *host {
	h := &host{hostID: id, established: map[*Request]struct{}{}, pending: map[*upstreamRequest]struct{}{}}
	t.byID[id] = h
	return h
}

// update applies one entry of the endpoint list. A host that is new is in no pool yet.
func (t *hostTable) update(entry HostEntry) (h *host, isNew bool) {
	if h = t.byID[entry.ID]; h == nil {
		h, isNew = t.add(entry.ID), true
	}
	if tracing() && (h.state != entry.State || h.listed.StartedAt != entry.StartedAt || h.address == "") {
		slog.Debug("host_updated", "host", entry.ID, "zone", entry.Zone, "state", hostStateName(entry.State), "weight", entry.Weight, "since_ms", entry.StartedAt/1e6)
	}
	t.suspensions.HostListed(entry.ID)
	if h.address == "" || entry.StartedAt != h.listed.StartedAt {
		h.startedAt = t.clock.hostStart(entry.StartedAt)
	}
	h.state, h.listed, h.zone = t.effectiveState(entry.ListedHost), entry.ListedHost, entry.Zone
	h.changeAddress(entry.Address)
	return h, isNew
}

// effectiveState is the state that counts for a listed host: a suspended one takes nothing, whatever discovery says, and one that
// drains or is removed by another proxy's newer list takes nothing new.
func (t *hostTable) effectiveState(e balancer.ListedHost) balancer.HostState {
	switch {
	case e.State != balancer.Ready:
		return e.State
	case t.suspensions.Suspended(e.ID):
		return balancer.Suspended
	case t.watermarks != nil && t.watermarks.Blocks(e.ID, e.StartedAt):
		return balancer.Draining
	}
	return e.State
}

// removeUnlisted marks as removed all hosts that a full list does not name.
func (t *hostTable) removeUnlisted(named map[string]bool) {
	for id, h := range t.byID {
		if !named[id] {
			h.setRemoved()
		}
	}
}
