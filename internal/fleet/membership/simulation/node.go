package simulation

import (
	"slices"

	"croftlock/internal/fleet/membership"
)

// Node is one process.
type Node struct {
	Core   *membership.Core
	Up     bool
	Asleep bool
	Deaf   bool
	Mute   bool
	Lame   bool // it gets each second turn only
	Step   Time // of its wall clock
	Sends  int
	inbox  []mail // what waits while it sleeps
	slept  Time   // since when it sleeps
	woke   Time   // when it last woke from a sleep of a second or more; 0: never
	turns  int
	seen   map[uint32]membership.Incarnation // the newest life that it has known, by member
	ver    uint64
	fleet  *Fleet
	i      int
}

type mail struct {
	from int
	data []byte
}

func (n *Node) receive(from int, data []byte) {
	if n.fleet.Seeds > 0 {
		n.Core.ReceiveFrom(n.fleet.now, addr(from), data)
	} else {
		n.Core.Receive(n.fleet.now, from, data)
	}
}

func (n *Node) act() {
	inbox := n.inbox
	n.inbox = nil
	if len(inbox) == 0 || !n.fleet.plant.IgnorePause {
		n.Core.Tick(n.fleet.now, wallZero+n.fleet.now+n.Step)
	}
	for _, m := range inbox {
		n.receive(m.from, m.data)
	}
	n.check()
}

// Send is the network.
func (n *Node) Send(slot int, data []byte) {
	f := n.fleet
	n.Sends++
	if f.Sent != nil {
		f.Sent(n.i, slot, data)
	}
	if f.Seeds > 0 {
		slot = int(n.Core.Address(slot).Port()) - 1000
	}
	if n.Mute || len(data) > membership.MaxDatagram {
		if len(data) > membership.MaxDatagram {
			f.fail("a datagram of %d bytes", len(data))
		}
		return
	}
	times := 1
	if f.rng.Float64() < f.Twice {
		times = 2
	}
	for range times {
		if f.rng.Float64() < f.Loss || f.Cut[[2]int{n.i, slot}] {
			continue
		}
		data := slices.Clone(data)
		f.At(f.now+f.Delay+Time(f.rng.Int64N(int64(f.Jitter)+1)), func() { f.Nodes[slot].arrive(n.i, data) })
	}
}

func (n *Node) arrive(from int, data []byte) {
	switch {
	case !n.Up || n.Deaf || n.fleet.Cut[[2]int{from, n.i}]:
	case n.Asleep:
		if len(n.inbox) < 256 {
			n.inbox = append(n.inbox, mail{from, data})
		}
	default:
		n.receive(from, data)
		n.check()
	}
}

// Changed hears of a change at a process.
func (n *Node) Changed(c membership.Change) {
	if n.woke > 0 && n.fleet.now-n.woke < Sec && c.From != c.To && (c.To == membership.Suspect || c.To == membership.Unreachable) {
		n.fleet.fail("n%d accuses %d right after it slept: %s", n.i, c.ID, c.Reason)
	}
	if n.fleet.Changes != nil {
		n.fleet.Changes(n.i, c)
	}
}

// check looks at what may never happen, as one process sees it.
func (n *Node) check() {
	f := n.fleet
	if f.Unchecked {
		return
	}
	if v := n.Core.Version(); v < n.ver {
		f.fail("n%d: version %d after %d", n.i, v, n.ver)
	} else {
		n.ver = v
	}
	for _, m := range n.Core.View() {
		if m.Incarnation.Start() < n.seen[m.ID].Start() {
			f.fail("n%d: %d is taken for an earlier life", n.i, m.ID)
		}
		n.seen[m.ID] = max(m.Incarnation, n.seen[m.ID])
		if f.Seeds == 0 && m.State == membership.Gone && m.Slot >= 0 && f.heardByAll(m.ID, m.Slot, m.Incarnation) {
			f.fail("n%d: n%d is gone, whom all others have heard within the last second", n.i, m.Slot)
		}
	}
}
