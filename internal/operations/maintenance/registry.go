// Package maintenance records which upstream hosts the operators have suspended, and determines
// when a resumed host counts as started. It does no I/O and reads no clock. A suspended host gets no new
// requests. A suspension belongs to a host ID, lasts until an operator's call ends it, and outlives the
// host's entry in the endpoint list.
package maintenance

import (
	"slices"
	"strings"
)

// maxKnownHosts limits the number of host IDs that are remembered after an endpoint list has named them.
const maxKnownHosts = 4096

// Registry holds the suspensions and the host IDs that an operator's call may name. It is not safe for
// concurrent use.
type Registry struct {
	suspendedLocally   map[string]int64 // start (Unix nanoseconds) by host ID, of suspensions by calls at this proxy
	suspendedFleetWide map[string]int64 // start (Unix nanoseconds) by host ID, of suspensions at all proxies
	known              map[string]bool  // by host ID
	knownOrder         []string         // the IDs in known, in the order in which they were added
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{suspendedLocally: map[string]int64{}, suspendedFleetWide: map[string]int64{}, known: map[string]bool{}}
}

// HostListed records that an endpoint list has named the host id. If maxKnownHosts are known, it forgets
// the one added first that is not suspended.
func (r *Registry) HostListed(id string) {
	if r.known[id] {
		return
	}
	if len(r.knownOrder) >= maxKnownHosts {
		r.forgetOldestResumed()
	}
	r.known[id] = true
	r.knownOrder = append(r.knownOrder, id)
}

// forgetOldestResumed forgets the host that was added first of those that are not suspended. Suspended
// hosts stay known, so that a call can resume them.
func (r *Registry) forgetOldestResumed() {
	if i := slices.IndexFunc(r.knownOrder, func(id string) bool { return !r.Suspended(id) }); i >= 0 {
		delete(r.known, r.knownOrder[i])
		r.knownOrder = slices.Delete(r.knownOrder, i, i+1)
	}
}

// Known reports whether an endpoint list has named the host and the host is still remembered.
func (r *Registry) Known(id string) bool { return r.known[id] }

// KnownHosts returns the IDs of the hosts that a call may name, the oldest first.
func (r *Registry) KnownHosts() []string { return slices.Clone(r.knownOrder) }

// SetSuspended suspends the host id at this proxy from the time now, in Unix nanoseconds, on. If
// suspended is false, it ends the host's suspension at this proxy. It reports whether that changed
// anything. A suspended host becomes known.
func (r *Registry) SetSuspended(id string, suspended bool, now int64) (changed bool) {
	if _, wasSuspended := r.suspendedLocally[id]; wasSuspended == suspended {
		return false
	}
	if suspended {
		r.HostListed(id)
		r.suspendedLocally[id] = now
	} else {
		delete(r.suspendedLocally, id)
	}
	return true
}

// SetFleetSuspensions replaces the list of hosts that are suspended fleet-wide. now, in Unix
// nanoseconds, is when new suspensions start. It returns the IDs of the hosts that are suspended or
// resumed by the change, sorted. A host is suspended while it is suspended at this proxy or fleet-wide:
// a call at this proxy does not end a fleet-wide suspension.
func (r *Registry) SetFleetSuspensions(ids []string, now int64) (changed []string) {
	next := map[string]int64{}
	for _, id := range ids {
		since, wasSuspended := r.suspendedFleetWide[id]
		if !wasSuspended {
			since = now
		}
		next[id] = since
	}
	return r.replaceFleetWide(next)
}

// RestoreFleetSuspensions replaces the list of hosts that are suspended fleet-wide by the list of another
// process of this proxy, which FleetSuspensions returned there. It returns the same as
// SetFleetSuspensions. The hosts become known.
func (r *Registry) RestoreFleetSuspensions(suspensions []Suspension) (changed []string) {
	next := map[string]int64{}
	for _, suspension := range suspensions {
		r.HostListed(suspension.ID)
		next[suspension.ID] = suspension.Since
	}
	return r.replaceFleetWide(next)
}

// replaceFleetWide makes next the fleet-wide suspensions. It returns the same as SetFleetSuspensions.
func (r *Registry) replaceFleetWide(next map[string]int64) (changed []string) {
	for id := range r.suspendedFleetWide {
		_, remains := next[id]
		if _, locally := r.suspendedLocally[id]; !remains && !locally {
			changed = append(changed, id)
		}
	}
	for id := range next {
		if !r.Suspended(id) {
			changed = append(changed, id)
		}
	}
	r.suspendedFleetWide = next
	slices.Sort(changed)
	return changed
}

// Suspended reports whether a host is suspended, at this proxy or fleet-wide.
func (r *Registry) Suspended(id string) bool {
	_, locally := r.suspendedLocally[id]
	_, fleetWide := r.suspendedFleetWide[id]
	return locally || fleetWide
}

// Suspension returns the suspension of the host id, the earlier one if the host is suspended both at
// this proxy and fleet-wide. Suspension.Since is zero if the host is not suspended.
func (r *Registry) Suspension(id string) Suspension {
	since, locally := r.suspendedLocally[id]
	if at, fleetWide := r.suspendedFleetWide[id]; fleetWide && (!locally || at < since) {
		since = at
	}
	return Suspension{id, since}
}

// LocalSuspensions returns the suspensions that were set at this proxy, sorted by host ID.
func (r *Registry) LocalSuspensions() []Suspension { return sortedSuspensions(r.suspendedLocally) }

// FleetSuspensions returns the suspensions that were set fleet-wide, sorted by host ID.
func (r *Registry) FleetSuspensions() []Suspension { return sortedSuspensions(r.suspendedFleetWide) }

// sortedSuspensions returns suspensions, whose start is given by host ID, sorted by host ID.
func sortedSuspensions(since map[string]int64) []Suspension {
	all := make([]Suspension, 0, len(since))
	for id, at := range since {
		all = append(all, Suspension{id, at})
	}
	slices.SortFunc(all, func(x, y Suspension) int { return strings.Compare(x.ID, y.ID) })
	return all
}
