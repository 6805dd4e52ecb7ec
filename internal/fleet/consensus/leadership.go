package consensus

import (
	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/encoding"
)

// EventLeaderElected is the event that is logged when this process becomes the leader.
const EventLeaderElected = "leader_elected"

// leadership holds what this process has logged of its own leadership, and its last transfer.
type leadership struct {
	reportedTerm  uint64 // term in which this process has logged that it leads; 0 if it does not lead
	transferUntil Time   // time until which this process does not act as the leader after a transfer
}

// Leading reports whether this process leads and has applied all entries that earlier leaders
// committed. If ok is true, term is the term in which it leads. The process may have been deposed
// without knowing it: a caller that relies on its leadership must call Confirm first.
func (c *Core) Leading() (term uint64, ok bool) {
	if c.node == nil || c.phase != Member {
		return 0, false
	}
	status := c.node.BasicStatus()
	return status.Term, status.RaftState == raft.StateLeader && c.applied.term == status.Term && c.now >= c.leadership.transferUntil
}

// Leader returns the peer that leads, as far as this process knows, or 0 if it knows none.
func (c *Core) Leader() uint32 {
	if c.node == nil {
		return 0
	}
	return peerOf(c.node.BasicStatus().Lead)
}

// Confirm asks the voters whether this process still leads. If it does, Effects.Confirmed is called
// with the tag; otherwise Effects.Confirmed is never called. Confirm returns ErrNotLeader if this
// process does not lead as far as it knows.
func (c *Core) Confirm(now Time, tag uint64) error {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var w encoding.Writer
	c.recoverPanic(func() { c.node.ReadIndex(w.Uint(tag).Data) })
	c.processReady()
	return nil
}

// Propose proposes a command to a machine. Effects.Applied is called with the tag once the command
// is applied; a leader that is deposed meanwhile may never learn whether it was. Propose returns
// ErrCommandTooLong, ErrNotLeader or ErrBusy on failure.
func (c *Core) Propose(now Time, machine byte, tag uint64, cmd []byte) error {
	c.now = max(c.now, now)
	if len(cmd) > maxCommandBytes {
		return ErrCommandTooLong
	}
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var err error
	c.recoverPanic(func() { err = c.node.Propose(proposal{tag, machine, cmd}.encode()) })
	c.processReady()
	if err != nil {
		return ErrBusy
	}
	return nil
}

// TransferLeadership transfers leadership to the most up-to-date active voter. It does nothing if
// this process does not lead or no other voter is active.
func (c *Core) TransferLeadership(now Time) {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return
	}
	if successor := c.mostUpToDate(); successor != 0 {
		// The raft library attempts the transfer for an election timeout.
		c.leadership.transferUntil = c.now + c.cfg.electionTimeout()
		c.recoverPanic(func() { c.node.TransferLeader(successor) })
		c.processReady()
	}
}

// mostUpToDate returns the identity of the active voter, other than this process, that has most of
// the log, or 0 if none is active.
func (c *Core) mostUpToDate() (best uint64) {
	match := uint64(0)
	c.node.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		if id != c.identity.ID && kind == raft.ProgressTypePeer && pr.RecentActive && (best == 0 || pr.Match > match) {
			best, match = id, pr.Match
		}
	})
	return best
}

// reportLeadership logs when this process starts or stops leading. A new leader also clears
// configuration.changing, since a snapshot may have skipped the entry that ended a change. The raft
// library itself drops a change that is proposed during another.
func (c *Core) reportLeadership() {
	status := c.node.BasicStatus()
	if status.RaftState != raft.StateLeader {
		if c.leadership.reportedTerm != 0 {
			c.leadership.reportedTerm = 0
			c.effects.LogEvent("leader_lost", "term", status.Term)
		}
		return
	}
	if c.leadership.reportedTerm != status.Term {
		c.leadership.reportedTerm = status.Term
		c.configuration.changing = false
		c.effects.LogEvent(EventLeaderElected, "term", status.Term)
	}
}
