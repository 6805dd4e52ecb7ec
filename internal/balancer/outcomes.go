package balancer

import "math"

const (
	// errorStep is what one error adds to a host's error score.
	errorStep = 0.5
	// successErrorFactor is the fraction of a host's error score that remains after a success.
	successErrorFactor = 0.5
)

// A set-up is the time from the start of an attempt until its connection is established. Its
// duration, multiplied by these factors, estimates how long other set-ups take.
const (
	// completionFactor multiplies the duration of a set-up that has just succeeded. The product is
	// the expected duration of a set-up that starts now, as an upper estimate: it is assumed to
	// take at most half as long again.
	completionFactor = 1.5
	// timeoutSampleFactor multiplies the duration of a set-up that timed out, since the set-up would
	// have taken longer. Without samples of timed-out set-ups, the timeouts of attempts would never
	// grow to the duration that set-ups take.
	timeoutSampleFactor = 1.5
)

// errorScore is how often a host has answered with errors recently, from 0 (never) to 1 (always). It
// decays exponentially. The time constant is the duration of a first ejection, in nanoseconds.
type errorScore struct {
	score     float64 // as of updatedAt
	updatedAt Time
}

// faded returns the score at now, after exponential decay since updatedAt.
func (e *errorScore) faded(now, timeConstant Time) float64 {
	// The added nanosecond avoids a division by zero.
	return e.score * math.Exp(-float64(now-e.updatedAt)/float64(timeConstant+1))
}

// currentErrorScore returns the error score of a host at the time of the current event, 0 to 1.
func (b *Balancer) currentErrorScore(h *host) float64 {
	if h.errors.score == 0 {
		return 0
	}
	return h.errors.faded(b.now, b.ejection.initial)
}

// AttemptEstablished records that an attempt has set up its connection. id is the request's ID,
// attempt the attempt's number, from 0, and elapsed the time since the attempt began, in nanoseconds.
// AttemptEstablished ignores an attempt that is not the request's newest, or that is already
// established or ended.
func (b *Balancer) AttemptEstablished(now Time, id string, attempt int, elapsed Time) {
	b.beginEvent(now)
	r := b.requests[id]
	if r == nil || !r.attemptInFlight || r.established || attempt != r.attempts-1 {
		return
	}
	b.setups.Sample(now, float64(elapsed))
	b.setups.ExpectCompletion(now + Time(float64(elapsed)*completionFactor))
	b.ejection.evidence.addSuccess(now)
	b.retryStorm.succeeded()
	h := r.host
	b.hostAccepted(h)
	h.errors.score, h.errors.updatedAt = b.currentErrorScore(h)*successErrorFactor, now
	b.connectionEstablished(r)
}

// AttemptResult describes how an attempt, or the connection that it established, has ended.
type AttemptResult struct {
	RequestID string
	Attempt   int // of this request, counted from 0
	Status    AttemptStatus
	Elapsed   Time      // since the attempt began, in nanoseconds
	Closed    bool      // the caller has given the request its final answer
	Load      []float64 // load report, with the load at Config.LoadField; nil if the host sent none
}

// AttemptEnded handles the end of an attempt or of its open connection. After an attempt that set up
// no connection, it places the request again, or gives the final answer if the status is TooLate. It
// does neither if the request has its final answer or its client has left. AttemptEnded ignores an
// attempt that is not the request's newest, or that has ended already.
func (b *Balancer) AttemptEnded(now Time, result AttemptResult) {
	b.beginEvent(now)
	r := b.requests[result.RequestID]
	if r == nil || !r.attemptInFlight || result.Attempt != r.attempts-1 {
		return
	}
	wasEstablished := r.established
	b.recordAttemptEnd(r, result)
	if result.Closed || r.closed || wasEstablished {
		delete(b.requests, r.ID)
		if !result.Closed && !r.closed {
			// The end of a connection closes its request, which needs an answer if it has had none.
			r.closed = true
			b.effects.Fail(r.ID)
		}
		return
	}
	if result.Status == TooLate {
		b.rejectOrFail(r)
		return
	}
	b.place(r)
}

// recordAttemptEnd updates the state of the request, its host and the traffic estimates after the
// end of an attempt or of its open connection.
func (b *Balancer) recordAttemptEnd(r *request, result AttemptResult) {
	h, wasEstablished := r.host, r.established
	b.loadReported(h, result.Load)
	if wasEstablished && result.Status == OK {
		b.traffic.connectionEnded(b.now, b.costs.turns(r.cost))
	}
	b.connectionEnded(r)
	r.attemptInFlight = false
	// trials counts attempts that began while the host had consecutive failures. The count is
	// approximate: the attempt, or open connection, that ends here may have begun before the failures.
	if h.ejection.trials > 0 {
		h.ejection.trials--
	}
	if !result.Status.DidNotRun() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunAt = h, r.sentAt
	}
	if !wasEstablished {
		b.setupEnded(r, result.Status, result.Elapsed)
	} else if result.Status == Reset {
		// A host that drops open connections sheds load or has died. It is recorded as stalled, with a
		// message delay of one shortest message latency objective, and is picked less often. Otherwise
		// the dropped clients would come straight back to it.
		b.recordMessageDelay(h, 1)
	}
}

// setupEnded updates the state of ejection, retry storm detection, set-up times and error scores
// after an attempt that ended without an established connection. OK counts as an acceptance by the
// host. Cancelled and TooLate tell nothing about the host. An attempt that was cancelled before the host
// was late does not indicate a retry storm either: otherwise clients that leave at once would delay all
// others.
func (b *Balancer) setupEnded(r *request, status AttemptStatus, elapsed Time) {
	h := r.host
	switch status {
	case OK:
		b.hostAccepted(h)
	case ConnectFailed:
		b.retryStorm.discountAttempt()
		b.hostFailed(h, r.sentAt, true)
	case Timeout:
		b.setups.ExpectCompletion(b.now + elapsed)
		b.setups.Sample(b.now, float64(elapsed)*timeoutSampleFactor)
		b.hostFailed(h, r.sentAt, false)
	case Reset:
		b.hostFailed(h, r.sentAt, true)
	case Cancelled:
		if elapsed < b.retryStorm.longestObjective {
			b.retryStorm.discountAttempt()
		}
	case TooLate:
		b.retryStorm.discountAttempt()
	case Full:
		b.retryStorm.discountAttempt()
		// Until then, the host gets requests only if no other host is available.
		h.fullUntil = b.now + b.retryStorm.longestObjective
	case Error:
		b.retryStorm.failedWithError(b.now, r.attempts)
		h.errors.score, h.errors.updatedAt = min(1, b.currentErrorScore(h)+errorStep), b.now
	}
}

// ClientLeft closes the request with the given ID, whose client has left and gets no answer. It
// cancels an attempt that has set up no connection yet, if Config.MayCancel is set.
func (b *Balancer) ClientLeft(now Time, id string) {
	b.beginEvent(now)
	r := b.requests[id]
	if r == nil || r.closed {
		return
	}
	r.closed = true
	b.reconcileLedger(r, nil)
	if !r.attemptInFlight {
		delete(b.requests, id)
	} else if !r.established && b.cfg.MayCancel {
		b.effects.CancelAttempt(id, r.attempts-1)
	}
}
