package balancer

// The rules that an arriving request meets, in this order, and the function that holds each:
//
//  1. admission: a known class, an ID of its own                      admit
//  2. traffic: what its kind tells of the rate of requests             traffic.arrived
//  3. load shedding: marked, for a warming host or rejection in 9      shed
//  4. attempts and time left for one                                   place
//  5. idempotency: may it run twice                                    retryForbidden
//  6. retry storm: its attempt is delayed                              waitsForRetryStorm
//  7. placement ledger: the ledger server is asked for a host          queryLedger
//  8. the ledger server's host, or the pick of the rotation            assignedHost, pick
//  9. no host: it waits in the queue, or is rejected                   enqueue, reject
//  10. attempt: its timeout, and the warming host's budget             startAttempt
//
// The end of an attempt brings it back to 4, and so does the queue.

// RequestArrived takes a client's request: from here on it is owed one final answer.
func (b *Balancer) RequestArrived(now Time, q Request) {
	b.tick(now)
	r := b.admit(q)
	if r == nil {
		return
	}
	r.deadline = now + q.Remaining
	r.similarPerSecond = b.traffic.arrived(now, r.isRetry(), len(b.hosts))
	b.shedding.demandByClass[r.Class] += r.cost
	r.shedUnlessWarmingHost = b.shed(r)
	b.place(r)
}

// ConnectionAdopted takes a connection that is already open at this balancer's start. One to an unknown host
// is ignored.
func (b *Balancer) ConnectionAdopted(now Time, q Request, id string) {
	b.tick(now)
	h := b.byID[id]
	if h == nil {
		return
	}
	if r := b.admit(q); r != nil {
		r.attempts, r.attemptInFlight, r.host, r.sentAt = 1, true, h, now
		b.connectionEstablished(r)
	}
}

// admit begins to keep a request; nil where its ID is in use or its class unknown.
func (b *Balancer) admit(q Request) *request {
	if b.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(b.cfg.Classes) {
		return nil
	}
	if q.Tenant < 0 || q.Tenant >= len(b.cfg.Tenants) {
		q.Tenant = -1
	}
	r := &request{Request: q, cost: b.costs.expect(&q)}
	b.requests[q.ID] = r
	return r
}

// place starts a request's next attempt, or queues it, or gives its final answer.
func (b *Balancer) place(r *request) {
	// Two ticks are kept, so that the answer comes within the deadline.
	left := r.deadline - b.now - 2*b.cfg.Tick
	if r.attempts >= b.cfg.MaxAttempts || left <= b.setups.QueueDelay(b.now) || b.retryForbidden(r) {
		b.reject(r)
		return
	}
	if b.waitsForRetryStorm(r) {
		r.wait.notBefore = b.now + b.retryStormDelay(r)
		b.enqueue(r)
		return
	}
	if b.queryLedger(r) {
		return
	}
	h := b.assignedHost(r)
	if h == nil {
		h = b.pick(r)
	}
	switch {
	case h != nil:
		b.startAttempt(r, h, left)
	case r.shedUnlessWarmingHost || b.allHostsSuspended():
		b.reject(r)
	default:
		b.enqueue(r)
	}
}

func (b *Balancer) startAttempt(r *request, h *host, left Time) {
	b.retryStorm.attemptStarted()
	timeout := b.attemptTimeout(r, left)
	turns := b.costs.turns(r.cost)
	b.spendSlowStartTokens(h, turns)
	r.attempts++
	r.attemptInFlight, r.host, r.sentAt = true, h, b.now
	r.wait.rejectAt, r.wait.notBefore = 0, 0
	r.tried = append(r.tried, h)
	if h.ejection.consecutiveFailures > 0 {
		h.ejection.trials++
	}
	b.loadAdded(h, turns)
	b.effects.StartAttempt(r.ID, h.hostID, timeout)
}

// reject gives the final answer of a request that is not served.
func (b *Balancer) reject(r *request) {
	r.closed = true
	b.reconcileLedger(r, nil)
	if b.clientRetryUnsafe(r) {
		b.effects.Fail(r.ID)
	} else {
		b.effects.Reject(r.ID, b.retryAfter(r))
	}
	if !r.attemptInFlight {
		delete(b.requests, r.ID)
	}
}

// retryAfter is when a rejected client should come back; 0: as it likes. It is jittered, else all come back
// together.
func (b *Balancer) retryAfter(r *request) Time {
	if !b.cfg.SendsRetryAfter {
		return 0
	}
	if r.attempts == 0 || b.setups.QueueDelay(b.now) > 0 || b.retryStorm.consecutiveEarlyErrors(b.now) ||
		b.retryStorm.attemptsExceedSuccesses(timeoutMargin) {
		return Time(float64(b.cfg.MaxRetryAfter) * (0.25 + 0.75*b.rng.Float64()))
	}
	return 0
}
