package balancer

import "math"

// Bounds of the values that Restore accepts, so that a corrupt snapshot cannot upset the decisions:
// of rates, costs, scores and delays, and of slow start tokens.
const (
	maxRestoredValue  = 1e15
	maxRestoredTokens = 1e6
)

// Snapshot is the state, besides the endpoint list, that a process of a balancer passes on to the
// next one. It contains observations with their times, so that they age as usual.
type Snapshot struct {
	Started   Time           `json:"Started"`   // first event of the first process (traffic.observedSince)
	RateAt    Time           `json:"RateAt"`    // time of Rate and Fresh (traffic.fadedAt)
	Rate      float64        `json:"Rate"`      // connections that end, per second (traffic.endRate)
	Fresh     float64        `json:"Fresh"`     // fading sum of requests (traffic.freshRequests)
	MeanCost  float64        `json:"MeanCost"`  // cost of a mean connection (connectionCosts.mean)
	ClassCost []float64      `json:"ClassCost"` // the same for each class (connectionCosts.byClass)
	Servers   []HostSnapshot `json:"Servers"`   // the hosts
}

// HostSnapshot is the state of one host in a Snapshot.
type HostSnapshot struct {
	ID       string  `json:"ID"`
	Since    Time    `json:"Since"`    // its latest start
	Fails    int     `json:"Fails"`    // consecutiveFailures of its ejection
	Until    Time    `json:"Until"`    // end of its last ejection; 0 if there was none
	FailedAt Time    `json:"FailedAt"` // time of the last counted failure
	Ill      float64 `json:"Ill"`      // error score as of IllAt, 0 (no errors) to 1
	Delay    float64 `json:"Delay"`    // message delay as of DelayAt, in shortest message latency objectives
	IllAt    Time    `json:"IllAt"`
	DelayAt  Time    `json:"DelayAt"`
	Tokens   float64 `json:"Tokens"` // slow start budget as of TokensAt, in mean connections
	TokensAt Time    `json:"TokensAt"`
	Passed   Time    `json:"Passed"` // until when the host counts as full (host.fullUntil)
}

// Snapshot returns the current state. If yieldBudgets is true, what is left of the hosts' slow start
// budgets passes to the process that restores the snapshot, and this balancer places no more
// connections by them: the two processes of a hot restart are one balancer with one budget.
func (b *Balancer) Snapshot(yieldBudgets bool) Snapshot {
	t := &b.traffic
	s := Snapshot{Started: t.observedSince, RateAt: t.fadedAt, Rate: t.endRate, Fresh: t.freshRequests,
		MeanCost: b.costs.mean, ClassCost: append([]float64(nil), b.costs.byClass...)}
	for _, h := range b.hosts {
		s.Servers = append(s.Servers, h.snapshot())
		if yieldBudgets {
			h.slowStart.tokens = math.Inf(-1)
		}
	}
	return s
}

// snapshot returns the state of the host.
func (h *host) snapshot() HostSnapshot {
	return HostSnapshot{ID: h.hostID, Since: h.startedAt,
		Fails: h.ejection.consecutiveFailures, Until: h.ejection.until, FailedAt: h.ejection.failedAt,
		Ill: h.errors.score, IllAt: h.errors.updatedAt,
		Delay: h.messages.delay, DelayAt: h.messages.observedAt,
		Tokens: max(0, h.slowStart.tokens), TokensAt: h.slowStart.filledAt, Passed: h.fullUntil}
}

// Restore applies the snapshot of another process of this balancer. It ignores hosts that are
// unknown or have restarted since, times in the future, and implausible values.
func (b *Balancer) Restore(now Time, s Snapshot) {
	b.beginEvent(now)
	t := &b.traffic
	if s.Started > 0 && validTimes(now, s.Started, s.RateAt) && validValues(s.Rate, s.Fresh, s.MeanCost) {
		t.observedSince, t.fadedAt, t.endRate, t.freshRequests = s.Started, s.RateAt, s.Rate, s.Fresh
		if s.MeanCost > 0 && len(s.ClassCost) == len(b.costs.byClass) && validValues(s.ClassCost...) {
			b.costs.mean = s.MeanCost
			copy(b.costs.byClass, s.ClassCost)
		}
	}
	for i := range s.Servers {
		saved := &s.Servers[i]
		if h := b.byID[saved.ID]; h != nil && h.startedAt == saved.Since && b.plausibleHost(saved) {
			h.restore(saved)
		}
	}
}

// plausibleHost reports whether the snapshot of a host has plausible values.
func (b *Balancer) plausibleHost(saved *HostSnapshot) bool {
	return saved.Fails >= 0 && validTimes(b.now, saved.FailedAt, saved.IllAt, saved.DelayAt, saved.TokensAt) &&
		validValues(saved.Ill, saved.Delay) && !math.IsNaN(saved.Tokens) && saved.Tokens <= maxRestoredTokens &&
		saved.Until <= b.now+b.ejection.max && saved.Passed <= b.now+b.retryStorm.longestObjective
}

// restore applies the snapshot of the host, for which plausibleHost must have reported true.
func (h *host) restore(saved *HostSnapshot) {
	h.ejection.consecutiveFailures, h.ejection.until, h.ejection.failedAt = saved.Fails, saved.Until, saved.FailedAt
	h.errors = errorScore{score: min(1, saved.Ill), updatedAt: saved.IllAt}
	h.messages.delay, h.messages.observedAt = saved.Delay, saved.DelayAt
	h.fullUntil = saved.Passed
	h.slowStart = slowStartBudget{tokens: max(0, saved.Tokens), filledAt: max(saved.TokensAt, saved.Since)}
}

// validTimes reports whether no time is negative or after now.
func validTimes(now Time, times ...Time) bool {
	for _, t := range times {
		if t < 0 || t > now {
			return false
		}
	}
	return true
}

// validValues reports whether all values are numbers from 0 to maxRestoredValue.
func validValues(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || v < 0 || v > maxRestoredValue {
			return false
		}
	}
	return true
}
