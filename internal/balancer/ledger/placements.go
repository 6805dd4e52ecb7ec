// Package ledger implements the placement ledger. In a fleet in which each balancer observes only a
// few requests, one balancer, the ledger server, counts the connections of all, and assigns hosts
// on request. The package holds the counts (Placements), the messages by which balancers query and
// report, and the choice of the ledger server (Client). Package balancer decides which host a
// request gets. There is no I/O and no clock here. The counts may be late, incomplete or lost at
// any time, and no request waits for a reply for long.
package ledger

import "slices"

// Time is a time or a duration in nanoseconds, on the caller's clock.
type Time = int64

// UnitsPerConnection is the load of a mean connection in units. Messages carry loads in units.
const UnitsPerConnection = 8

// Limits of what is stored, so that reports of other balancers cannot exhaust the memory.
const (
	maxHosts              = 4096
	maxEntriesPerPeer     = 4096
	maxAssignmentsPerHost = 1024
)

// hostGroup identifies a group at a host.
type hostGroup struct{ host, group uint32 }

// hostPlacements is what all balancers hold at one host.
type hostPlacements struct {
	units        int
	unitsByGroup map[uint32]int
	assignments  []Time // times of assignments, ascending
}

// Placements counts what the balancers of a fleet hold at its hosts, as they reported it to the
// ledger server.
type Placements struct {
	hosts map[uint32]*hostPlacements
	peers map[int]map[hostGroup]int // units by the balancer that reported them
}

// NewPlacements returns empty placements.
func NewPlacements() *Placements {
	return &Placements{hosts: map[uint32]*hostPlacements{}, peers: map[int]map[hostGroup]int{}}
}

// placementsAt returns the placements at a host, and adds the host if it is new. If there are too
// many hosts, it discards all placements: the balancers report all their connections periodically.
func (p *Placements) placementsAt(host uint32) *hostPlacements {
	h := p.hosts[host]
	if h == nil {
		if len(p.hosts) >= maxHosts {
			clear(p.hosts)
			clear(p.peers)
		}
		h = &hostPlacements{unitsByGroup: map[uint32]int{}}
		p.hosts[host] = h
	}
	return h
}

// unitsOf returns the units that a balancer holds, and adds the balancer if it is new.
func (p *Placements) unitsOf(peer int) map[hostGroup]int {
	unitsOfPeer := p.peers[peer]
	if unitsOfPeer == nil {
		unitsOfPeer = map[hostGroup]int{}
		p.peers[peer] = unitsOfPeer
	}
	return unitsOfPeer
}

// add adds units, which may be negative, to a group at the host.
func (h *hostPlacements) add(group uint32, units int) {
	h.units += units
	if h.unitsByGroup[group] += units; h.unitsByGroup[group] <= 0 {
		delete(h.unitsByGroup, group)
	}
}

// Add adds units to what a balancer holds of a group at a host; negative units reduce it. No count
// falls below 0, even if earlier reports were lost. A new entry of a balancer that has
// maxEntriesPerPeer is ignored.
func (p *Placements) Add(peer int, host, group uint32, units int) {
	unitsOfPeer := p.unitsOf(peer)
	key := hostGroup{host, group}
	units = max(-unitsOfPeer[key], units)
	if units == 0 || units > 0 && unitsOfPeer[key] == 0 && len(unitsOfPeer) >= maxEntriesPerPeer {
		return
	}
	h := p.placementsAt(host)
	unitsOfPeer = p.unitsOf(peer) // placementsAt may have discarded all placements
	if unitsOfPeer[key] += units; unitsOfPeer[key] == 0 {
		delete(unitsOfPeer, key)
	}
	h.add(group, units)
}

// RemovePeer removes what a balancer holds, because its process has restarted or because it reports
// everything again.
func (p *Placements) RemovePeer(peer int) {
	for key, units := range p.peers[peer] {
		p.placementsAt(key.host).add(key.group, -units)
	}
	delete(p.peers, peer)
}

// Load returns how many mean connections a host holds and of how many groups, and reports whether
// it holds the given group.
func (p *Placements) Load(host, group uint32) (connections float64, groups int, holdsGroup bool) {
	h := p.hosts[host]
	if h == nil {
		return 0, 0, false
	}
	return float64(h.units) / UnitsPerConnection, len(h.unitsByGroup), h.unitsByGroup[group] > 0
}

// RecordAssignment records that a request was assigned to a host.
func (p *Placements) RecordAssignment(host uint32, now Time) {
	h := p.placementsAt(host)
	if h.assignments = append(h.assignments, now); len(h.assignments) > maxAssignmentsPerHost {
		h.assignments = slices.Delete(h.assignments, 0, maxAssignmentsPerHost/2)
	}
}

// AssignmentsSince returns how many requests were assigned to a host since a time.
func (p *Placements) AssignmentsSince(host uint32, since Time) int {
	h := p.hosts[host]
	if h == nil {
		return 0
	}
	first, _ := slices.BinarySearch(h.assignments, since)
	return len(h.assignments) - first
}
