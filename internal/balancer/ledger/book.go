// Package ledger owns what one balancer keeps for all of a fleet in which each sees only a few requests: how many connections every server holds, of which
// groups, and what was granted to cold ones of late; the messages by which the others ask and tell; and whom to ask. It holds facts: which server a request
// goes to is the decision module's. It does no I/O and reads no clock. What it keeps may be late, torn or lost at any time, and nobody waits for it for long.
package ledger

import "slices"

// Time is nanoseconds on the caller's clock.
type Time = int64

// UnitsPerConnection are loads in eighths of a mean connection, as messages carry them.
const UnitsPerConnection = 8

// Bounds of a book: what others tell must not fill the memory.
const (
	mostServers = 4096
	mostOfPeer  = 4096 // entries
	mostGrants  = 1024 // that are remembered of a server
)

// place is what one balancer holds of a group at a server.
type place struct{ server, group uint32 }

type held struct {
	units  int
	groups map[uint32]int
	grants []Time
}

// Placements is what the fleet holds, as told to one balancer.
type Placements struct {
	servers map[uint32]*held
	peers   map[int]map[place]int
}

// NewPlacements begins with nothing known.
func NewPlacements() *Placements {
	return &Placements{servers: map[uint32]*held{}, peers: map[int]map[place]int{}}
}

func (b *Placements) held(server uint32) *held {
	h := b.servers[server]
	if h == nil {
		if len(b.servers) >= mostServers {
			clear(b.servers)
			clear(b.peers)
		}
		h = &held{groups: map[uint32]int{}}
		b.servers[server] = h
	}
	return h
}

// Add adds to what a balancer holds of a group at a server, or takes from it; nothing goes under 0, whatever was lost on the way.
func (b *Placements) Add(peer int, server, group uint32, units int) {
	p := b.peers[peer]
	if p == nil {
		p = map[place]int{}
		b.peers[peer] = p
	}
	k := place{server, group}
	n := max(-p[k], units)
	if n == 0 || n > 0 && p[k] == 0 && len(p) >= mostOfPeer {
		return
	}
	h := b.held(server)
	if p = b.peers[peer]; p == nil { // the book was full, and begins anew
		p = map[place]int{}
		b.peers[peer] = p
	}
	if p[k] += n; p[k] == 0 {
		delete(p, k)
	}
	h.units += n
	if h.groups[group] += n; h.groups[group] <= 0 {
		delete(h.groups, group)
	}
}

// Forget drops what a balancer holds: its process has begun anew, or it tells all again.
func (b *Placements) Forget(peer int) {
	for k, n := range b.peers[peer] {
		h := b.held(k.server)
		h.units -= n
		if h.groups[k.group] -= n; h.groups[k.group] <= 0 {
			delete(h.groups, k.group)
		}
	}
	delete(b.peers, peer)
}

// Load is how many mean connections a server holds, of how many groups, and whether of this one.
func (b *Placements) Load(server, group uint32) (connections float64, groups int, holds bool) {
	h := b.servers[server]
	if h == nil {
		return 0, 0, false
	}
	return float64(h.units) / UnitsPerConnection, len(h.groups), h.groups[group] > 0
}

// RecordGrant notes that a request was sent to a server, and Granted says how many were since a time.
func (b *Placements) RecordGrant(server uint32, now Time) {
	h := b.held(server)
	if h.grants = append(h.grants, now); len(h.grants) > mostGrants {
		h.grants = slices.Delete(h.grants, 0, mostGrants/2)
	}
}

// GrantsSince is how many requests were sent to a server since a time.
func (b *Placements) GrantsSince(server uint32, since Time) int {
	h := b.servers[server]
	if h == nil {
		return 0
	}
	i, _ := slices.BinarySearch(h.grants, since)
	return len(h.grants) - i
}
