package balancer

// The life of a request: what it costs, whether it is sent, held or given its final answer.

// RequestArrived takes a client's try: from here on it is owed one final answer.
func (b *Balancer) RequestArrived(now Time, q Request) {
	b.tick(now)
	r := b.take(q)
	if r == nil {
		return
	}
	r.deadline = now + q.Remaining
	b.arrives(r)
	b.asked[r.Class] += r.cost
	r.spare = b.restraint > 0 && b.rank(r) < b.restraint
	b.place(r)
}

// ConnectionAdopted takes a connection that is already up at this balancer's start.
func (b *Balancer) ConnectionAdopted(now Time, q Request, id string) {
	b.tick(now)
	s := b.byID[id]
	if s == nil {
		return
	}
	if r := b.take(q); r != nil {
		r.attempts, r.out, r.server, r.sentAt = 1, true, s, now
		b.stand(r)
	}
}

// place sends a request to the server whose turn it is, or holds it, or gives its final answer.
func (b *Balancer) place(r *request) {
	left := r.deadline - b.now - 2*b.cfg.Tick
	if r.attempts >= b.cfg.MaxAttempts || left <= b.queued() {
		b.giveUp(r)
		return
	}
	c := &b.cfg.Classes[r.Class]
	if r.ranOn != nil && (c.Idempotency == NotIdempotent ||
		c.Idempotency == IdempotentWithKey && b.now >= r.ranAt+c.DedupWindow) {
		b.giveUp(r) // it may have run: another attempt could bring the effect twice
		return
	}
	if (b.crowded() || b.turnedAway() && r.waitTo == 0) && !r.spare && !b.allOut() {
		// Most attempts fail alike, so another server would not help, and each try adds to what jams them:
		// the wait is spread out and grows with the attempts made.
		r.waitTo = b.now + Time(float64(c.LatencyObjective)*float64(1+r.attempts)*(0.5+b.rng.Float64()))
		b.hold(r)
		return
	}
	if b.asks(r) {
		return
	}
	s := b.granted(r)
	if s == nil {
		s = b.pick(r)
	}
	if s == nil {
		if r.spare || b.allOut() {
			b.giveUp(r)
		} else {
			b.hold(r)
		}
		return
	}
	b.tried++
	t := b.patience(r, left)
	b.spendCold(s, b.turns(r))
	r.attempts++
	r.out, r.server, r.sentAt, r.holdTo, r.waitTo = true, s, b.now, 0, 0
	r.tried = append(r.tried, s)
	if s.fails > 0 {
		s.trials++
	}
	b.placed(s, b.turns(r))
	b.fx.StartAttempt(r.ID, s.id, t)
}

// allOut tells whether operators have taken out every server that could serve: waiting helps nobody then.
func (b *Balancer) allOut() bool {
	out := false
	for _, s := range b.servers {
		if s.state == Ready {
			return false
		}
		out = out || s.state == Suspended
	}
	return out
}

// patience is an attempt's time-out: what set-ups took, longer by the time since one was seen, and the aim at
// least; half of what is left where that is less or nothing was seen. All of it where another attempt has no
// room: what is given up has still taken the store's time.
func (b *Balancer) patience(r *request, left Time) Time {
	t := max(float64(b.cfg.Classes[r.Class].LatencyObjective), b.setup+4*b.setupDev)
	if r.attempts+1 >= b.cfg.MaxAttempts || t*2 > float64(left) || b.failing(2) {
		return left
	}
	if b.setups < 4 {
		return left / 2
	}
	return min(left/2, Time(t)+b.now-b.sampled)
}

// queued is how long a set-up takes now at least: a queue that all share falls by a second in a second at
// most. Two set-ups say it, since one may be its host's alone.
func (b *Balancer) queued() Time { return max(0, min(b.doneBy[0], b.doneBy[1])-b.now) }

// hold keeps a request for a moment: a cold fleet, or none known, may serve it soon. It is refused in time
// for its client to come back while that still helps.
func (b *Balancer) hold(r *request) {
	if !r.held {
		r.held = true
		if r.holdTo == 0 {
			r.holdTo = b.now + (r.deadline-b.now)/2
		}
		b.held = append(b.held, r)
	}
	if !b.pumping {
		b.pumping = true
		b.fx.Schedule(max(b.cfg.Tick, 20e6), "pump")
	}
}

func (b *Balancer) pump() {
	if len(b.held) == 0 {
		return
	}
	waiting := b.held
	b.held = nil
	for _, r := range waiting {
		if r.closed || !r.held {
			continue
		}
		r.held = false
		switch {
		case b.now >= r.holdTo:
			b.giveUp(r)
		case b.now < r.waitTo:
			b.hold(r)
		default:
			if r.waits {
				b.unanswered(r)
			}
			b.place(r)
		}
	}
}

// giveUp is the final answer of a request that is not served.
func (b *Balancer) giveUp(r *request) {
	c := &b.cfg.Classes[r.Class]
	r.closed = true
	b.settle(r, nil)
	if r.ranOn != nil && (c.Idempotency == NotIdempotent ||
		c.Idempotency == IdempotentWithKey && c.DedupScope != ScopeAll) {
		b.fx.Fail(r.ID)
	} else {
		wait := Time(0)
		if b.cfg.SendsRetryAfter && (r.attempts == 0 || b.queued() > 0 || b.turnedAway() || b.failing(2)) {
			wait = Time(float64(b.cfg.MaxRetryAfter) * (0.25 + 0.75*b.rng.Float64()))
		}
		b.fx.Reject(r.ID, wait)
	}
	if !r.out {
		delete(b.requests, r.ID)
	}
}
