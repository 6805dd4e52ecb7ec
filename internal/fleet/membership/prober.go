package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	// maxHealth bounds the local health multiplier, in halves of a timeout: timeouts grow to five times their length.
	maxHealth = 8
	// indirectProbes is how many others are requested to probe a member that did not answer.
	indirectProbes = 3
	// relayTimeout is how long a probe on behalf of another may take.
	relayTimeout = 2 * sec
	// turnsPerEndedProbe: a member that has ended is probed in one of so many turns, as a restarted process may be at its address.
	turnsPerEndedProbe = 8
)

// localHealth is Lifeguard's local health multiplier: 0 is well; the higher, the less a process trusts its own timeouts.
type localHealth int

func (h *localHealth) degrade() { *h = min(maxHealth, *h+1) }
func (h *localHealth) improve() { *h = max(0, *h-1) }

// extend lengthens a timeout, by half of it a step.
func (h localHealth) extend(d Time) Time { return d + d*Time(h)/2 }

// probe is an outstanding one.
type probe struct {
	target   uint32
	sentAt   Time
	indirect bool   // others were requested to probe the target
	relay    *relay // nil: an own probe
}

// relay is for whom a probe is sent on another's behalf.
type relay struct {
	slot     int // of the member that requested it
	sequence uint32
}

// prober says which slot to probe next, and which probes are outstanding.
type prober struct {
	rng          *rand.Rand
	slots        []int // in the order in which they are probed, shuffled for each round
	position     int   // in slots
	outstanding  map[uint32]*probe
	lastSequence uint32
	nextProbe    Time
	health       localHealth
}

func newProber(rng *rand.Rand, slots, ownSlot int) prober {
	p := prober{rng: rng, outstanding: map[uint32]*probe{}}
	for slot := range slots {
		if slot != ownSlot {
			p.slots = append(p.slots, slot)
		}
	}
	return p
}

func (p *prober) shuffle() {
	p.rng.Shuffle(len(p.slots), func(i, j int) { p.slots[i], p.slots[j] = p.slots[j], p.slots[i] })
}

// nextSlot is the slot whose turn it is.
func (p *prober) nextSlot() int {
	if p.position >= len(p.slots) {
		p.position = 0
		p.shuffle()
	}
	slot := p.slots[p.position]
	p.position++
	return slot
}

func (p *prober) addSlot(slot int) { p.slots = append(p.slots, slot) }

func (p *prober) removeSlot(slot int) {
	p.slots = slices.DeleteFunc(p.slots, func(s int) bool { return s == slot })
}

// nextSequence numbers a probe of a slot at which no member is known: its ack needs no record.
func (p *prober) nextSequence() uint32 {
	p.lastSequence++
	return p.lastSequence
}

// begin records a probe; requester is nil for an own one.
func (p *prober) begin(target uint32, now Time, requester *relay) (sequence uint32) {
	sequence = p.nextSequence()
	p.outstanding[sequence] = &probe{target: target, sentAt: now, relay: requester}
	return sequence
}

// completeProbe ends a probe that its target has answered; nil: there is none.
func (p *prober) completeProbe(sequence, target uint32) *probe {
	sent := p.outstanding[sequence]
	if sent == nil || sent.target != target {
		return nil
	}
	delete(p.outstanding, sequence)
	return sent
}

// completeIndirectProbe ends an own probe that its target has answered to another, and reports whether there was one.
func (p *prober) completeIndirectProbe(sequence, target uint32) bool {
	sent := p.outstanding[sequence]
	if sent == nil || sent.target != target || sent.relay != nil {
		return false
	}
	delete(p.outstanding, sequence)
	return true
}

// sequences lists the outstanding probes in the order in which they were sent.
func (p *prober) sequences() []uint32 { return slices.Sorted(maps.Keys(p.outstanding)) }
