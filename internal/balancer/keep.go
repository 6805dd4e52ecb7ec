package balancer

import "math"

// What one process of a balancer leaves to the next. It holds facts with their times, so that what the next one makes of
// them ages by the usual rules; nothing is decided here.

// Snapshot is what a process knows beyond the list.
type Snapshot struct {
	Started   Time           `json:"Started"`
	RateAt    Time           `json:"RateAt"`
	Rate      float64        `json:"Rate"`
	Fresh     float64        `json:"Fresh"`
	MeanCost  float64        `json:"MeanCost"`
	ClassCost []float64      `json:"ClassCost"`
	Servers   []HostSnapshot `json:"Servers"`
}

// HostSnapshot is what it knows of one server.
type HostSnapshot struct {
	ID       string  `json:"ID"`
	Since    Time    `json:"Since"`
	Fails    int     `json:"Fails"`
	Until    Time    `json:"Until"`
	FailedAt Time    `json:"FailedAt"`
	Ill      float64 `json:"Ill"`
	Delay    float64 `json:"Delay"`
	IllAt    Time    `json:"IllAt"`
	DelayAt  Time    `json:"DelayAt"`
	Tokens   float64 `json:"Tokens"` // of its cold budget
	TokensAt Time    `json:"TokensAt"`
	Passed   Time    `json:"Passed"`
}

// Snapshot gives what is known. With yield, what is left of the cold budgets is given away with it: the two processes
// of an upgrade are one balancer and have one budget.
func (b *Balancer) Snapshot(yield bool) Snapshot {
	m := Snapshot{Started: b.started, RateAt: b.rateAt, Rate: b.rate, Fresh: b.fresh, MeanCost: b.meanCost,
		ClassCost: append([]float64(nil), b.classCost...)}
	for _, s := range b.servers {
		m.Servers = append(m.Servers, HostSnapshot{ID: s.id, Since: s.since, Fails: s.fails, Until: s.until, FailedAt: s.failedAt,
			Ill: s.ill, IllAt: s.illAt, Delay: s.delay, DelayAt: s.delayAt, Tokens: max(0, s.tokens), TokensAt: s.tokensAt, Passed: s.passed})
		if yield {
			s.tokens = math.Inf(-1)
		}
	}
	return m
}

// Restore takes what another process of this balancer knew, as far as it is about servers as they are now. What lies in the
// future or is no number is passed over: it can come from a broken file.
func (b *Balancer) Restore(now Time, m Snapshot) {
	b.tick(now)
	past := func(ts ...Time) bool {
		for _, t := range ts {
			if t < 0 || t > now {
				return false
			}
		}
		return true
	}
	sound := func(xs ...float64) bool {
		for _, x := range xs {
			if math.IsNaN(x) || x < 0 || x > 1e15 {
				return false
			}
		}
		return true
	}
	if past(m.Started, m.RateAt) && sound(m.Rate, m.Fresh, m.MeanCost) && m.Started > 0 {
		b.started, b.rateAt, b.rate, b.fresh = m.Started, m.RateAt, m.Rate, m.Fresh
		if m.MeanCost > 0 && len(m.ClassCost) == len(b.classCost) && sound(m.ClassCost...) {
			b.meanCost = m.MeanCost
			copy(b.classCost, m.ClassCost)
		}
	}
	for _, k := range m.Servers {
		s := b.byID[k.ID]
		if s == nil || s.since != k.Since || k.Fails < 0 || !past(k.FailedAt, k.IllAt, k.DelayAt, k.TokensAt) ||
			!sound(k.Ill, k.Delay) || math.IsNaN(k.Tokens) || k.Tokens > 1e6 || k.Until > now+b.qMax || k.Passed > now+b.aimLong {
			continue
		}
		s.fails, s.until, s.failedAt, s.ill, s.illAt = k.Fails, k.Until, k.FailedAt, min(1, k.Ill), k.IllAt
		s.delay, s.delayAt, s.passed = k.Delay, k.DelayAt, k.Passed
		s.tokens, s.tokensAt = max(0, k.Tokens), max(k.TokensAt, k.Since)
	}
}
