package invariant

// Began notes that an attempt goes out.
func (r *Request) Began(now int64, h Host) {
	switch {
	case r.out:
		r.Monitor.broke(SingleAttempt, r.ID)
	case r.begun >= r.Attempts:
		r.Monitor.broke(AttemptLimit, r.ID)
	default:
		r.Monitor.broke(r.begin(now-int64(MaxSuspension), h), r.ID)
	}
	r.begun++
	r.out, r.written = true, false
}

// Wrote notes that the last byte of its line is written: from here on its host may act on it. begun is when the attempt began, from which
// hosts reckon how long they discard repeats; h is its host as it is now.
func (r *Request) Wrote(now, begun int64, h Host) {
	if !r.out || r.written {
		r.Monitor.broke(SingleAttempt, r.ID)
	}
	r.Monitor.broke(r.begin(now-int64(MaxSuspension), h), r.ID)
	r.written = true
	if r.ranAt == 0 {
		r.ranAt, r.ranIn = begun, h
	}
}

// Ended notes that the attempt is over, and whether its host says that it has not run. One that was not written has not in any case.
func (r *Request) Ended(notRun bool) {
	r.out = false
	if r.written && !notRun {
		r.mayRun = true
	}
	if !r.mayRun {
		r.ranAt = 0
	}
}

// TakenOver notes that another process of this proxy had it answered, and hands its open connection over.
func (r *Request) TakenOver() { r.answered, r.served = true, true }

// Accepted notes that the client has its host's acceptance.
func (r *Request) Accepted(now int64) {
	r.answer(now)
	r.served = true
}

// Failed notes that the client was told that the request failed.
func (r *Request) Failed(now int64) { r.answer(now) }

// Rejected notes that the client was told to try again.
func (r *Request) Rejected(now int64) {
	if !r.MayReject() {
		r.Monitor.broke(RejectionIsSafe, r.ID)
	}
	r.answer(now)
}

func (r *Request) answer(now int64) {
	switch {
	case r.answered || r.left:
		r.Monitor.broke(SingleAnswer, r.ID)
	case now > r.Deadline+answerSlack:
		r.Monitor.broke(AnswerInTime, r.ID)
	}
	r.answered = true
}

// ClientLeft notes that its client has ended the connection.
func (r *Request) ClientLeft() { r.left, r.served = true, false }

// Released notes that its open connection was moved, or passed on its host's own end.
func (r *Request) Released() { r.served = false }

// Dropped notes that this side ended its client's connection: it must have had its answer, and a word if it was open.
func (r *Request) Dropped() {
	if !r.left && (!r.answered || r.served) {
		r.Monitor.broke(NoSilentEnd, r.ID)
	}
	r.ClientLeft()
}
