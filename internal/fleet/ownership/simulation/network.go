package simulation

import (
	"slices"
	"sort"

	"croftlock/internal/fleet/consensus"
)

// Delays of a message; with loss some are late by more.
const (
	minDelay           = Ms
	delaySpread        = 4 * Ms
	lateMessageDivisor = 5 // with loss, one message in so many is late
	extraDelaySpread   = 300 * Ms
	duplicateCopies    = 2
)

// envelope is a message on its way.
type envelope struct {
	sender, receiver int
	group            bool // between voters of the group, or else between Cores
	data             []byte
	deliverAt        Time
	sequence         int
}

// network is the links between processes.
type network struct {
	peers        map[uint32]int
	inFlight     []envelope
	sequence     int
	cuts         [][]int // how many faults cut the link from one process to another
	loss         float64 // probability that a message is lost, and that it is duplicated
	delayedUntil []Time  // messages of a process arrive no sooner
}

func newNetwork(processes int) *network {
	n := &network{peers: map[uint32]int{}, delayedUntil: make([]Time, processes)}
	for range processes {
		n.cuts = append(n.cuts, make([]int, processes))
	}
	return n
}

// send puts a message on its way, unless the link is cut or loses it.
func (r *Run) send(p *process, peer uint32, group bool, message []byte) {
	n := r.network
	to, known := n.peers[peer]
	r.MessagesSent++
	r.BytesSent += len(message)
	if r.onSend != nil {
		r.onSend(p.index, peer, group, message)
	}
	if !known || n.cuts[p.index][to] > 0 {
		return
	}
	copies := 1
	if n.loss > 0 && r.rng.Float64() < n.loss {
		copies = duplicateCopies
	}
	for range copies {
		if r.rng.Float64() < n.loss {
			continue
		}
		n.sequence++
		n.inFlight = append(n.inFlight, envelope{sender: p.index, receiver: to, group: group, data: slices.Clone(message),
			deliverAt: max(r.arrivalTime(), n.delayedUntil[p.index]), sequence: n.sequence})
	}
}

// arrivalTime draws when a message that is sent now arrives.
func (r *Run) arrivalTime() Time {
	at := r.now + minDelay + r.rng.Int64N(delaySpread)
	if r.network.loss > 0 && r.rng.IntN(lateMessageDivisor) == 0 {
		at += r.rng.Int64N(extraDelaySpread)
	}
	return at
}

// deliverDue delivers the messages that are due, in order. What their receivers send is delivered in a later step.
func (r *Run) deliverDue() {
	n := r.network
	due := n.inFlight[:0:0]
	later := n.inFlight[:0]
	for _, e := range n.inFlight {
		if e.deliverAt <= r.now {
			due = append(due, e)
		} else {
			later = append(later, e)
		}
	}
	n.inFlight = later
	sort.Slice(due, func(i, j int) bool {
		return due[i].deliverAt < due[j].deliverAt || due[i].deliverAt == due[j].deliverAt && due[i].sequence < due[j].sequence
	})
	for _, e := range due {
		r.deliver(e)
	}
}

// deliver gives a message to its receiver. A paused one has it queued, as by its socket.
func (r *Run) deliver(e envelope) {
	p := r.processes[e.receiver]
	if !p.running {
		return
	}
	if r.now < p.pausedUntil {
		if len(p.queue) < maxQueuedWhilePaused {
			p.queue = append(p.queue, e)
		}
		return
	}
	from, now := consensus.PeerID(r.processes[e.sender].name), r.localTime(p)
	if !e.group {
		p.core.Receive(now, from, e.data)
	} else if p.group != nil {
		p.group.Receive(now, from, e.data)
	}
}
