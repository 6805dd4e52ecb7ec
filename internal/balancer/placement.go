package balancer

// A new request passes these rules in this order. The function on the right implements the rule:
//
//  1. Admission: a request whose ID is in use or whose class is unknown
//     is ignored.                                                         admit
//  2. Traffic: the request is counted in the arrival rates.               traffic.arrived
//  3. Load shedding: the request may be marked. A marked request may
//     only be served from the budget of a warming host (slow start).      shouldShed
//  4. A request that has used all attempts or has too little time left
//     is rejected.                                                        place
//  5. Idempotency: a request that may have run and must not run twice
//     is rejected.                                                        retryForbidden
//  6. Retry storm: if most recent attempts fail, or several requests in
//     a row at the first attempt, the attempt is delayed in the queue.    waitsForRetryStorm
//  7. Placement ledger: the ledger server, a balancer that counts the
//     connections of all, is queried for a host. The first attempt of a
//     request with a group is queued until the reply arrives or times out. queryLedger
//  8. The host is the one that the ledger server has assigned, else
//     the one that the rotation picks.                                    assignedHost, pick
//  9. If there is a host, the attempt starts, with a timeout.             startAttempt
//  10. If there is none, the request is rejected if rule 3 has marked it
//     or operators have suspended all hosts that could serve. Otherwise
//     it is queued.                                                       place
//
// pick leaves out hosts that are draining, removed or suspended, hosts that would not discard a
// repeat (outsideDedupScope), and warming hosts whose budget is spent (slowStartAllows). It prefers
// hosts that are neither ejected nor full and at which the request has made no attempt (available).
//
// These events return a request to rule 4 or reject it:
//
//   - An attempt ends without a connection (AttemptEnded). With status TooLate the request is
//     rejected. The end of an established connection closes its request, which is never retried.
//   - The queue is drained (drainQueue), every queueInterval and after each endpoint list. A request
//     is rejected there if it has waited since its last attempt for half of the time that it had left
//     when that wait began.
//   - The ledger server replies (ledgerReplyReceived).
//
// "Rejected" means that rejectOrFail is called. It tells the client that a retry is harmless, or
// reports a failure if a retry is not harmless (clientRetryUnsafe).

// RequestArrived handles a new request of a client. It ignores the request if its ID is in use or
// its class is unknown. Any other request gets exactly one final answer, unless its client leaves:
// Effects.Reject, Effects.Fail, or the one that the caller reports by AttemptResult.Closed.
func (b *Balancer) RequestArrived(now Time, q Request) {
	b.beginEvent(now)
	r := b.admit(q)
	if r == nil {
		return
	}
	r.deadline = now + q.Remaining
	r.similarPerSecond = b.traffic.arrived(now, r.isRetry(), len(b.hosts))
	b.shedding.demandByClass[r.Class] += r.cost // before shouldShed, which ranks r in the demand
	r.shedUnlessWarmingHost = b.shouldShed(r)
	b.place(r)
}

// ConnectionAdopted registers an open connection that this balancer has not placed: one that was
// opened before this process started, was handed over by another process, or is at a host that came
// from another pool. id is the ID of the connection's host. ConnectionAdopted ignores a connection
// whose host or class is unknown or whose request ID is in use.
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

// admit registers a request. It returns nil if the request's ID is in use or its class is unknown.
// A tenant that is unknown counts as none.
func (b *Balancer) admit(q Request) *request {
	if b.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(b.cfg.Classes) {
		return nil
	}
	if q.Tenant < 0 || q.Tenant >= len(b.cfg.Tenants) {
		q.Tenant = -1
	}
	r := &request{Request: q, cost: b.costs.estimate(&q)}
	if q.EarlierRun != nil {
		r.mayHaveRunOn, r.mayHaveRunAt = b.hostOrUnknown(q.EarlierRun.HostID), q.EarlierRun.At
	}
	b.requests[q.ID] = r
	return r
}

// place applies rules 4 to 10: it starts a request's next attempt, or queues or rejects the request.
func (b *Balancer) place(r *request) {
	// Two ticks (Config.Tick) are reserved, so that the answer comes within the deadline. An attempt
	// whose connection cannot be set up in the remaining time is not made: it would only lengthen the
	// queue that the set-ups of all connections share.
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

// startAttempt starts a request's next attempt at h. left is the time that the attempt may use at
// most, in nanoseconds.
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

// rejectOrFail gives the final answer to a request that is not served: a rejection if a retry by the
// client is harmless, else a failure. The request stays registered while an attempt is in flight.
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

// retryAfter returns the Retry-After of a rejected request in nanoseconds: a random time from a
// quarter of Config.MaxRetryAfter up to all of it, so that clients do not all come back together. It
// returns 0 if the client may retry at any time, or if clients do not read Retry-After.
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
