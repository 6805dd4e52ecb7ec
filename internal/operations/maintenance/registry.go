// Package maintenance owns which upstream hosts the operators have suspended, and when a host that is resumed counts as started. It has no I/O
// and no clock of its own. Suspensions are by host ID, last until they are ended by a call, and outlive the host's entry in the list.
package maintenance

import (
	"slices"
	"strings"
)

// maxKnownHosts bounds how many ids are remembered as once listed.
const maxKnownHosts = 4096

// Registry is the suspensions, and the ids that a call may name.
type Registry struct {
	suspendedLocally   map[string]int64 // by a call at this proxy: since when, Unix nanoseconds
	suspendedFleetWide map[string]int64 // by the fleet's list: since when, Unix nanoseconds
	known              map[string]bool
	knownOrder         []string // oldest first
}

// New makes an empty registry.
func New() *Registry {
	return &Registry{suspendedLocally: map[string]int64{}, suspendedFleetWide: map[string]int64{}, known: map[string]bool{}}
}

// HostListed records that a list has named a host.
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

// forgetOldestResumed forgets the oldest host that is not suspended: a call to resume must find one that is.
func (r *Registry) forgetOldestResumed() {
	if i := slices.IndexFunc(r.knownOrder, func(id string) bool { return !r.Suspended(id) }); i >= 0 {
		delete(r.known, r.knownOrder[i])
		r.knownOrder = slices.Delete(r.knownOrder, i, i+1)
	}
}

// Known reports whether a list has ever named the host.
func (r *Registry) Known(id string) bool { return r.known[id] }

// KnownHosts is every host that a call may name, the oldest first.
func (r *Registry) KnownHosts() []string { return slices.Clone(r.knownOrder) }

// SetSuspended suspends a host at this proxy or resumes it, and reports whether that changed anything.
func (r *Registry) SetSuspended(id string, suspended bool, now int64) (changed bool) {
	if _, is := r.suspendedLocally[id]; is == suspended {
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

// SetFleetSuspensions replaces the list of hosts that are suspended fleet-wide, and gives the hosts whose suspension begins or ends by that. A host
// is suspended while either list has it: a call at this proxy does not resume it for the fleet.
func (r *Registry) SetFleetSuspensions(ids []string, now int64) (changed []string) {
	next := map[string]int64{}
	for _, id := range ids {
		since, was := r.suspendedFleetWide[id]
		if !was {
			since = now
		}
		next[id] = since
	}
	for id := range r.suspendedFleetWide {
		_, still := next[id]
		if _, here := r.suspendedLocally[id]; !still && !here {
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

// Suspended reports whether a host is suspended, here or fleet-wide.
func (r *Registry) Suspended(id string) bool {
	_, here := r.suspendedLocally[id]
	_, fleet := r.suspendedFleetWide[id]
	return here || fleet
}

// Suspension is a host's suspension, the earlier where there are two.
func (r *Registry) Suspension(id string) Suspension {
	since, here := r.suspendedLocally[id]
	if at, fleet := r.suspendedFleetWide[id]; fleet && (!here || at < since) {
		since = at
	}
	return Suspension{id, since}
}

// LocalSuspensions is every suspension that was set at this proxy, sorted by id.
func (r *Registry) LocalSuspensions() []Suspension {
	all := make([]Suspension, 0, len(r.suspendedLocally))
	for id, since := range r.suspendedLocally {
		all = append(all, Suspension{id, since})
	}
	slices.SortFunc(all, func(x, y Suspension) int { return strings.Compare(x.ID, y.ID) })
	return all
}
