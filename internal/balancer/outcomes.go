package balancer

import "math"

// errorStep is what one error adds to a host's error score, and successErrorFactor the fraction of
// the score that remains after a success.
const (
	errorStep          = 0.5
	successErrorFactor = 0.5
)

// Factors on the duration of a set-up, for estimates of later ones.
const (
	// completionFactor allows for a set-up that starts now and takes half as long again as the last
	// one that succeeded.
	completionFactor = 1.5
	// timeoutSampleFactor scales the duration of a set-up that timed out, which would have taken
	// longer. Without such samples, timeouts would never grow to the duration of set-ups.
	timeoutSampleFactor = 1.5
)

// errorScore is how often a host has answered with errors recently, from 0 (never) to 1 (always). It
// fades with the duration of the first ejection as time constant.
type errorScore struct {
	score     float64
	updatedAt Time
}

// faded returns the score at now.
func (e *errorScore) faded(now, timeConstant Time) float64 {
	return e.score * math.Exp(-float64(now-e.updatedAt)/float64(timeConstant+1))
}

// currentErrorScore returns the error score of a host at the time of the current event.
func (b *Balancer) currentErrorScore(h *host) float64 {
	if h.errors.score == 0 {
		return 0
	}
	return h.errors.faded(b.now, b.ejection.initial)
}

// AttemptEstablished records that an attempt, counted from 0, has set up its connection in elapsed
// nanoseconds. It ignores an attempt that is not the request's newest, or that is already
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
	Closed    bool      // the request has had its final answer
	Load      []float64 // the host's load report; nil if none came
}

// AttemptEnded handles the end of an attempt or of its open connection. After an attempt without a
// connection, the request is placed again, unless it is closed or the status is TooLate.
// AttemptEnded ignores an attempt that is not the request's newest, or that has ended already.
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

// recordAttemptEnd updates the state of the request, its host and the fleet's traffic.
func (b *Balancer) recordAttemptEnd(r *request, result AttemptResult) {
	h, wasEstablished := r.host, r.established
	b.loadReported(h, result.Load)
	if wasEstablished && result.Status == OK {
		b.traffic.connectionEnded(b.now, b.costs.turns(r.cost))
	}
	b.connectionEnded(r)
	r.attemptInFlight = false
	// The count is approximate: an attempt from before the failure, or an open connection, may also
	// end here.
	if h.ejection.trials > 0 {
		h.ejection.trials--
	}
	if !result.Status.DidNotRun() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunAt = h, r.sentAt
	}
	if !wasEstablished {
		b.setupEnded(r, result.Status, result.Elapsed)
	} else if result.Status == Reset {
		// A host that drops open connections sheds load or has died. Without this delay it would
		// keep its turns, and the dropped clients would come straight back to it.
		b.recordMessageDelay(h, 1)
	}
}

// setupEnded updates the state of the rules after an attempt that ended without a connection.
// Cancelled and TooLate change nothing here.
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
	case Full:
		b.retryStorm.discountAttempt()
		h.fullUntil = b.now + b.retryStorm.longestObjective
	case Error:
		b.retryStorm.failedWithError(b.now, r.attempts)
		h.errors.score, h.errors.updatedAt = min(1, b.currentErrorScore(h)+errorStep), b.now
	}
}

// ClientLeft closes a request whose client has left, so that it gets no answer. It cancels an
// attempt that has set up no connection yet, if Config.MayCancel is set.
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
