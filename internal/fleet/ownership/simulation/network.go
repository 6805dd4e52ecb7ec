package simulation

import (
	"slices"
	"sort"

	"croftlock/internal/fleet/consensus"
)

// A message arrives after minDelay and a random time below delaySpread. While messages are lost, some
// messages are delayed longer and some are sent duplicateCopies times.
const (
	minDelay           = Ms
	delaySpread        = 4 * Ms
	lateMessageDivisor = 5 // one message in this many has an additional random delay below extraDelaySpread
	extraDelaySpread   = 300 * Ms
	duplicateCopies    = 2
)

// envelope is a message in flight.
type envelope struct {
	sender, receiver int  // indexes of processes
	group            bool // whether the message is between voters of the group; otherwise it is between Cores
	data             []byte
	deliverAt        Time
	sequence         int // orders messages that are due at the same time
}

// network holds the links between processes and the messages in flight.
type network struct {
	peers        map[uint32]int // index of each process, by its peer number
	inFlight     []envelope
	sequence     int     // of the last envelope
	cuts         [][]int // number of faults that cut the link, by the indexes of its sender and receiver
	loss         float64 // probability that a message is lost, and that it is duplicated
	delayedUntil []Time  // earliest arrival of messages, by the index of their sender
}

func newNetwork(processes int) *network {
	n := &network{peers: map[uint32]int{}, delayedUntil: make([]Time, processes)}
	for range processes {
		n.cuts = append(n.cuts, make([]int, processes))
	}
	return n
}

// send adds a message from p to those in flight, unless the link is cut or loses the message. group
// reports whether the message is between voters of the group and not between Cores.
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

// arrivalTime returns a random arrival time for a message that is sent now.
func (r *Run) arrivalTime() Time {
	at := r.now + minDelay + r.rng.Int64N(delaySpread)
	if r.network.loss > 0 && r.rng.IntN(lateMessageDivisor) == 0 {
		at += r.rng.Int64N(extraDelaySpread)
	}
	return at
}

// deliverDue delivers the messages that are due, in the order of their arrival. What the receivers
// send in response is delivered in a later step.
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

// deliver passes a message to its receiver. If the receiver is paused, the message is queued as in
// a socket's buffer, which holds maxQueuedWhilePaused messages and drops the rest.
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
