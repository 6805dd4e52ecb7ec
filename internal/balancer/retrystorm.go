package balancer

import "math"

const (
	// stormSuccessShare is the fraction of recent attempts below which successes indicate a retry
	// storm: S successes allow S/stormSuccessShare attempts.
	stormSuccessShare = 0.5
	// Margins for attemptsExceedSuccesses: numbers of attempts beyond those that the successes allow.
	// Above stormMargin new attempts wait. Above timeoutMargin an attempt gets all the time that is
	// left until its request's deadline.
	stormMargin   = 3
	timeoutMargin = 2
	// stormTimeConstant is the time constant with which the counts of attempts and successes decay.
	// earlyErrorWindow is how long after the last early error (one of a request's first attempt) a
	// retry storm is suspected. Both are multiples of the longest latency objective of all classes.
	stormTimeConstant = 8
	earlyErrorWindow  = 2
)

// retryStorm detects a suspected retry storm: most recent attempts fail, and their retries add to
// the load that makes attempts fail. Failed connects, rejections by full hosts, and attempts that were not
// made count neither as attempts nor as successes, since they cost the hosts nothing; nor do those that
// were cancelled before the host was late.
type retryStorm struct {
	longestObjective    Time    // the longest latency objective of all classes
	attempts, successes float64 // recent ones at all hosts, with exponential decay
	fadedAt             Time    // time up to which the decay is applied
	earlyErrors         int     // first attempts of requests that ended in an error since the last success
	lastEarlyErrorAt    Time
}

// suspected applies the decay of the counts up to now, and reports whether new attempts should wait
// because the attempts exceed the successes.
func (s *retryStorm) suspected(now Time) bool {
	f := math.Exp(-float64(now-s.fadedAt) / float64(stormTimeConstant*s.longestObjective))
	s.attempts, s.successes, s.fadedAt = s.attempts*f, s.successes*f, now
	return s.attemptsExceedSuccesses(stormMargin)
}

// attemptsExceedSuccesses reports whether the attempts exceed the number that the successes allow
// (successes/stormSuccessShare) by more than margin.
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

// discountAttempt removes an attempt from the count of attempts, because its failure does not
// indicate a retry storm.
func (s *retryStorm) discountAttempt() { s.attempts = max(0, s.attempts-1) }

// failedWithError records that an attempt of a request ended in an error. attempt is its number,
// from 1.
func (s *retryStorm) failedWithError(now Time, attempt int) {
	if attempt == 1 {
		s.earlyErrors, s.lastEarlyErrorAt = s.earlyErrors+1, now
	}
	if attempt > 2 {
		// Two earlier attempts of the request have failed as well. A client that requests what no host
		// can do must not look like a retry storm and delay all other clients.
		s.discountAttempt()
	}
}

// waitsForRetryStorm reports whether a request's next attempt is delayed because a retry storm is
// suspected. An attempt that has been delayed is not delayed again for early errors alone. No
// attempt is delayed that load shedding allows only at a host in slow start, or while all hosts are
// suspended by operators.
func (b *Balancer) waitsForRetryStorm(r *request) bool {
	suspected := b.retryStorm.suspected(b.now) ||
		b.retryStorm.consecutiveEarlyErrors(b.now) && r.wait.notBefore == 0
	return suspected && !r.shedUnlessWarmingHost && !b.allHostsSuspended()
}

// retryStormDelay returns how long a request's next attempt is delayed: its latency objective times
// the number of the attempt, from 1, times a random factor from 0.5 to 1.5.
func (b *Balancer) retryStormDelay(r *request) Time {
	objective := float64(b.cfg.Classes[r.Class].LatencyObjective)
	return Time(objective * float64(1+r.attempts) * (0.5 + b.rng.Float64()))
}

// attemptTimeout returns how much of left, the time until the request's deadline, its next attempt
// may take. It returns all of left if no further attempt would fit or most attempts fail: the set-up
// of a connection keeps its place in the queue that all set-ups share, even if the proxy no longer
// waits for it. Otherwise it returns the bound of recent set-up times, or the latency objective if
// that is longer, plus the time since the last sample of set-up times. That timeout is at most half
// of left, so that another attempt fits, and exactly half if there are too few samples.
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
