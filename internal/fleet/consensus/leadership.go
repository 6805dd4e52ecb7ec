package consensus

import (
	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/encoding"
)

// EventLeaderElected is the event of a process that becomes the leader.
const EventLeaderElected = "leader_elected"

// leadership is what this process has reported of its own lead.
type leadership struct {
	reportedTerm  uint64 // in which it leads; 0: it does not
	transferUntil Time   // until then it does not act as the leader: it has handed the lead over
}

// Leading reports whether this process leads and has applied all that earlier leaders committed, and in which term. It may have been deposed
// without knowing it: whoever relies on the lead calls Confirm first.
func (c *Core) Leading() (term uint64, ok bool) {
	if c.node == nil || c.phase != Member {
		return 0, false
	}
	status := c.node.BasicStatus()
	return status.Term, status.RaftState == raft.StateLeader && c.applied.term == status.Term && c.now >= c.leadership.transferUntil
}

// Leader is the peer that leads, as far as this process knows; 0: none.
func (c *Core) Leader() uint32 {
	if c.node == nil {
		return 0
	}
	return peerOf(c.node.BasicStatus().Lead)
}

// Confirm queries the voters whether this process still leads; Effects.Confirmed is called with the tag if so, and never if not. The error is
// ErrNotLeader.
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

// Propose proposes a command. Effects.Applied is called with the tag once it is applied; a leader that is deposed meanwhile may never learn
// whether it was. Errors are ErrCommandTooLong, ErrNotLeader and ErrBusy.
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

// TransferLeadership hands leadership to the voter that is most up to date, if this process leads.
func (c *Core) TransferLeadership(now Time) {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return
	}
	if successor := c.mostUpToDate(); successor != 0 {
		c.leadership.transferUntil = c.now + c.cfg.electionTimeout() // as long as the library attempts the transfer
		c.recoverPanic(func() { c.node.TransferLeader(successor) })
		c.processReady()
	}
}

// mostUpToDate is the active voter other than this process that has most of the log; 0: none is active.
func (c *Core) mostUpToDate() (best uint64) {
	match := uint64(0)
	c.node.WithProgress(func(id uint64, kind raft.ProgressType, pr progress) {
		if id != c.identity.ID && kind == raft.ProgressTypePeer && pr.RecentActive && (best == 0 || pr.Match > match) {
			best, match = id, pr.Match
		}
	})
	return best
}

// reportLeadership logs changes in whether this process leads. A new leader also clears configuration.changing: a snapshot may have skipped the
// command that ended a change, and the raft library itself drops a change that comes while another is in force.
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
