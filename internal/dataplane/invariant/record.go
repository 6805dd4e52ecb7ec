package invariant

// AttemptBegan records that an attempt at a host goes out.
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

// LineWritten records that the last byte of the attempt's first line is written: from here on its host may act on it. begun is when
// the attempt began; h is its host as it is now.
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

// AttemptEnded records the end of the attempt, and whether its host says that it has not run. One whose line was not written has not
// in any case.
func (r *Request) AttemptEnded(notRun bool) {
	r.attemptInFlight = false
	if r.lineWritten && !notRun {
		r.mayHaveRun = true
	}
	if !r.mayHaveRun {
		r.firstRunAt = 0
	}
}

// TakenOver records that another process of this proxy answered it, and hands its open connection over.
func (r *Request) TakenOver() { r.client = established }

// Accepted records that the client has its host's acceptance.
func (r *Request) Accepted(now int64) {
	r.recordAnswer(now)
	if r.client != clientLeft {
		r.client = established
	}
}

// Failed records the answer that promises nothing.
func (r *Request) Failed(now int64) { r.recordAnswer(now) }

// Rejected records the answer that invites the client to retry.
func (r *Request) Rejected(now int64) {
	if !r.MayReject() {
		r.Monitor.countBroken(RejectionIsSafe, r.ID)
	}
	r.recordAnswer(now)
}

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

// ClientLeft records that the client has ended the connection.
func (r *Request) ClientLeft() { r.client = clientLeft }

// ConnectionEnded records that the open connection was migrated, handed over, or passed its host's own end on.
func (r *Request) ConnectionEnded() {
	if r.client == established {
		r.client = answered
	}
}

// ClosedByProxy records that this side ended the client's connection. The client must have had its answer, and a line about the end if the
// connection was open.
func (r *Request) ClosedByProxy() {
	if r.client == awaitingAnswer || r.client == established {
		r.Monitor.countBroken(NoSilentEnd, r.ID)
	}
	r.ClientLeft()
}
