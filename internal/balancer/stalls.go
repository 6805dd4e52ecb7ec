package balancer

import (
	"math"

	"croftlock/internal/balancer/stallgossip"
)

const (
	// slowMessageDelay halves a host's turns, in shortest latency objectives; below it, a host is well.
	slowMessageDelay = 0.33
	// stalledMessageDelay is from when a host counts as stalled, in shortest latency objectives.
	stalledMessageDelay = 1
	// gossipInterval is the shortest time between two messages about one host's stall, and gossipSpread the
	// time within which one of the balancers that see it sends one, in nanoseconds.
	gossipInterval = 2e9
	gossipSpread   = 6e8
	// delayValidFor is how long an observed delay counts in full, and delayFade the time constant from then
	// on, in nanoseconds. Observations come once a second while messages are slow.
	delayValidFor = 1.5e9
	delayFade     = 1e9
	// stallMigrationShare is the chance that a mean connection is migrated from a stalled host, at each
	// observation.
	stallMigrationShare = 0.15
)

// messageDelay is how long messages take at a host.
type messageDelay struct {
	delay         float64 // the last one observed or received, in shortest latency objectives
	observedAt    Time
	gossipedAt    Time // when this or another balancer last gossiped of it
	gossipPending bool // to be gossiped of, unless another balancer does before
}

// shortestMessageObjective is the smallest message latency objective in milliseconds; 0: there is none.
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

// currentMessageDelay is a host's message delay in shortest latency objectives, fading once no observation
// comes.
func (b *Balancer) currentMessageDelay(h *host) float64 {
	if h.messages.delay < slowMessageDelay {
		return 0
	}
	return h.messages.faded(b.now)
}

func (m *messageDelay) faded(now Time) float64 {
	age := max(0, float64(now-m.observedAt)-delayValidFor)
	return m.delay * math.Exp(-age/delayFade)
}

// stalled reports whether messages take longer at a host than the shortest latency objective.
func (b *Balancer) stalled(h *host) bool { return b.currentMessageDelay(h) >= stalledMessageDelay }

// Observe takes an observation of an open connection.
func (b *Balancer) Observe(now Time, id string, attempt int, kind Observation, value float64) {
	b.beginEvent(now)
	r := b.requests[id]
	if r == nil || !r.established || attempt != r.attempts-1 {
		return
	}
	h := r.host
	switch kind {
	case ObservedLoad:
		load := max(0, value) * 1000 // microseconds to nanoseconds of work a second
		h.load += load - r.load
		r.load = load
		if r.ExpectedLoad <= 0 {
			b.costs.addSample(r.Class, max(load, 1))
		}
	case ObservedLatency:
		if objective := b.shortestMessageObjective(); objective > 0 {
			b.messagesDelayed(h, value/objective)
		}
	}
}

// messagesDelayed records how long messages take at a host, in shortest latency objectives. From a stalled
// one, connections are migrated: each balancer migrates a small part by chance, since all see the same stall,
// and in proportion to their load: a few heavy connections overfill a host, and migrating these is cheaper
// than migrating the many light ones.
func (b *Balancer) messagesDelayed(h *host, delay float64) {
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

// scheduleGossip plans to gossip of a stalled host, after a random wait in which another balancer may.
func (b *Balancer) scheduleGossip(h *host) {
	if b.cfg.MayGossip && b.cfg.Instances > 1 && !h.messages.gossipPending &&
		b.now-h.messages.gossipedAt >= gossipInterval {
		h.messages.gossipPending = true
		b.schedule(Time(gossipSpread*b.rng.Float64()), timerGossip)
	}
}

// gossipStalls notifies all balancers of the hosts that are stalled as seen here, unless another one has.
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

// PeerMessageReceived takes a message of another balancer: of the placement ledger, or of stalled hosts.
// Where each balancer holds a connection or two, most would learn of a stalled host only by using it.
func (b *Balancer) PeerMessageReceived(now Time, from int, data []byte) {
	b.beginEvent(now)
	if b.ledgerMessageReceived(from, data) {
		return
	}
	stallgossip.Decode(data, b.stallReceived)
}

// stallReceived records a stall that another balancer sees. Recent observations of its own take precedence.
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
