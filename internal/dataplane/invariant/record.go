package invariant

// AttemptBegan records that an attempt at h begins at time now. If a rule forbids the attempt, it
// counts the rule as broken, one at most. For the rules that depend on time it allows for a pause
// of the process of MaxPause since the caller checked them.
func (r *Request) AttemptBegan(now int64, h Host) {
	rule := r.checkAttemptLimit()
	if r.attemptInFlight {
		rule = SingleAttempt
	}
	if rule == None {
		rule = r.checkSend(now-int64(MaxPause), h)
	}
	r.Monitor.countBroken(rule, r.ID)
	r.attemptsBegun++
	r.attemptInFlight, r.lineWritten = true, false
}

// LineWritten records that the last byte of the attempt's first line has been written, so that its
// host may act on it. begun is the time at which the attempt began; h is the host's present state.
// LineWritten counts broken rules, and allows for a pause of MaxPause as AttemptBegan does.
func (r *Request) LineWritten(now, begun int64, h Host) {
	if !r.attemptInFlight || r.lineWritten {
		r.Monitor.countBroken(SingleAttempt, r.ID)
	}
	r.Monitor.countBroken(r.checkSend(now-int64(MaxPause), h), r.ID)
	r.lineWritten = true
	if r.firstRunAt == 0 {
		r.firstRunAt, r.firstRunHost = begun, h
	}
}

// AttemptEnded records the end of the attempt in flight. notRun reports whether the attempt is
// known not to have run; an attempt whose first line was not written has not run in any case.
func (r *Request) AttemptEnded(notRun bool) {
	r.attemptInFlight = false
	if r.lineWritten && !notRun {
		r.mayHaveRun = true
	}
	if !r.mayHaveRun {
		r.firstRunAt = 0
	}
}

// RanBefore records that an earlier request with the same ID may have run at h. at is the time at which
// that attempt began.
func (r *Request) RanBefore(at int64, h Host) {
	r.mayHaveRun, r.firstRunAt, r.firstRunHost = true, at, h
}

// TakenOver records that another process of this proxy has answered the request, which runs at h, and
// hands its open connection over to this process. at is the earliest time at which the run may have begun.
func (r *Request) TakenOver(at int64, h Host) {
	r.RanBefore(at, h)
	r.client = established
}

// Accepted records that the host's acceptance, the client's answer, is sent to the client. A client
// that has left stays so.
func (r *Request) Accepted(now int64) {
	r.recordAnswer(now)
	if r.client != clientLeft {
		r.client = established
	}
}

// Failed records the answer that reports a failure and does not promise that a retry is harmless.
func (r *Request) Failed(now int64) { r.recordAnswer(now) }

// Rejected records the answer that promises that a retry is harmless.
func (r *Request) Rejected(now int64) {
	if !r.MayReject() {
		r.Monitor.countBroken(RejectionIsSafe, r.ID)
	}
	r.recordAnswer(now)
}

// recordAnswer records an answer at time now. It counts an answer to a request that has its answer,
// or whose client has left, as breaking SingleAnswer, and an answer that comes more than
// answerSlack after the deadline as breaking AnswerInTime.
func (r *Request) recordAnswer(now int64) {
	if r.client != awaitingAnswer {
		r.Monitor.countBroken(SingleAnswer, r.ID)
		return
	}
	if now > r.Deadline+answerSlack {
		r.Monitor.countBroken(AnswerInTime, r.ID)
	}
	r.client = answered
}

// ClientLeft records that the client's connection has ended.
func (r *Request) ClientLeft() { r.client = clientLeft }

// ConnectionEnded records that the open connection ended in order: it was migrated or handed over,
// the proxy sent its client a last line, or the client's connection ended as its host's did.
func (r *Request) ConnectionEnded() {
	if r.client == established {
		r.client = answered
	}
}

// ClosedByProxy records that the proxy closed the client's connection. NoSilentEnd is broken unless
// the client has its answer and, if the connection was open, a line about its end.
func (r *Request) ClosedByProxy() {
	if r.client == awaitingAnswer || r.client == established {
		r.Monitor.countBroken(NoSilentEnd, r.ID)
	}
	r.ClientLeft()
}
