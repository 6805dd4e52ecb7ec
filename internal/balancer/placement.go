package balancer

// The rules that a request meets, in this order, what may come of each, and the function that holds it:
//
//  1. admission: an ID in use or an unknown class is ignored              admit
//  2. traffic: it counts for the rates of arrivals                        traffic.arrived
//  3. load shedding: marked, only a warming host's budget may serve it    shed
//  4. all attempts used, or too little time left: rejected                place
//  5. idempotency: it may have run and must not run twice: rejected       retryForbidden
//  6. retry storm: its attempt is delayed in the queue                    waitsForRetryStorm
//  7. placement ledger, first attempt of a group's request: queued until
//     the ledger server replies, or its reply is late                     queryLedger
//  8. the ledger server's host, else the pick of the rotation             assignedHost, pick
//  9. a host: the attempt starts, with a timeout                          startAttempt
//  10. no host: rejected if marked in 3, or if operators have suspended
//     all hosts that could serve; else queued                             place
//
// pick leaves out the hosts that are draining, removed or suspended, those that would not discard a repeat
// (outsideDedupScope), and warming ones whose budget is spent (slowStartAllows). It prefers hosts that are
// neither ejected nor full and that the request has made no attempt at (available).
//
// Afterwards a request comes back to 4, or is rejected:
//
//   - An attempt has ended without a connection (AttemptEnded); after TooLate it is rejected. The end of an
//     established connection closes its request: it is never retried.
//   - The queue is drained (drainQueue): every queueInterval, and after each endpoint list. A request is
//     rejected there after half of the time that it had left when it was first queued since its last attempt.
//   - The ledger server has replied (ledgerReplyReceived).
//
// "Rejected" stands for rejectOrFail, which answers that a retry is harmless, or with a failure where it is
// not (clientRetryUnsafe).

// RequestArrived takes a client's request: from here on it is owed one final answer.
func (b *Balancer) RequestArrived(now Time, q Request) {
	b.beginEvent(now)
	r := b.admit(q)
	if r == nil {
		return
	}
	r.deadline = now + q.Remaining
	r.similarPerSecond = b.traffic.arrived(now, r.isRetry(), len(b.hosts))
	b.shedding.demandByClass[r.Class] += r.cost // shed compares it with the demand, so that it counts first
	r.shedUnlessWarmingHost = b.shed(r)
	b.place(r)
}

// ConnectionAdopted takes an open connection that this balancer has not placed: from before the process's
// start, handed over by another process, or at a host that came from another pool. One to an unknown host is
// ignored.
func (b *Balancer) ConnectionAdopted(now Time, q Request, id string) {
	b.beginEvent(now)
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
	r := &request{Request: q, cost: b.costs.estimate(&q)}
	b.requests[q.ID] = r
	return r
}

// place starts a request's next attempt, or queues it, or gives its final answer: rules 4 to 10.
func (b *Balancer) place(r *request) {
	// Two ticks are kept, so that the answer comes within the deadline. A set-up that would not complete in
	// what is left would only lengthen the queue that all set-ups share.
	left := r.deadline - b.now - 2*b.cfg.Tick
	if r.attempts >= b.cfg.MaxAttempts || left <= b.setups.QueueDelay(b.now) || b.retryForbidden(r) {
		b.rejectOrFail(r)
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
		b.rejectOrFail(r)
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
	r.attemptedHosts = append(r.attemptedHosts, h)
	if h.ejection.consecutiveFailures > 0 {
		h.ejection.trials++
	}
	b.addUnreportedLoad(h, turns)
	b.effects.StartAttempt(r.ID, h.hostID, timeout)
}

// rejectOrFail gives the final answer of a request that is not served. It is kept until its attempt has
// ended.
func (b *Balancer) rejectOrFail(r *request) {
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
