package membership

import (
	"fmt"
	"net/netip"
)

// rejectionInterval is the least time between two rejections that are sent: whoever sends unusable datagrams must not cause as many in return.
const rejectionInterval = sec

// NameInUseError rejects a datagram whose sender uses the name of another live process: the receiver's own, or another member's.
type NameInUseError struct {
	Name   string // the receiver's own; "": another member's
	Sender uint32
}

// Error says whose name it is.
func (e *NameInUseError) Error() string {
	if e.Name != "" {
		return fmt.Sprintf("membership: another process has the name %s", e.Name)
	}
	return fmt.Sprintf("membership: the name of %08x is in use by a live member", e.Sender)
}

// RejectedError says that a member does not admit this process.
type RejectedError struct {
	Member uint32 // who rejected this process
	Reason Rejection
}

// Error says who rejected this process, and why.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("membership: %08x does not take this process in: %s", e.Member, e.Reason.description())
}

// ReceiveFrom is Receive where addresses are learnt: an address is learnt once a well-formed datagram of this fleet came from it.
func (c *Core) ReceiveFrom(now Time, from netip.AddrPort, data []byte) error {
	if _, _, err := decodeHeader(data, c.fleet); err != nil {
		return c.Receive(now, -1, data)
	}
	return c.Receive(now, c.learnSlot(from), data)
}

// learnSlot is the slot of an address, which is probed from now on if it is new; below 0 where all slots are in use.
func (c *Core) learnSlot(a netip.AddrPort) int {
	slot, added := c.addresses.slotFor(a, &c.members)
	if added {
		c.prober.addSlot(slot)
	}
	return slot
}

// Receive handles a datagram that came from an address, by its slot. Errors are ErrMalformed, ErrVersion, ErrFleet, a *NameInUseError or
// a *RejectedError; all but the last are counted.
func (c *Core) Receive(now Time, slot int, data []byte) error {
	c.now = max(c.now, now)
	if gap, paused := c.isolation.receive(now, c.pauseThreshold()); paused && !c.cfg.IgnorePause {
		c.isolation.advancePastPause(now, gap)
		c.resumeAfterPause(gap)
	}
	h, all, err := decodeHeader(data, c.fleet)
	if err != nil {
		c.rejectUndecoded(slot, h, err)
		return err
	}
	if !c.addresses.validSlot(slot) {
		c.counts.Malformed++
		return ErrMalformed
	}
	if h.sender == c.selfID {
		return c.handleOwnName(slot, h)
	}
	m := c.members.get(h.sender)
	if m != nil && c.nameInUse(m, slot, h.incarnation, now) {
		c.counts.NameConflicts++
		c.reject(slot, c.fleet, rejectedName)
		return &NameInUseError{Sender: h.sender}
	}
	if m != nil && h.incarnation < m.Incarnation && !c.cfg.IgnoreIncarnation {
		c.handleOldIncarnation(slot, h.sender)
		return nil
	}
	return c.handleDatagram(slot, h, all)
}

// rejectUndecoded counts a datagram that cannot be decoded, and notifies the sender if it is of another fleet.
func (c *Core) rejectUndecoded(slot int, h header, err error) {
	switch err {
	case ErrVersion:
		c.counts.OtherVersion++
	case ErrFleet:
		c.counts.OtherFleet++
		c.reject(slot, h.fleet, rejectedFleet)
	default:
		c.counts.Malformed++
	}
}

// handleOwnName handles a datagram under this process's name: its own, where its address is among the seeds, or another process's.
func (c *Core) handleOwnName(slot int, h header) error {
	if c.addresses.learnsAddresses() && h.incarnation.Start() == c.incarnation.Start() {
		c.prober.removeSlot(slot)
		return nil
	}
	c.counts.NameConflicts++
	return &NameInUseError{Name: c.cfg.Name, Sender: h.sender}
}

// nameInUse says whether a datagram under a member's name comes from another process while the member is alive elsewhere.
func (c *Core) nameInUse(m *member, slot int, incarnation Incarnation, now Time) bool {
	elsewhere := m.Slot >= 0 && m.Slot != slot && incarnation.Start() != m.Incarnation.Start()
	return elsewhere && now-m.HeardHere < c.cfg.UnreachableAfter && m.State == Alive
}

// handleOldIncarnation answers an earlier incarnation, or a process whose clock was set back, with the one known here: if the sender is
// the process that runs, it raises its own.
func (c *Core) handleOldIncarnation(slot int, sender uint32) {
	c.counts.OldIncarnation++
	d := c.newDatagram()
	d.update(c.updateFor(sender))
	c.transmit(slot, d)
}

// handleDatagram acts on a datagram whose sender counts as heard.
func (c *Core) handleDatagram(slot int, h header, all parts) error {
	c.counts.Heard++
	c.isolation.lastHeard = c.now
	c.prober.health.improve()
	m := c.members.get(h.sender)
	isNew := m == nil
	if isNew {
		m = c.members.add(h.sender, c.now)
	}
	c.handleContact(m, slot, h.incarnation)
	c.antiEntropy.recordComparison(h.digest == c.Digest(), c.now)
	var rejected error
	for len(all) > 0 {
		p, _ := all.next()
		if p.kind() == partRejected {
			rejected = &RejectedError{Member: h.sender, Reason: decodeRejection(p)}
		} else {
			c.handlePart(m, slot, p)
		}
	}
	if isNew && c.addresses.learnsAddresses() {
		c.spread(h.sender) // the others may not know its address
	}
	return rejected
}

// reject notifies a process why it is not admitted. The header names the receiver's fleet, or it would reject the datagram.
func (c *Core) reject(slot int, fleet uint32, reason Rejection) {
	if !c.addresses.validSlot(slot) || c.now-c.lastRejection < rejectionInterval && c.lastRejection > 0 {
		return
	}
	c.lastRejection = c.now
	d := &datagram{}
	d.begin(header{fleet, c.selfID, c.incarnation, c.Digest()}, MaxDatagram-c.cfg.Overhead)
	d.rejected(reason)
	c.transmit(slot, d)
}
