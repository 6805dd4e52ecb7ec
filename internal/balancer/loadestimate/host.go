// Package loadestimate estimates the current load of an upstream host from its load reports, which
// arrive late and irregularly and may freeze, and from this balancer's own connections that no
// report can include yet. It makes no decisions, does no I/O and reads no clock: time comes with
// each call.
//
// Loads are fractions of a host's capacity: 1 is full. Times are nanoseconds on the caller's clock.
package loadestimate

import "math"

const (
	// ReportDelay is the assumed age of a report on arrival, in nanoseconds. Load that was added
	// within this time before a report counts in addition to the report. Such load may count twice,
	// which spreads placements. If it did not count at all, all balancers would send requests to the
	// host that looks empty.
	ReportDelay = int64(900e6)
	// staleAfter is the age in nanoseconds from which a report loses weight in the estimate.
	staleAfter = float64(3e9)
	// fadeTime is the time constant in nanoseconds with which an older report loses weight.
	fadeTime = float64(6e9)
	// maxAdditions is the largest number of additions for one host, to limit its memory. When one
	// more is added, the oldest two are merged.
	maxAdditions = 64
)

// addition is load that this balancer has added to the host and that no report includes yet.
type addition struct {
	addedAt int64
	load    float64 // in the caller's unit, as in Host.AddLoad; negative if load was removed
}

// Host estimates the load of one upstream host. The zero value has no report.
type Host struct {
	reported, queue float64    // load and queue length of the last report; queue only shows a change
	changedAt       int64      // when the reported values last changed; 0 if there was no report
	reportedAt      int64      // when the last report arrived; 0 if there was none
	additions       []addition // oldest first, at most maxAdditions
}

// Report records a load report. load is the host's load relative to its capacity, and queue the
// number of requests that wait at the host. A report whose load is negative, infinite or not a
// number is ignored; a queue that is negative or not a number counts as 0. A report with the same
// values as the last one counts as the same sample and does not reset its age, since the host's
// reports may be frozen.
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

// Reset discards all state, for a host that has restarted.
func (h *Host) Reset() { *h = Host{} }

// LastReportTime returns when the last report arrived, or 0 if there was none.
func (h *Host) LastReportTime() int64 { return h.reportedAt }

// AddLoad records that this balancer's own load at the host has grown by load, in any unit that the
// caller also uses for the argument fullLoad of Load. A negative load means that it has shrunk.
func (h *Host) AddLoad(now int64, load float64) {
	h.prune()
	if len(h.additions) >= maxAdditions {
		h.additions[1].load += h.additions[0].load
		h.additions = h.additions[:copy(h.additions, h.additions[1:])]
	}
	h.additions = append(h.additions, addition{now, load})
}

// prune removes the additions that the last report includes.
func (h *Host) prune() {
	reported := 0
	for reported < len(h.additions) && h.additions[reported].addedAt < h.changedAt-ReportDelay {
		reported++
	}
	if reported > 0 {
		h.additions = h.additions[:copy(h.additions, h.additions[reported:])]
	}
}

// Load returns the estimated load at now as a fraction of the host's capacity. fullLoad is the load
// that fills a host, in the unit of AddLoad. It is 0 if it is unknown; loads recorded by AddLoad are
// then left out. defaultLoad is the estimate for a host without reports. As a report ages, the
// estimate approaches defaultLoad.
func (h *Host) Load(now int64, fullLoad, defaultLoad float64) float64 {
	load := defaultLoad
	if h.changedAt > 0 {
		confidence := math.Exp(-max(0, float64(now-h.changedAt)-staleAfter) / fadeTime)
		load = defaultLoad + (h.reported-defaultLoad)*confidence
	}
	if fullLoad > 0 {
		for _, a := range h.additions {
			load += a.load / fullLoad
		}
	}
	return max(0, load)
}

// HasRecentReport reports whether the reported values last changed less than staleAfter+fadeTime
// ago.
func (h *Host) HasRecentReport(now int64) bool {
	return h.changedAt > 0 && float64(now-h.changedAt) < staleAfter+fadeTime
}
