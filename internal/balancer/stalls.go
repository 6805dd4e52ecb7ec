package balancer

import (
	"math"

	"croftlock/internal/balancer/stallgossip"
)

// The message delay of a host is how long a message currently takes there. Its unit is the shortest
// message latency objective of all classes.
const (
	// slowMessageDelay is the message delay that halves the weight of a host in the rotation. A
	// shorter delay has no effect.
	slowMessageDelay = 0.33
	// stalledMessageDelay is the message delay from which on a host counts as stalled.
	stalledMessageDelay = 1
	// gossipInterval is the shortest time, in nanoseconds, between two messages of balancers to each
	// other (gossip) about the stall of one host. It is also the time for which a balancer prefers its
	// own observation of a host to gossip. gossipSpread is the longest random wait before a balancer
	// that sees a stall sends its message, in nanoseconds.
	gossipInterval = 2e9
	gossipSpread   = 6e8
	// delayValidFor is how long an observed delay counts in full. delayTimeConstant is the time
	// constant with which it decays after that. Both are in nanoseconds. Observations come once a
	// second while messages are slow.
	delayValidFor     = 1.5e9
	delayTimeConstant = 1e9
	// stallMigrationShare is the probability that a connection of mean load is migrated from a
	// stalled host, for each observation of the stall.
	stallMigrationShare = 0.15
)

// messageDelay is the last known delay of messages at a host.
type messageDelay struct {
	delay         float64 // observed or received by gossip; 0 if unknown
	observedAt    Time    // when delay was last set
	gossipedAt    Time    // when a gossip message about the host was last sent or received
	gossipPending bool    // a timer will send gossip about the host, unless another balancer does so first
}

// shortestMessageObjective returns the shortest message latency objective of all classes in
// milliseconds, or 0 if no class has one.
func (b *Balancer) shortestMessageObjective() float64 {
	shortest := 0.0
	for i := range b.cfg.Classes {
		ms := float64(b.cfg.Classes[i].MessageLatencyObjective) / 1e6
		if ms > 0 && (shortest == 0 || ms < shortest) {
			shortest = ms
		}
	}
	return shortest
}

// currentMessageDelay returns a host's message delay in shortest message latency objectives. The
// delay decays if no new observation comes. It is 0 if the last delay was below slowMessageDelay.
func (b *Balancer) currentMessageDelay(h *host) float64 {
	if h.messages.delay < slowMessageDelay {
		return 0
	}
	return h.messages.faded(b.now)
}

// faded returns the delay at now, after exponential decay from delayValidFor after its observation.
func (m *messageDelay) faded(now Time) float64 {
	age := max(0, float64(now-m.observedAt)-delayValidFor)
	return m.delay * math.Exp(-age/delayTimeConstant)
}

// stalled reports whether messages at a host take as long as the shortest message latency objective
// or longer.
func (b *Balancer) stalled(h *host) bool { return b.currentMessageDelay(h) >= stalledMessageDelay }

// Observe handles an observation of an open connection: of the request with the given ID, established
// by the given attempt, counted from 0. The unit of value depends on kind. Observe ignores an attempt
// that is not the request's newest or has no open connection.
func (b *Balancer) Observe(now Time, id string, attempt int, kind Observation, value float64) {
	b.beginEvent(now)
	r := b.requests[id]
	if r == nil || !r.established || attempt != r.attempts-1 {
		return
	}
	h := r.host
	switch kind {
	case ObservedLoad:
		load := max(0, value) * 1000 // microseconds to nanoseconds of work per second
		h.load += load - r.load
		r.load = load
		if r.ExpectedLoad <= 0 {
			b.costs.addSample(r.Class, max(load, 1))
		}
	case ObservedLatency:
		if objective := b.shortestMessageObjective(); objective > 0 {
			b.recordMessageDelay(h, value/objective)
		}
	}
}

// recordMessageDelay records the message delay of a host, in shortest message latency objectives.
// If the host is stalled, recordMessageDelay schedules gossip about it and migrates a random part of
// its connections. The part is small, since all balancers see the same stall. The probability is
// proportional to a connection's load, since a few heavy connections overload a host, and migrating
// these is cheaper than migrating the many light ones.
func (b *Balancer) recordMessageDelay(h *host, delay float64) {
	h.messages.delay, h.messages.observedAt = delay, b.now
	if delay < stalledMessageDelay {
		return
	}
	b.scheduleGossip(h)
	for _, r := range h.connections {
		if !r.migrationRequested && b.rng.Float64() < stallMigrationShare*r.load/b.costs.unit() {
			r.migrationRequested = true
			b.effects.Migrate(r.ID)
		}
	}
}

// scheduleGossip schedules gossip about a stalled host after a random wait, in which another balancer
// may gossip about the host first. It has no effect if gossip is not allowed, is pending, or was sent
// or received within gossipInterval.
func (b *Balancer) scheduleGossip(h *host) {
	if b.cfg.MayGossip && b.cfg.Instances > 1 && !h.messages.gossipPending &&
		b.now-h.messages.gossipedAt >= gossipInterval {
		h.messages.gossipPending = true
		b.schedule(Time(gossipSpread*b.rng.Float64()), timerGossip)
	}
}

// gossipStalls notifies all balancers of the hosts that this balancer sees as stalled, except those
// about which a balancer has gossiped within gossipInterval.
func (b *Balancer) gossipStalls() {
	var message []byte
	for _, h := range b.hosts {
		m := &h.messages
		if m.gossipPending && b.now-m.gossipedAt >= gossipInterval && h.state == Ready && b.stalled(h) {
			m.gossipedAt = b.now
			message = stallgossip.Append(message, stallgossip.Record{Host: uint32(h.hash), Delay: m.delay})
		}
		m.gossipPending = false
	}
	if len(message) > 0 {
		b.effects.SendToPeer(-1, message)
	}
}

// PeerMessageReceived handles a message from the balancer with number from, about the placement
// ledger (the common count of all connections) or stalled hosts. Without messages about stalled
// hosts, balancers that hold one or two connections each would mostly learn of a stalled host only
// by using it.
func (b *Balancer) PeerMessageReceived(now Time, from int, data []byte) {
	b.beginEvent(now)
	if b.ledgerMessageReceived(from, data) {
		return
	}
	stallgossip.Decode(data, b.stallReceived)
}

// stallReceived records a stall that another balancer sees. If this balancer holds connections at the
// host, its own observation within gossipInterval takes precedence.
func (b *Balancer) stallReceived(r stallgossip.Record) {
	for _, h := range b.hosts {
		if uint32(h.hash) != r.Host {
			continue
		}
		h.messages.gossipedAt = b.now
		if len(h.connections) == 0 || b.now-h.messages.observedAt > gossipInterval {
			h.messages.delay, h.messages.observedAt = r.Delay, b.now
		}
	}
}
