// Package ledger implements the placement ledger. If there are many balancers, each observes only a
// few requests. One of them, the ledger server, therefore counts the connections of all by host and
// group, and assigns hosts on request. A group is a set of connections that cost a host less if they
// are together on it. The package holds the counts (Placements), the messages by which balancers
// query and report, and the choice of the ledger server (Client). Package balancer decides which
// host a request gets. There is no I/O and no clock here. The counts may be late, incomplete or lost
// at any time, and no request waits for a reply for long.
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

// hostGroup identifies a group at a host. host is the lower 32 bits of the hash of the host's ID, and
// group the result of GroupID, here and in all functions of this file.
type hostGroup struct{ host, group uint32 }

// hostPlacements is the load of the connections that all balancers hold at one host.
type hostPlacements struct {
	units        int            // of all groups
	unitsByGroup map[uint32]int // by group; only values above 0
	assignments  []Time         // times of assignments, ascending
}

// Placements counts the load of the connections that all balancers hold at the hosts, as they
// reported it to the ledger server.
type Placements struct {
	hosts map[uint32]*hostPlacements // by host
	peers map[int]map[hostGroup]int  // units by the number of the balancer that reported them
}

// NewPlacements returns empty placements.
func NewPlacements() *Placements {
	return &Placements{hosts: map[uint32]*hostPlacements{}, peers: map[int]map[hostGroup]int{}}
}

// placementsAt returns the placements at a host, and adds the host if it is new. If there are
// maxHosts others already, it discards all placements: the balancers report all their connections
// periodically.
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

// unitsOf returns the units that a balancer holds by host and group, and adds the balancer if it is
// new. The caller may change the map.
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

// Add adds units to the load that the balancer with number peer holds of a group at a host; negative
// units reduce it. No load falls below 0, even if earlier reports were lost. A new group at a host is
// ignored if the balancer has maxEntriesPerPeer already.
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

// RemovePeer removes all loads of a balancer, because its process has restarted or because it reports
// all connections again.
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

// RecordAssignment records that a request was assigned to a host. If there are more than
// maxAssignmentsPerHost, the oldest half is discarded.
func (p *Placements) RecordAssignment(host uint32, now Time) {
	h := p.placementsAt(host)
	if h.assignments = append(h.assignments, now); len(h.assignments) > maxAssignmentsPerHost {
		h.assignments = slices.Delete(h.assignments, 0, maxAssignmentsPerHost/2)
	}
}

// AssignmentsSince returns how many requests were assigned to a host at or after a time.
func (p *Placements) AssignmentsSince(host uint32, since Time) int {
	h := p.hosts[host]
	if h == nil {
		return 0
	}
	first, _ := slices.BinarySearch(h.assignments, since)
	return len(h.assignments) - first
}
