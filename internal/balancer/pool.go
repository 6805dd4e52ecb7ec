package balancer

import "math"

// The pool and the quarantine: PIP-425's own mechanism.

// Ejected tells whether a server is kept out by choice: quarantined, and not yet due for its trial.
func (b *Balancer) Ejected(now Time, id string) bool {
	s := b.byID[id]
	return s != nil && s.fails > 0 && b.qInit > 0 && now < s.until
}

// available is the pool: not in quarantine, its trial not taken, not full of late, not tried for this
// request.
func (b *Balancer) available(s *server, r *request) bool {
	if s.fails > 0 && b.qInit > 0 && (b.now < s.until || s.trials > 0) || b.now < s.passed {
		return false
	}
	for _, t := range r.tried {
		if t == s {
			return false
		}
	}
	return true
}

// success restores a server to the pool at once.
func (b *Balancer) success(s *server) {
	if s.fails > 0 {
		b.fx.Report(HostReadmitted{Host: s.id})
	}
	s.fails, s.until, s.trials = 0, 0, 0
	s.lag = min(s.lag, 0)
}

// failure quarantines: the first time for the initial period, doubled for each consecutive failure, up to
// the cap.
func (b *Balancer) failure(s *server, sent Time, proven bool) {
	if b.qInit == 0 || b.qMax == 0 {
		return
	}
	if !proven {
		b.fade()
		b.bad++
		if b.bad+b.good >= 4 && b.bad >= sharedPart*(b.bad+b.good) {
			return // most time out: store or links are slow, no evidence against one server
		}
	}
	if s.fails > 0 && sent < s.failedAt {
		return // sent before the failure that is already counted
	}
	if s.fails == 0 || !b.shared(s.zone) {
		s.fails++
	}
	s.failedAt = b.now
	// Jitter, else all balancers that saw a shared outage try its servers at the same moment.
	d := b.period(s.fails)
	s.until = b.now + d/2 + Time(b.rng.Float64()*float64(d)/2)
	if s.fails == 1 {
		b.fx.Report(HostEjected{Host: s.id, Ejection: s.until - b.now, ConsecutiveFailures: s.fails})
	}
}

func (b *Balancer) period(fails int) Time {
	return min(b.qMax, Time(float64(b.qInit)*math.Pow(2, float64(min(fails, 30)-1))))
}

// shared tells whether most of a zone fails: then the fault is the zone's, and doubling would shun it long
// after.
func (b *Balancer) shared(zone int) bool {
	n, failing := 0, 0
	for _, s := range b.servers {
		if s.zone == zone && s.state == Ready {
			n++
			if s.fails > 0 {
				failing++
			}
		}
	}
	return failing > 1 && float64(failing) >= sharedPart*float64(n)
}
