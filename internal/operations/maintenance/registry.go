// Package maintenance records which upstream hosts the operators have suspended, and determines
// when a resumed host counts as started. It does no I/O and reads no clock. A suspension
// belongs to a host ID, lasts until a call ends it, and outlives the host's entry in the list.
package maintenance

import (
	"slices"
	"strings"
)

// maxKnownHosts bounds how many host IDs are remembered as once listed.
const maxKnownHosts = 4096

// Registry holds the suspensions and the host IDs that a call may name.
type Registry struct {
	suspendedLocally   map[string]int64 // by calls at this proxy; start in Unix nanoseconds
	suspendedFleetWide map[string]int64 // by the fleet's list; start in Unix nanoseconds
	known              map[string]bool
	knownOrder         []string // oldest first
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{suspendedLocally: map[string]int64{}, suspendedFleetWide: map[string]int64{}, known: map[string]bool{}}
}

// HostListed records that a list has named the host. Past maxKnownHosts the oldest host that is not
// suspended is forgotten.
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

// forgetOldestResumed forgets the oldest host that is not suspended. Suspended hosts stay known, so
// that a call can resume them.
func (r *Registry) forgetOldestResumed() {
	if i := slices.IndexFunc(r.knownOrder, func(id string) bool { return !r.Suspended(id) }); i >= 0 {
		delete(r.known, r.knownOrder[i])
		r.knownOrder = slices.Delete(r.knownOrder, i, i+1)
	}
}

// Known reports whether a list has named the host and it is still remembered.
func (r *Registry) Known(id string) bool { return r.known[id] }

// KnownHosts returns the IDs of the hosts that a call may name, the oldest first.
func (r *Registry) KnownHosts() []string { return slices.Clone(r.knownOrder) }

// SetSuspended suspends a host at this proxy, or ends its suspension here, from the time now in
// Unix nanoseconds. It reports whether that changed anything.
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
// resumed by the change, sorted. A host is suspended while either list has it: a call at this proxy
// does not end a fleet-wide suspension.
func (r *Registry) SetFleetSuspensions(ids []string, now int64) (changed []string) {
	next := map[string]int64{}
	for _, id := range ids {
		since, wasSuspended := r.suspendedFleetWide[id]
		if !wasSuspended {
			since = now
		}
		next[id] = since
	}
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

// Suspension returns a host's suspension, the earlier one if the host is suspended both at this
// proxy and fleet-wide. Since is zero if the host is not suspended.
func (r *Registry) Suspension(id string) Suspension {
	since, locally := r.suspendedLocally[id]
	if at, fleetWide := r.suspendedFleetWide[id]; fleetWide && (!locally || at < since) {
		since = at
	}
	return Suspension{id, since}
}

// LocalSuspensions returns the suspensions that were set at this proxy, sorted by host ID.
func (r *Registry) LocalSuspensions() []Suspension {
	all := make([]Suspension, 0, len(r.suspendedLocally))
	for id, since := range r.suspendedLocally {
		all = append(all, Suspension{id, since})
	}
	slices.SortFunc(all, func(x, y Suspension) int { return strings.Compare(x.ID, y.ID) })
	return all
}
