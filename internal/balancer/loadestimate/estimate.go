// Package loadestimate says how loaded an upstream host is now, from what was told of it a while ago: load reports that come late,
// are refreshed now and then and may freeze, and the balancer's own connections that no report can hold yet. It owns what is
// remembered of each host for that. It decides nothing, does no I/O and reads no clock: time comes with each call.
//
// Loads are shares of what a host can do: 1 is full. Times are nanoseconds on the caller's clock.
package loadestimate

import "math"

const (
	// ReportDelay is how old a report is taken to be as it comes: half of a slow refresh and the way. What this balancer placed within
	// it before the report is counted on top: counted twice now and then, which spreads placements, rather than not at all,
	// which sends everyone to the host that looks empty.
	ReportDelay = int64(900e6)
	// fresh is how old a report may grow before it begins to count for less, and fades how fast it does from then on.
	fresh = float64(3e9)
	fades = float64(6e9)
	// kept bounds what is remembered of one host's changes: the oldest are merged.
	kept = 64
)

type change struct {
	at   int64
	load float64
}

// Host is one upstream host's load as far as it is known. The zero value knows nothing.
type Host struct {
	x, queue float64
	at       int64 // when a report last brought something new; 0: never
	last     int64 // when one last came
	changes  []change
}

// Report takes a load report: the load asked for over what the host can do, and how many requests wait there. Figures that
// can't be are passed over. The same figure again is the same sample: it has grown older, not been confirmed.
func (h *Host) Report(now int64, x, queue float64) {
	if !(x >= 0) || math.IsInf(x, 0) {
		return
	}
	if !(queue >= 0) {
		queue = 0
	}
	h.last = now
	if h.at > 0 && x == h.x && queue == h.queue {
		return
	}
	h.x, h.queue, h.at = x, queue, now
	h.prune()
}

// Reset drops what is known, as at a fresh start of the host's.
func (h *Host) Reset() { *h = Host{} }

// LastReport is when a report last came; 0: never.
func (h *Host) LastReport() int64 { return h.last }

// AddLoad notes that this balancer's own load there has grown by so much, or shrunk, in the caller's unit of load.
func (h *Host) AddLoad(now int64, load float64) {
	h.prune()
	if n := len(h.changes); n >= kept {
		h.changes[1].load += h.changes[0].load
		h.changes = h.changes[:copy(h.changes, h.changes[1:])]
	}
	h.changes = append(h.changes, change{now, load})
}

// prune drops changes that the last report holds.
func (h *Host) prune() {
	i := 0
	for i < len(h.changes) && h.changes[i].at < h.at-ReportDelay {
		i++
	}
	if i > 0 {
		h.changes = h.changes[:copy(h.changes, h.changes[i:])]
	}
}

// Load is the load now. full is how much load, in the caller's unit, fills a host; usual is the load that a host of which
// nothing is known has. A report fades into usual as it ages, without a cliff.
func (h *Host) Load(now int64, full, usual float64) float64 {
	x, sure := usual, 0.0
	if h.at > 0 {
		sure = math.Exp(-max(0, float64(now-h.at)-fresh) / fades)
		x = usual + (h.x-usual)*sure
	}
	if full > 0 {
		for _, c := range h.changes {
			x += c.load / full
		}
	}
	return max(0, x)
}

// Known tells whether anything is known, and not too old to go by.
func (h *Host) Known(now int64) bool { return h.at > 0 && float64(now-h.at) < fresh+fades }
