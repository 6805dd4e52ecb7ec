package membership

import (
	"fmt"
	"net/netip"
)

// rejectionInterval is the minimum time between two rejections that a process sends, so that invalid
// datagrams do not cause as many in return.
const rejectionInterval = sec

// NameInUseError is returned for a datagram whose sender uses the name of another live process, either
// the receiver or another member.
type NameInUseError struct {
	Name   string // the receiver's name; empty if the name is another member's
	Sender uint32 // the sender's ID, which is the hash of the name
}

// Error implements error.
func (e *NameInUseError) Error() string {
	if e.Name != "" {
		return fmt.Sprintf("membership: another process uses the name %q of this process", e.Name)
	}
	return fmt.Sprintf("membership: the name of the sender %08x is in use by a live member", e.Sender)
}

// RejectedError is returned for a datagram with which a member rejects this process.
type RejectedError struct {
	Member uint32 // ID of the member that rejected this process
	Reason Rejection
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("membership: member %08x does not admit this process: %s", e.Member, e.Reason.description())
}

// ReceiveFrom is like Receive, but for a Core with Config.Seeds. from is the sender's address, which
// ReceiveFrom learns if the datagram is well-formed and of this fleet.
func (c *Core) ReceiveFrom(now Time, from netip.AddrPort, data []byte) error {
	if _, _, err := decodeHeader(data, c.fleet); err != nil {
		return c.Receive(now, -1, data) // returns the same error; an address that sends such datagrams gets no slot (number)
	}
	return c.Receive(now, c.learnSlot(from), data)
}

// learnSlot returns the slot of an address, the number assigned to it, or -1 if all slots are in
// use. If it adds a slot, that slot is probed in turn from then on.
func (c *Core) learnSlot(a netip.AddrPort) int {
	slot, added := c.addresses.slotFor(a, &c.members)
	if added {
		c.prober.addSlot(slot)
	}
	return slot
}

// Receive handles a datagram from the address of slot. It rejects datagrams from a slot that does not
// exist as malformed. For a datagram that it rejects, it returns ErrMalformed, ErrOtherVersion,
// ErrOtherFleet or a *NameInUseError, all of which Counts includes. If a member rejects this process by
// the datagram, it returns a *RejectedError.
func (c *Core) Receive(now Time, slot int, data []byte) error {
	c.now = max(c.now, now)
	if gap, paused := c.isolation.receive(now, c.pauseThreshold()); paused && !c.cfg.IgnorePause {
		c.isolation.advancePastPause(now, gap)
		c.resumeAfterPause(gap)
	}
	h, body, err := decodeHeader(data, c.fleet)
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
	return c.handleDatagram(slot, h, body)
}

// rejectUndecoded counts a datagram that decodeHeader rejected, and notifies the sender if it is of
// another fleet.
func (c *Core) rejectUndecoded(slot int, h header, err error) {
	switch err {
	case ErrOtherVersion:
		c.counts.OtherVersion++
	case ErrOtherFleet:
		c.counts.OtherFleet++
		c.reject(slot, h.fleet, rejectedFleet)
	default:
		c.counts.Malformed++
	}
}

// handleOwnName handles a datagram under this process's name. If addresses are learnt and the start
// times are equal, this process has sent the datagram to its own address, which is among the seeds. It
// returns nil, and the address is not probed again. Otherwise another process uses the name.
func (c *Core) handleOwnName(slot int, h header) error {
	if c.addresses.learnsAddresses() && h.incarnation.Start() == c.incarnation.Start() {
		c.prober.removeSlot(slot)
		return nil
	}
	c.counts.NameConflicts++
	return &NameInUseError{Name: c.cfg.Name, Sender: h.sender}
}

// nameInUse reports whether a datagram from slot, under member m's name, comes from another process than m:
// m is alive at another slot, and this process has heard m at that slot within Config.UnreachableAfter.
func (c *Core) nameInUse(m *member, slot int, incarnation Incarnation, now Time) bool {
	elsewhere := m.Slot >= 0 && m.Slot != slot && incarnation.Start() != m.Incarnation.Start()
	return elsewhere && now-m.HeardHere < c.cfg.UnreachableAfter && m.State == Alive
}

// handleOldIncarnation answers a datagram of an older incarnation with the incarnation known to
// this process. If the sender is the current process, whose clock was set back, the answer makes it
// raise its incarnation.
func (c *Core) handleOldIncarnation(slot int, sender uint32) {
	c.counts.OldIncarnation++
	d := c.newDatagram()
	d.update(c.updateFor(sender))
	c.transmit(slot, d)
}

// handleDatagram handles an accepted datagram: its sender counts as heard. It returns a *RejectedError if
// the sender does not admit this process.
func (c *Core) handleDatagram(slot int, h header, body parts) error {
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
	for len(body) > 0 {
		p, _ := body.next()
		if p.kind() == partRejected {
			rejected = &RejectedError{Member: h.sender, Reason: decodeRejection(p)}
		} else {
			c.handlePart(m, slot, p)
		}
	}
	if isNew && c.addresses.learnsAddresses() {
		c.spread(h.sender) // the other members may not know its address
	}
	return rejected
}

// reject notifies the process at slot why it is not admitted, unless a rejection was sent within
// rejectionInterval. fleet is the hash of that process's fleet: it would reject a datagram of another fleet.
func (c *Core) reject(slot int, fleet uint32, reason Rejection) {
	if !c.addresses.validSlot(slot) || c.now-c.lastRejection < rejectionInterval && c.lastRejection > 0 {
		return
	}
	c.lastRejection = c.now
	d := &datagram{}
	d.begin(header{fleet, c.selfID, c.incarnation, c.Digest()}, MaxDatagramBytes-c.cfg.Overhead)
	d.rejected(reason)
	c.transmit(slot, d)
}
