package balancer

import "math"

const (
	// stormSuccessShare is the fraction of attempts that has to succeed for no retry storm to be
	// suspected.
	stormSuccessShare = 0.5
	// stormMargin is how many attempts more than this fraction allows may be made before new
	// attempts wait. timeoutMargin is how many may be made before an attempt gets all the time that
	// is left.
	stormMargin   = 3
	timeoutMargin = 2
	// stormTimeConstant is the time constant with which attempts fade, and earlyErrorWindow how
	// long an early error counts, both in longest latency objectives.
	stormTimeConstant = 8
	earlyErrorWindow  = 2
)

// retryStorm detects a suspected retry storm: most recent attempts fail, so that retries add to the
// load that makes them fail. Failed connects and rejections by full hosts count neither as attempts
// nor as successes, since they cost the hosts nothing.
type retryStorm struct {
	longestObjective    Time // the longest latency objective
	attempts, successes float64
	fadedAt             Time
	earlyErrors         int // first attempts that ended in an error since the last success
	lastEarlyErrorAt    Time
}

// suspected fades the counts to now, and reports whether new attempts should wait.
func (s *retryStorm) suspected(now Time) bool {
	f := math.Exp(-float64(now-s.fadedAt) / float64(stormTimeConstant*s.longestObjective))
	s.attempts, s.successes, s.fadedAt = s.attempts*f, s.successes*f, now
	return s.attemptsExceedSuccesses(stormMargin)
}

// attemptsExceedSuccesses reports whether there are more attempts than the successes allow
// (stormSuccessShare), by more than margin.
func (s *retryStorm) attemptsExceedSuccesses(margin float64) bool {
	return s.attempts > s.successes/stormSuccessShare+margin
}

// consecutiveEarlyErrors reports whether at least two first attempts have ended in errors since the
// last success, at any hosts, the last of them recently.
func (s *retryStorm) consecutiveEarlyErrors(now Time) bool {
	return s.earlyErrors > 1 && now-s.lastEarlyErrorAt < earlyErrorWindow*s.longestObjective
}

// attemptStarted counts an attempt.
func (s *retryStorm) attemptStarted() { s.attempts++ }

// succeeded counts an attempt that has set up its connection.
func (s *retryStorm) succeeded() {
	s.earlyErrors = 0
	s.successes++
}

// discountAttempt removes from the count an attempt that tells nothing about the fleet.
func (s *retryStorm) discountAttempt() { s.attempts = max(0, s.attempts-1) }

// failedWithError records that a request's attempt, counted from 1, ended in an error.
func (s *retryStorm) failedWithError(now Time, attempt int) {
	if attempt == 1 {
		s.earlyErrors, s.lastEarlyErrorAt = s.earlyErrors+1, now
	}
	if attempt > 2 {
		// The request has failed at two other hosts as well. A client that requests what no host
		// can do must not look like a retry storm and delay all other clients.
		s.discountAttempt()
	}
}

// waitsForRetryStorm reports whether a request's next attempt is delayed. An attempt that has been
// delayed is not delayed again for early errors alone.
func (b *Balancer) waitsForRetryStorm(r *request) bool {
	suspected := b.retryStorm.suspected(b.now) ||
		b.retryStorm.consecutiveEarlyErrors(b.now) && r.wait.notBefore == 0
	return suspected && !r.shedUnlessWarmingHost && !b.allHostsSuspended()
}

// retryStormDelay returns how long an attempt is delayed: a random time that grows with each
// attempt made.
func (b *Balancer) retryStormDelay(r *request) Time {
	objective := float64(b.cfg.Classes[r.Class].LatencyObjective)
	return Time(objective * float64(1+r.attempts) * (0.5 + b.rng.Float64()))
}

// attemptTimeout returns how much of the time that is left an attempt may take: the bound of recent
// set-up times, or the latency objective if that is longer, plus the time since the last set-up. It
// returns half of the time left if that is less or too few set-ups were seen, so that another
// attempt fits. It returns all of the time left if no other attempt would fit or most attempts
// fail, since an attempt that is given up keeps its place in the queue that all set-ups share.
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
