// Package maintenance owns which upstream hosts the operators have taken out, and how a host is taken that comes back. It has no
// I/O and no clock of its own: bans are by uid, hold until they are called back, and outlive the host's place in the list.
package maintenance

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// mostIDs bounds how many uids are remembered as once listed. A fleet of a hundred hosts that is replaced twice a day
// needs three weeks to get there.
const mostIDs = 4096

// StartUncertainty is how long a host that has come back may have started without discovery's word of it: what discovery has to tell
// counts as told after 6 s.
const StartUncertainty = int64(6e9)

// Suspension is a host that is out.
type Suspension struct {
	ID    string `json:"ID"`
	Since int64  `json:"Since"` // when the first call came, in nanoseconds since 1970
}

// StartAfter is when a host that comes back now is to be held to have started, and whether that is a guess which ends after
// Doubt. listed is its latest start as discovery says. Hosts are taken out to be restarted; one of which discovery has not
// told a start since then may have come back cold, and is taken for that until its news would have come.
func (b Suspension) StartAfter(listed, now int64) (start int64, guess bool) {
	if listed >= b.Since {
		return listed, false
	}
	return now, true
}

// leaveOver is the time over which connections leave a host that is out: before a restart that follows soon, and not all in
// one moment.
const leaveOver = time.Second

// MigrationDelay is how long after its host's ban a connection is moved: spread evenly by its id, over all proxies together however few
// each of them holds.
func MigrationDelay(request string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(request))
	return time.Duration(h.Sum32()%1000) * leaveOver / 1000
}

// Registry is the bans, and the uids that a call may name.
type Registry struct {
	banned map[string]int64 // since when
	fleet  map[string]int64 // and those that are out for the whole fleet, by its owner's list
	known  map[string]bool
	order  []string // of known, oldest first
}

// New makes an empty book.
func New() *Registry {
	return &Registry{banned: map[string]int64{}, fleet: map[string]int64{}, known: map[string]bool{}}
}

// HostListed notes that a list has named a host.
func (b *Registry) HostListed(id string) {
	if b.known[id] {
		return
	}
	if len(b.order) >= mostIDs {
		// A banned one is never forgotten: its call back must find it.
		if i := slices.IndexFunc(b.order, func(s string) bool { return !b.Suspended(s) }); i >= 0 {
			delete(b.known, b.order[i])
			b.order = slices.Delete(b.order, i, i+1)
		}
	}
	b.known[id] = true
	b.order = append(b.order, id)
}

// Known tells whether a list has ever named the host.
func (b *Registry) Known(id string) bool { return b.known[id] }

// Set bans a host or ends its ban, and tells whether that changed anything.
func (b *Registry) Set(id string, out bool, now int64) bool {
	if _, is := b.banned[id]; is == out {
		return false
	}
	if out {
		b.HostListed(id)
		b.banned[id] = now
	} else {
		delete(b.banned, id)
	}
	return true
}

// SetFleet takes the list of hosts that are out for the whole fleet, and gives those of which that changes whether they are out. A host is out
// while either word holds: a call at this proxy does not end the fleet's.
func (b *Registry) SetFleet(ids []string, now int64) (changed []string) {
	next := map[string]int64{}
	for _, id := range ids {
		since, was := b.fleet[id]
		if !was {
			since = now
		}
		next[id] = since
	}
	for id := range b.fleet {
		if _, still := next[id]; !still {
			if _, own := b.banned[id]; !own {
				changed = append(changed, id)
			}
		}
	}
	for id := range next {
		if !b.Suspended(id) {
			changed = append(changed, id)
		}
	}
	b.fleet = next
	slices.Sort(changed)
	return changed
}

// IDs is every uid that a call may name, the oldest first.
func (b *Registry) IDs() []string { return slices.Clone(b.order) }

// Suspended tells whether a host is banned.
func (b *Registry) Suspended(id string) bool {
	_, out := b.banned[id]
	_, fleet := b.fleet[id]
	return out || fleet
}

// Suspension is a host's ban, the earlier where there are two.
func (b *Registry) Suspension(id string) Suspension {
	since, own := b.banned[id]
	if at, fleet := b.fleet[id]; fleet && (!own || at < since) {
		since = at
	}
	return Suspension{id, since}
}

// All is every ban that was set at this proxy, sorted.
func (b *Registry) All() []Suspension {
	out := make([]Suspension, 0, len(b.banned))
	for id, since := range b.banned {
		out = append(out, Suspension{id, since})
	}
	slices.SortFunc(out, func(x, y Suspension) int { return strings.Compare(x.ID, y.ID) })
	return out
}
