package balancer

import "math"

const (
	// stormSuccessShare is the part of the attempts that has to succeed for there to be no retry storm.
	stormSuccessShare = 0.5
	// stormMargin is by how many attempts this may be missed before new attempts wait, timeoutMargin before
	// an attempt gets all the time that is left.
	stormMargin   = 3
	timeoutMargin = 2
	// stormTimeConstant is the time constant with which attempts fade, and earlyErrorMemory how long an early error
	// counts, in longest latency objectives.
	stormTimeConstant = 8
	earlyErrorWindow  = 2
)

// retryStorm suspects a retry storm: most attempts of late fail, so that retries add to what makes them fail.
// Failed connects and hosts that are full count on neither side: they cost the hosts nothing.
type retryStorm struct {
	longestObjective    Time // the longest latency objective
	attempts, successes float64
	fadedAt             Time
	earlyErrors         int // requests in a row whose first attempt ended in an error
	lastEarlyErrorAt    Time
}

// suspected fades the counts to now and reports whether new attempts should wait.
func (s *retryStorm) suspected(now Time) bool {
	f := math.Exp(-float64(now-s.fadedAt) / float64(stormTimeConstant*s.longestObjective))
	s.attempts, s.successes, s.fadedAt = s.attempts*f, s.successes*f, now
	return s.attemptsExceedSuccesses(stormMargin)
}

// attemptsExceedSuccesses reports whether too few attempts succeed, by more than a margin of attempts.
func (s *retryStorm) attemptsExceedSuccesses(margin float64) bool {
	return s.attempts > s.successes/stormSuccessShare+margin
}

// consecutiveEarlyErrors reports whether the first attempts of the last two requests ended in errors, at
// whichever hosts.
func (s *retryStorm) consecutiveEarlyErrors(now Time) bool {
	return s.earlyErrors > 1 && now-s.lastEarlyErrorAt < earlyErrorWindow*s.longestObjective
}

func (s *retryStorm) attemptStarted() { s.attempts++ }

func (s *retryStorm) succeeded() {
	s.earlyErrors = 0
	s.successes++
}

// discountAttempt takes back an attempt that says nothing of the fleet.
func (s *retryStorm) discountAttempt() { s.attempts = max(0, s.attempts-1) }

// failedWithError notes that a request's attempt, counted from 1, ended in an error.
func (s *retryStorm) failedWithError(now Time, attempt int) {
	if attempt == 1 {
		s.earlyErrors, s.lastEarlyErrorAt = s.earlyErrors+1, now
	}
	if attempt > 2 {
		// It failed at two other hosts too: a client that requests what no host can do must not look like a
		// storm and hold up all others.
		s.discountAttempt()
	}
}

// waitsForRetryStorm reports whether a request's attempt is delayed. Once delayed for early errors alone, a
// request is not delayed for them again.
func (b *Balancer) waitsForRetryStorm(r *request) bool {
	suspected := b.retryStorm.suspected(b.now) ||
		b.retryStorm.consecutiveEarlyErrors(b.now) && r.wait.notBefore == 0
	return suspected && !r.shedUnlessWarmingHost && !b.allHostsSuspended()
}

// retryStormDelay is how long an attempt is delayed: spread out, and longer with each attempt made.
func (b *Balancer) retryStormDelay(r *request) Time {
	objective := float64(b.cfg.Classes[r.Class].LatencyObjective)
	return Time(objective * float64(1+r.attempts) * (0.5 + b.rng.Float64()))
}

// attemptTimeout is how long an attempt may take of the time that is left: the bound of recent set-up times,
// or the latency objective if that is longer, plus the time since the last set-up. Half of what is left, if
// that is less or too few set-ups were seen, so that another attempt fits. All that is left where none would,
// or most attempts fail: one that is given up keeps its place in the queue that all set-ups share.
func (b *Balancer) attemptTimeout(r *request, left Time) Time {
	timeout := max(float64(b.cfg.Classes[r.Class].LatencyObjective), b.setups.Bound())
	if r.attempts+1 >= b.cfg.MaxAttempts || timeout*2 > float64(left) ||
		b.retryStorm.attemptsExceedSuccesses(timeoutMargin) {
		return left
	}
	if !b.setups.Reliable() {
		return left / 2
	}
	return min(left/2, Time(timeout)+b.setups.SinceSample(b.now))
}
