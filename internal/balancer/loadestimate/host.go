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
	// within this time before a report counts in addition to the report. It may count twice, which
	// spreads placements. If it did not count at all, all balancers would send requests to the host
	// that looks empty.
	ReportDelay = int64(900e6)
	// staleAfter is the age from which a report loses weight, and fadeTime the time constant from
	// then on, in nanoseconds.
	staleAfter = float64(3e9)
	fadeTime   = float64(6e9)
	// maxAdditions limits the memory for one host. Beyond it, the oldest additions are merged.
	maxAdditions = 64
)

// addition is load that no report includes yet.
type addition struct {
	addedAt int64
	load    float64 // in the caller's unit
}

// Host estimates the load of one upstream host. The zero value has no report.
type Host struct {
	reported, queue float64 // load and queue length of the last report
	changedAt       int64   // when the reported values last changed; 0 if there was no report
	reportedAt      int64   // when the last report arrived; 0 if there was none
	additions       []addition
}

// Report records a load report: the requested load relative to the host's capacity, and the number
// of requests that wait there. A load that is negative, infinite or not a number is ignored; a
// queue that is negative or not a number counts as 0. A report with the same values again counts as
// the same sample, whose age it does not reset.
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

// AddLoad records that this balancer's own load at the host has grown by load, in the caller's
// unit. A negative load means that it has shrunk.
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

// Load returns the estimated load at now. fullLoad is the load, in the caller's unit, that fills a
// host, or 0 if it is unknown. defaultLoad is the estimate for a host without reports. As a report
// ages, the estimate approaches defaultLoad.
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

// HasRecentReport reports whether the reported values are recent enough to use.
func (h *Host) HasRecentReport(now int64) bool {
	return h.changedAt > 0 && float64(now-h.changedAt) < staleAfter+fadeTime
}
