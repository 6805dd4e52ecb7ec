package balancer

import "math"

// Bounds of what Restore believes: a broken file must not upset the decisions.
const (
	maxRestoredValue  = 1e15
	maxRestoredTokens = 1e6
)

// Snapshot is what a process of a balancer leaves to the next one, beyond the endpoint list: facts with their
// times, so that they age by the usual rules.
type Snapshot struct {
	Started   Time           `json:"Started"`   // traffic.observedSince
	RateAt    Time           `json:"RateAt"`    // traffic.fadedAt
	Rate      float64        `json:"Rate"`      // traffic.endRate
	Fresh     float64        `json:"Fresh"`     // traffic.fresh
	MeanCost  float64        `json:"MeanCost"`  // connectionCosts.mean
	ClassCost []float64      `json:"ClassCost"` // connectionCosts.byClass
	Servers   []HostSnapshot `json:"Servers"`   // the hosts
}

// HostSnapshot is what a Snapshot holds of one host.
type HostSnapshot struct {
	ID       string  `json:"ID"`
	Since    Time    `json:"Since"`    // its latest start
	Fails    int     `json:"Fails"`    // consecutiveFailures of its ejection
	Until    Time    `json:"Until"`    // end of its ejection
	FailedAt Time    `json:"FailedAt"` // the last counted failure
	Ill      float64 `json:"Ill"`      // error score as of IllAt
	Delay    float64 `json:"Delay"`    // message delay as of DelayAt
	IllAt    Time    `json:"IllAt"`
	DelayAt  Time    `json:"DelayAt"`
	Tokens   float64 `json:"Tokens"` // of its slow start budget
	TokensAt Time    `json:"TokensAt"`
	Passed   Time    `json:"Passed"` // fullUntil
}

// Snapshot gives what is known. With yield, what is left of the slow start budgets is given away with it: the
// two processes of a hot restart are one balancer and have one budget.
func (b *Balancer) Snapshot(yield bool) Snapshot {
	t := &b.traffic
	s := Snapshot{Started: t.observedSince, RateAt: t.fadedAt, Rate: t.endRate, Fresh: t.freshRequests,
		MeanCost: b.costs.mean, ClassCost: append([]float64(nil), b.costs.byClass...)}
	for _, h := range b.hosts {
		s.Servers = append(s.Servers, h.snapshot())
		if yield {
			h.slowStart.tokens = math.Inf(-1)
		}
	}
	return s
}

func (h *host) snapshot() HostSnapshot {
	return HostSnapshot{ID: h.hostID, Since: h.startedAt,
		Fails: h.ejection.consecutiveFailures, Until: h.ejection.until, FailedAt: h.ejection.failedAt,
		Ill: h.errors.score, IllAt: h.errors.updatedAt,
		Delay: h.messages.delay, DelayAt: h.messages.observedAt,
		Tokens: max(0, h.slowStart.tokens), TokensAt: h.slowStart.filledAt, Passed: h.fullUntil}
}

// Restore takes the snapshot of another process of this balancer, as far as it is about hosts as they are
// now. What lies in the future or is no plausible number is ignored.
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
		k := &s.Servers[i]
		if h := b.byID[k.ID]; h != nil && h.startedAt == k.Since && b.plausibleHost(k) {
			h.restore(k)
		}
	}
}

// plausibleHost reports whether a host's snapshot can be believed.
func (b *Balancer) plausibleHost(k *HostSnapshot) bool {
	return k.Fails >= 0 && validTimes(b.now, k.FailedAt, k.IllAt, k.DelayAt, k.TokensAt) &&
		validValues(k.Ill, k.Delay) && !math.IsNaN(k.Tokens) && k.Tokens <= maxRestoredTokens &&
		k.Until <= b.now+b.ejection.max && k.Passed <= b.now+b.retryStorm.longestObjective
}

func (h *host) restore(k *HostSnapshot) {
	h.ejection.consecutiveFailures, h.ejection.until, h.ejection.failedAt = k.Fails, k.Until, k.FailedAt
	h.errors = errorScore{score: min(1, k.Ill), updatedAt: k.IllAt}
	h.messages.delay, h.messages.observedAt = k.Delay, k.DelayAt
	h.fullUntil = k.Passed
	h.slowStart = slowStartBudget{tokens: max(0, k.Tokens), filledAt: max(k.TokensAt, k.Since)}
}

func validTimes(now Time, times ...Time) bool {
	for _, t := range times {
		if t < 0 || t > now {
			return false
		}
	}
	return true
}

func validValues(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || v < 0 || v > maxRestoredValue {
			return false
		}
	}
	return true
}
