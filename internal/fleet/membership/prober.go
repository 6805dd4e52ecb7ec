package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	// maxHealth is the maximum of localHealth, at which timeouts have five times their length.
	maxHealth = 8
	// maxIndirectProbes is the maximum number of members that are asked to probe a member that did not
	// answer.
	maxIndirectProbes = 3
	// requestedProbeTimeout is how long a probe on behalf of another member may take.
	requestedProbeTimeout = 2 * sec
	// turnsPerEndedProbe is the average number of turns of a slot (number of an address) per probe,
	// while the slot's member has left or is gone. The slot is still probed, as a restarted process
	// may be at its address.
	turnsPerEndedProbe = 8
)

// localHealth is Lifeguard's local health multiplier. Zero means healthy; the higher the value, the less
// this process trusts its own timeouts.
type localHealth int

// degrade lengthens timeouts by a step, and improve shortens them.
func (h *localHealth) degrade() { *h = min(maxHealth, *h+1) }
func (h *localHealth) improve() { *h = max(0, *h-1) }

// extend lengthens a timeout by half its length for each step of h.
func (h localHealth) extend(d Time) Time { return d + d*Time(h)/2 }

// probe is an outstanding probe.
type probe struct {
	target            uint32 // member ID
	sentAt            Time
	indirectRequested bool            // whether others were asked to probe the target
	requester         *probeRequester // the member that requested the probe; nil if this process probes for itself
}

// probeRequester identifies the request of another member on whose behalf a probe is sent.
type probeRequester struct {
	slot     int    // slot of the requesting member
	sequence uint32 // sequence number in the request
}

// prober determines which slot, the number of an address, to probe next and records the outstanding
// probes.
type prober struct {
	rng          *rand.Rand
	slots        []int             // in the order in which they are probed, shuffled for each round
	position     int               // index in slots of the next slot
	outstanding  map[uint32]*probe // by sequence number
	lastSequence uint32            // sequence number of the last probe sent
	nextProbe    Time              // when the next slot is due
	health       localHealth
}

// newProber returns a prober of all slots except ownSlot, which is -1 if this process has none.
func newProber(rng *rand.Rand, slots, ownSlot int) prober {
	p := prober{rng: rng, outstanding: map[uint32]*probe{}}
	for slot := range slots {
		if slot != ownSlot {
			p.slots = append(p.slots, slot)
		}
	}
	return p
}

// shuffle puts the slots into a random order.
func (p *prober) shuffle() {
	p.rng.Shuffle(len(p.slots), func(i, j int) { p.slots[i], p.slots[j] = p.slots[j], p.slots[i] })
}

// nextSlot returns the next slot to probe. It shuffles the slots before each round.
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

// nextSequence returns the next sequence number. A probe of a slot at which no member is known uses it
// without a record, as its ack needs none.
func (p *prober) nextSequence() uint32 {
	p.lastSequence++
	return p.lastSequence
}

// begin records a probe and returns its sequence number. requester is nil if this process probes for itself.
func (p *prober) begin(target uint32, now Time, requester *probeRequester) (sequence uint32) {
	sequence = p.nextSequence()
	p.outstanding[sequence] = &probe{target: target, sentAt: now, requester: requester}
	return sequence
}

// completeProbe removes and returns the probe that target has answered. It returns nil if there is none.
func (p *prober) completeProbe(sequence, target uint32) *probe {
	sent := p.outstanding[sequence]
	if sent == nil || sent.target != target {
		return nil
	}
	delete(p.outstanding, sequence)
	return sent
}

// completeIndirectProbe removes a probe of this process whose target has answered another member, and
// reports whether there was one.
func (p *prober) completeIndirectProbe(sequence, target uint32) bool {
	sent := p.outstanding[sequence]
	if sent == nil || sent.target != target || sent.requester != nil {
		return false
	}
	delete(p.outstanding, sequence)
	return true
}

// sequences returns the sequence numbers of the outstanding probes in the order of sending.
func (p *prober) sequences() []uint32 { return slices.Sorted(maps.Keys(p.outstanding)) }
