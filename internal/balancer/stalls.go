package balancer

// Servers that make messages wait: how that is learned, told, and answered.

// PeerMessageReceived takes a message from another balancer: which servers make messages wait. Where each
// balancer holds a connection or two, most would learn of a stalled server by sending to it.
func (b *Balancer) PeerMessageReceived(now Time, from int, data []byte) {
	b.tick(now)
	if b.bookTold(from, data) {
		return
	}
	readTold(data, func(id uint32, x float64) {
		for _, s := range b.servers {
			if uint32(s.hash) == id {
				s.toldAt = now
				if len(s.conns) == 0 || now-s.delayAt > tellEvery {
					s.delay, s.delayAt = x, now
				}
			}
		}
	})
}

// tell tells all of the servers that are stalled as seen here, unless another balancer has.
func (b *Balancer) tell() {
	var data []byte
	for _, s := range b.servers {
		if s.telling && b.now-s.toldAt >= tellEvery && s.state == Ready && b.slowness(s) >= 1 {
			s.toldAt = b.now
			data = appendTold(data, uint32(s.hash), s.delay)
		}
		s.telling = false
	}
	if len(data) > 0 {
		b.fx.SendToPeer(-1, data)
	}
}

// Observe takes news about an open connection.
func (b *Balancer) Observe(now Time, id string, attempt int, kind Observation, value float64) {
	b.tick(now)
	r := b.requests[id]
	if r == nil || !r.up || attempt != r.attempts-1 {
		return
	}
	s := r.server
	switch kind {
	case ObservedLoad:
		v := max(0, value) * 1000
		s.load += v - r.load
		r.load = v
		if r.ExpectedLoad <= 0 {
			b.learn(r.Class, max(v, 1))
		}
	case ObservedLatency:
		if b.aimMin > 0 {
			b.stalls(s, value/b.aimMin)
		}
	}
}

// stalls takes in how long messages take at a server, in shortest aims, and moves part of what stands there
// away. Each balancer moves a small part by chance, since all see the same stall.
func (b *Balancer) stalls(s *server, x float64) {
	s.delay, s.delayAt = x, b.now
	if x < 1 {
		return
	}
	if b.cfg.MayGossip && b.cfg.Instances > 1 && !s.telling && b.now-s.toldAt >= tellEvery {
		s.telling = true
		b.fx.Schedule(max(b.cfg.Tick, Time(tellWithin*b.rng.Float64())), "tell")
	}
	// In proportion to its load: a few heavy connections are what overfills a server, and moving them is
	// cheaper than moving the many light ones.
	for _, r := range s.conns {
		if !r.moved && b.rng.Float64() < movePart*r.load/max(1, b.meanCost) {
			r.moved = true
			b.fx.Migrate(r.ID)
		}
	}
}
