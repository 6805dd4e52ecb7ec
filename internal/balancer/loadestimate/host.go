// Package loadestimate estimates how loaded an upstream host is now, from load reports that come late, are
// refreshed now and then and may freeze, and from this balancer's own connections that no report can hold
// yet. It decides nothing, does no I/O and reads no clock: time comes with each call.
//
// Loads are parts of what a host can do: 1 is full. Times are nanoseconds on the caller's clock.
package loadestimate

import "math"

const (
	// ReportDelay is how old a report is taken to be as it comes, in nanoseconds. Load that was added within
	// it before the report is counted on top: it may count twice, which spreads placements, but never not at
	// all, which would send everyone to the host that looks empty.
	ReportDelay = int64(900e6)
	// staleAfter is the age from which a report counts for less, and fadeTime the time constant from then on.
	staleAfter = float64(3e9)
	fadeTime   = float64(6e9)
	// maxAdditions bounds the memory for one host: the oldest are merged.
	maxAdditions = 64
)

// addition is load that no report holds yet.
type addition struct {
	addedAt int64
	load    float64 // in the caller's unit
}

// Host is the load of one upstream host as far as it is known. The zero value knows nothing.
type Host struct {
	reported, queue float64
	changedAt       int64 // when a report last brought another figure; 0: never
	reportedAt      int64 // when a report last came; 0: never
	additions       []addition
}

// Report takes a load report: the requested load over the host's capacity, and how many requests wait there.
// A load that is no finite number above or at 0 is ignored, and such a queue counts as 0. The same figures
// again are the same sample: it has grown older, not been confirmed.
func (h *Host) Report(now int64, load, queue float64) {
	if !(load >= 0) || math.IsInf(load, 0) {
		return
	}
	if !(queue >= 0) {
		queue = 0
	}
	h.reportedAt = now
	if h.changedAt > 0 && load == h.reported && queue == h.queue {
		return
	}
	h.reported, h.queue, h.changedAt = load, queue, now
	h.prune()
}

// Reset forgets all, as the host has restarted.
func (h *Host) Reset() { *h = Host{} }

// LastReportTime is when a report last came; 0: never.
func (h *Host) LastReportTime() int64 { return h.reportedAt }

// AddLoad notes that this balancer's own load at the host has grown, or shrunk, by so much in the caller's
// unit.
func (h *Host) AddLoad(now int64, load float64) {
	h.prune()
	if len(h.additions) >= maxAdditions {
		h.additions[1].load += h.additions[0].load
		h.additions = h.additions[:copy(h.additions, h.additions[1:])]
	}
	h.additions = append(h.additions, addition{now, load})
}

// prune drops what the last report holds.
func (h *Host) prune() {
	reported := 0
	for reported < len(h.additions) && h.additions[reported].addedAt < h.changedAt-ReportDelay {
		reported++
	}
	if reported > 0 {
		h.additions = h.additions[:copy(h.additions, h.additions[reported:])]
	}
}

// Load is the load now. full is how much load in the caller's unit fills a host, 0: unknown; usual is the
// load of a host of which nothing is known. A report fades into usual as it ages.
func (h *Host) Load(now int64, full, usual float64) float64 {
	load := usual
	if h.changedAt > 0 {
		confidence := math.Exp(-max(0, float64(now-h.changedAt)-staleAfter) / fadeTime)
		load = usual + (h.reported-usual)*confidence
	}
	if full > 0 {
		for _, a := range h.additions {
			load += a.load / full
		}
	}
	return max(0, load)
}

// HasRecentReport reports whether a report came that is not too old to go by.
func (h *Host) HasRecentReport(now int64) bool {
	return h.changedAt > 0 && float64(now-h.changedAt) < staleAfter+fadeTime
}
