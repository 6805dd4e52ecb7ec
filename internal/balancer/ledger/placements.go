// Package ledger is the placement ledger: one balancer, the ledger server, counts the connections of a fleet
// in which each balancer sees only a few requests, and assigns hosts on request. The package owns what is
// counted (Placements), the messages by which balancers query and report, and the choice of ledger server
// (Client). Which host a request gets is decided in package balancer. There is no I/O and no clock here. What
// is counted may be late, incomplete or lost at any time, and no request waits for it for long.
package ledger

import "slices"

// Time is nanoseconds on the caller's clock.
type Time = int64

// UnitsPerConnection is how many units of load a mean connection is; messages carry loads in units.
const UnitsPerConnection = 8

// Bounds, so that what others report cannot fill the memory.
const (
	maxHosts              = 4096
	maxEntriesPerPeer     = 4096
	maxAssignmentsPerHost = 1024
)

// hostGroup is a group at a host.
type hostGroup struct{ host, group uint32 }

// hostPlacements is what all balancers hold at a host.
type hostPlacements struct {
	units        int
	unitsByGroup map[uint32]int
	assignments  []Time // ascending
}

// Placements is what the balancers of a fleet hold at its hosts, as they reported it to the ledger server.
type Placements struct {
	hosts map[uint32]*hostPlacements
	peers map[int]map[hostGroup]int // units, by who reported them
}

// NewPlacements makes empty placements.
func NewPlacements() *Placements {
	return &Placements{hosts: map[uint32]*hostPlacements{}, peers: map[int]map[hostGroup]int{}}
}

// placementsAt gives the placements placementsAt a host. Where there are too many hosts all is forgotten: the balancers report
// all their connections periodically.
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

func (p *Placements) unitsOf(peer int) map[hostGroup]int {
	unitsOfPeer := p.peers[peer]
	if unitsOfPeer == nil {
		unitsOfPeer = map[hostGroup]int{}
		p.peers[peer] = unitsOfPeer
	}
	return unitsOfPeer
}

func (h *hostPlacements) add(group uint32, units int) {
	h.units += units
	if h.unitsByGroup[group] += units; h.unitsByGroup[group] <= 0 {
		delete(h.unitsByGroup, group)
	}
}

// Add adds units to what a balancer holds of a group at a host, or takes them back where they are negative.
// No count goes below 0, whatever was lost on the way.
func (p *Placements) Add(peer int, host, group uint32, units int) {
	unitsOfPeer := p.unitsOf(peer)
	k := hostGroup{host, group}
	units = max(-unitsOfPeer[k], units)
	if units == 0 || units > 0 && unitsOfPeer[k] == 0 && len(unitsOfPeer) >= maxEntriesPerPeer {
		return
	}
	h := p.placementsAt(host)
	unitsOfPeer = p.unitsOf(peer) // at may have forgotten all
	if unitsOfPeer[k] += units; unitsOfPeer[k] == 0 {
		delete(unitsOfPeer, k)
	}
	h.add(group, units)
}

// RemovePeer drops what a balancer holds: its process has restarted, or it reports all again.
func (p *Placements) RemovePeer(peer int) {
	for k, units := range p.peers[peer] {
		p.placementsAt(k.host).add(k.group, -units)
	}
	delete(p.peers, peer)
}

// Load is how many mean connections a host holds, of how many groups, and whether of this one.
func (p *Placements) Load(host, group uint32) (connections float64, groups int, holds bool) {
	h := p.hosts[host]
	if h == nil {
		return 0, 0, false
	}
	return float64(h.units) / UnitsPerConnection, len(h.unitsByGroup), h.unitsByGroup[group] > 0
}

// RecordAssignment notes that a request was assigned to a host.
func (p *Placements) RecordAssignment(host uint32, now Time) {
	h := p.placementsAt(host)
	if h.assignments = append(h.assignments, now); len(h.assignments) > maxAssignmentsPerHost {
		h.assignments = slices.Delete(h.assignments, 0, maxAssignmentsPerHost/2)
	}
}

// AssignmentsSince is how many requests were assigned to a host since a time.
func (p *Placements) AssignmentsSince(host uint32, since Time) int {
	h := p.hosts[host]
	if h == nil {
		return 0
	}
	first, _ := slices.BinarySearch(h.assignments, since)
	return len(h.assignments) - first
}
