package proxy

import (
	"fmt"
	"log/slog"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/maintenance"
)

// host holds this proxy's state of an upstream host.
type host struct {
	hostID    string
	zone      string
	address   string              // where the proxy connects; "" before the first list that contains the host
	listed    balancer.ListedHost // the latest entry from the discovery service
	state     balancer.HostState  // effective state, which accounts for suspensions and watermarks
	startedAt balancer.Time       // latest start of the host, on this process's clock
	pool      *pool               // the subset of hosts to which it belongs; nil while it moves between two and gets no new requests

	established map[*Request]struct{}         // requests with an open connection to the host
	pending     map[*upstreamRequest]struct{} // attempts in flight

	latency     messageLatency
	loadFigures loadClassifier // distinguishes loads from delays among the figures that the host reports
	checkedLoad float64        // load divided by capacity, from the last health check
	checkedAt   int64          // time of that health check, in nanoseconds; 0 if there was none

	// lastSnapshot is what the balancer of the previous pool knew of the host, for the balancer of
	// the next pool. It is nil if the host has not changed pools or that balancer did not know it.
	lastSnapshot *balancer.HostSnapshot
}

// invariantHost returns the properties of the host that the invariants check.
func (h *host) invariantHost() invariant.Host {
	return invariant.Host{ID: h.hostID, State: h.state, Zone: h.zone, Cell: h.listed.Cell}
}

// effectiveEntry returns the host's list entry with its effective state and start, as passed to the
// balancer.
func (h *host) effectiveEntry() balancer.ListedHost {
	e := h.listed
	e.State, e.StartedAt = h.state, h.startedAt
	return e
}

// hostStateName returns the name of a state in the log.
func hostStateName(s balancer.HostState) string {
	names := [...]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Removed: "removed", balancer.Suspended: "suspended"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("HostState(%d)", int(s))
	}
	return names[s]
}

// target returns the host's ID, zone and address for a Connector or a HealthChecker.
func (h *host) target() Target { return Target{h.hostID, h.zone, h.address} }

// setRemoved marks the host as absent from the endpoint list.
func (h *host) setRemoved() { h.state, h.listed.State = balancer.Removed, balancer.Removed }

// changeAddress sets a new address, and dials it for the attempts whose first line is not written
// yet. It ignores an empty address.
func (h *host) changeAddress(address string) {
	if address == "" || address == h.address {
		return
	}
	h.address = address
	for a := range h.pending {
		if a.lineUnsent() {
			a.conn.End(netio.EndedLocally)
			a.dial()
		}
	}
}

// stopUnsentAttempts ends the matching attempts whose first line is not written yet; the host
// cannot have acted on them. It does not end the attempts of adopted requests, which only this host
// can serve.
func (h *host) stopUnsentAttempts(matches func(a *upstreamRequest) bool) {
	for a := range h.pending {
		if a.lineUnsent() && !a.request.adopted && matches(a) {
			a.finish(balancer.Full, netio.EndedLocally)
		}
	}
}

// hostTable holds the upstream hosts, and the suspensions and watermarks that keep new requests
// from some of them.
type hostTable struct {
	byID        map[string]*host
	suspensions *maintenance.Registry // the hosts that operators have suspended
	// fleetListKnown is whether suspensions has a list, possibly empty, of the hosts that operators have
	// suspended for the fleet.
	fleetListKnown bool
	// guessedStarts holds, by host ID, when hosts were resumed whose start the discovery service has not
	// reported since.
	guessedStarts map[string]balancer.Time
	watermarks    Watermarks // hosts that drain or are removed in other proxies' newer lists; nil if only this proxy's list counts
	clock         startClock
}

// add adds a host with this ID and returns it. The host is not in a pool yet.
func (t *hostTable) add(id string) *host {
	h := &host{hostID: id, established: map[*Request]struct{}{}, pending: map[*upstreamRequest]struct{}{}}
	t.byID[id] = h
	return h
}

// update applies one entry of the endpoint list, and returns its host. isNew reports whether update
// added the host, which is not in a pool yet.
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

// effectiveState returns the state that counts for a listed host. A state other than Ready in this
// proxy's own list takes precedence. A ready host is Suspended if operators have suspended it, and
// Draining if it is draining or removed in another proxy's newer list.
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

// removeUnlisted marks all hosts as removed that are not in listed, the IDs of a full list.
func (t *hostTable) removeUnlisted(listed map[string]bool) {
	for id, h := range t.byID {
		if !listed[id] {
			h.setRemoved()
		}
	}
}
