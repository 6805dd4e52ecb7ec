package simulation

import (
	"slices"

	"croftlock/internal/fleet/membership"
)

// maxInbox is the maximum number of datagrams that wait for a paused process, as a socket's buffer is small.
const maxInbox = 256

// Node is one process of the fleet.
type Node struct {
	Core      *membership.Core
	Running   bool // whether it was started and has not ended; it may be paused
	Paused    bool // whether it takes no turns and queues the datagrams that arrive
	Deaf      bool // whether it receives no datagrams
	Mute      bool // whether all datagrams that it sends are lost
	Slow      bool // whether it skips every second turn, in which it would call Core.Tick
	WallStep  Time // how far its wall clock is ahead; negative if behind
	SentCount int  // number of datagrams that it has sent

	fleet     *Fleet
	index     int                               // number of the process
	turns     int                               // number of turns, including those skipped by Paused and Slow
	inbox     []queuedDatagram                  // datagrams that arrived while it was paused
	pausedAt  Time                              // start of the last pause
	resumedAt Time                              // end of the last pause of more than a second; zero if there was none
	newest    map[uint32]membership.Incarnation // newest incarnation in the view so far, by member ID
	version   uint64                            // version of the view at the last check
}

// queuedDatagram is a datagram that waits for a paused process.
type queuedDatagram struct {
	from int // number of the sending process
	data []byte
}

// reset replaces the node's process by a new one.
func (n *Node) reset(core *membership.Core) {
	n.Core, n.Running, n.Paused = core, true, false
	n.inbox, n.version, n.resumedAt = nil, 0, 0
	clear(n.newest)
}

// receive passes a datagram from another process to the core.
func (n *Node) receive(from int, data []byte) {
	if n.fleet.Seeds > 0 {
		n.Core.ReceiveFrom(n.fleet.now, address(from), data)
	} else {
		n.Core.Receive(n.fleet.now, from, data)
	}
}

// takeTurn calls Core.Tick and then delivers the datagrams that waited for the process. With the injected
// fault IgnorePause, it skips the tick if datagrams waited, so that they are handled before the next tick.
func (n *Node) takeTurn() {
	inbox := n.inbox
	n.inbox = nil
	if len(inbox) == 0 || !n.fleet.baseConfig.IgnorePause {
		n.Core.Tick(n.fleet.now, wallStart+n.fleet.now+n.WallStep)
	}
	for _, d := range inbox {
		n.receive(d.from, d.data)
	}
	n.checkInvariants()
}

// Send implements membership.Effects. It simulates the network: the datagram may be lost, duplicated and
// delayed. A datagram that is too long is a violation.
func (n *Node) Send(slot int, data []byte) {
	f := n.fleet
	n.SentCount++
	if f.OnSend != nil {
		f.OnSend(n.index, slot, data)
	}
	if f.Seeds > 0 {
		slot = int(n.Core.Address(slot).Port()) - firstPort
	}
	if len(data) > membership.MaxDatagramBytes {
		f.recordViolation("n%d sends a datagram of %d bytes, at most %d are allowed", n.index, len(data), membership.MaxDatagramBytes)
		return
	}
	if n.Mute {
		return
	}
	copies := 1
	if f.rng.Float64() < f.Duplication {
		copies = 2
	}
	for range copies {
		if f.rng.Float64() < f.Loss || f.CutLinks[link{n.index, slot}] {
			continue
		}
		data := slices.Clone(data)
		f.Schedule(f.now+f.Delay+Time(f.rng.Int64N(int64(f.Jitter)+1)), func() { f.Nodes[slot].deliver(n.index, data) })
	}
}

// deliver delivers a datagram at the end of its delay. The datagram is lost if the process does not run or is
// deaf or the link is cut, and waits in the inbox if the process is paused.
func (n *Node) deliver(from int, data []byte) {
	switch {
	case !n.Running || n.Deaf || n.fleet.CutLinks[link{from, n.index}]: // the datagram is lost
	case n.Paused:
		if len(n.inbox) < maxInbox {
			n.inbox = append(n.inbox, queuedDatagram{from, data})
		}
	default:
		n.receive(from, data)
		n.checkInvariants()
	}
}

// Changed implements membership.Effects.
func (n *Node) Changed(c membership.Change) {
	n.checkChange(c)
	if n.fleet.OnChange != nil {
		n.fleet.OnChange(n.index, c)
	}
}
