package balancer

// What became of attempts and connections.

// AttemptEstablished tells that an attempt's connection stands.
func (b *Balancer) AttemptEstablished(now Time, id string, attempt int, elapsed Time) {
	b.tick(now)
	r := b.requests[id]
	if r == nil || !r.out || r.up || attempt != r.attempts-1 {
		return
	}
	b.sample(float64(elapsed))
	b.doneBy[0], b.doneBy[1], b.errors = b.doneBy[1], now+elapsed*3/2, 0
	b.fade()
	b.good++
	b.stood++
	s := r.server
	b.success(s)
	s.ill = b.illness(s) / 2
	s.illAt = now
	b.stand(r)
}

// AttemptEnded tells how an attempt ended. Closed: the request has had its final answer.
func (b *Balancer) AttemptEnded(now Time, id string, attempt int, status AttemptStatus, elapsed Time,
	closed bool, load []float64) {
	b.tick(now)
	r := b.requests[id]
	if r == nil || !r.out || attempt != r.attempts-1 {
		return
	}
	s := r.server
	wasUp := r.up
	b.reported(s, load)
	if wasUp && status == OK {
		b.count(r)
	}
	b.leave(r)
	r.out = false
	if s.trials > 0 {
		s.trials--
	}
	if !status.ProvesNotRun() && r.ranOn == nil {
		r.ranOn, r.ranAt = s, r.sentAt
	}
	switch {
	case wasUp && status == Reset:
		// A server that drops standing connections sheds load or has died; without this its turns go on and
		// the dropped clients come straight back to it.
		b.stalls(s, 1)
	case !wasUp:
		switch status {
		case OK:
			b.success(s)
		case ConnectFailed:
			b.tried = max(0, b.tried-1)
			b.failure(s, r.sentAt, true)
		case Timeout:
			b.doneBy[0], b.doneBy[1] = b.doneBy[1], now+elapsed
			b.sample(float64(elapsed) * 1.5) // the truth lies beyond; else a slow store is never waited for
			b.failure(s, r.sentAt, false)
		case Reset:
			b.failure(s, r.sentAt, true)
		case Full:
			b.tried = max(0, b.tried-1)
			s.passed = now + b.aimLong
		case Error:
			if r.attempts == 1 {
				b.errors, b.erredAt = b.errors+1, now
			}
			if r.attempts > 2 {
				// It failed elsewhere too, twice: a client that asks for what no server can do must not
				// look like a jam, and hold up all others.
				b.tried = max(0, b.tried-1)
			}
			s.ill, s.illAt = min(1, b.illness(s)+0.5), now
		}
	}
	if closed || r.closed || wasUp {
		delete(b.requests, id)
		if !closed && !r.closed { // a stream's end closes its request; if not told so, answer
			r.closed = true
			b.fx.Fail(id)
		}
		return
	}
	if status == TooLate {
		b.giveUp(r)
		return
	}
	b.place(r)
}

// ClientLeft tells that a client has left: nothing more is owed.
func (b *Balancer) ClientLeft(now Time, id string) {
	b.tick(now)
	r := b.requests[id]
	if r == nil || r.closed {
		return
	}
	r.closed = true
	b.settle(r, nil)
	if !r.out {
		delete(b.requests, id)
	} else if !r.up && b.cfg.MayCancel {
		b.fx.CancelAttempt(id, r.attempts-1)
	}
}
