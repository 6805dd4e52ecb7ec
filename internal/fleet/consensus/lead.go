package consensus

import (
	"fmt"
	"sort"

	"go.etcd.io/raft/v3"

	"croftlock/internal/fleet/encoding"
)

// Phase is how far a process takes part.
type Phase uint8

var phaseNames = [...]string{"starting", "outside", "member", "stale", "broken"}

func (p Phase) String() string { return phaseNames[p] }

// Leading tells whether this process leads and has applied all that earlier leaders agreed on, and in which term. It may have been
// deposed without knowing yet: what must not rest on a deposed leader's word asks Confirm first.
func (c *Core) Leading() (term uint64, ok bool) {
	if c.node == nil || c.phase != Member {
		return 0, false
	}
	st := c.node.BasicStatus()
	return st.Term, st.RaftState == raft.StateLeader && c.termAt == st.Term && c.now >= c.yields
}

// Leader is whom this process takes for the leader; 0: nobody.
func (c *Core) Leader() uint32 {
	if c.node == nil {
		return 0
	}
	return peerOf(c.node.BasicStatus().Lead)
}

// Confirm asks the voters whether this process leads still; Confirmed is called under the tag if so, and never if not.
func (c *Core) Confirm(now Time, tag uint64) error {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var w encoding.Writer
	c.guard(func() { c.node.ReadIndex(w.Uint(tag).Data) })
	c.work()
	return nil
}

// Propose has a command agreed on. Applied tells that it was, under the tag; a leader that loses its place may never hear.
func (c *Core) Propose(now Time, machine byte, tag uint64, cmd []byte) error {
	c.now = max(c.now, now)
	if len(cmd) > mostCommand {
		return ErrCommandTooLong
	}
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var w encoding.Writer
	w.Uint(tag).Uint(uint64(machine))
	var err error
	c.guard(func() { err = c.node.Propose(append(w.Data, cmd...)) })
	c.work()
	if err != nil {
		return ErrBusy
	}
	return nil
}

// Yield gives the lead to the voter that is most up to date, if this process has it.
func (c *Core) Yield(now Time) {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return
	}
	best, match := uint64(0), uint64(0)
	c.node.WithProgress(func(id uint64, kind raft.ProgressType, pr tracker) {
		if id != c.who.ID && kind == raft.ProgressTypePeer && pr.RecentActive && (best == 0 || pr.Match > match) {
			best, match = id, pr.Match
		}
	})
	if best != 0 {
		c.yields = c.now + Time(c.cfg.ElectionTicks)*c.cfg.TickInterval // as long as the library tries
		c.guard(func() { c.node.TransferLeader(best) })
		c.work()
	}
}

// Close ends this process's part.
func (c *Core) Close() error {
	c.node = nil
	if c.phase == Member || c.phase == Starting {
		c.phase = NotMember
	}
	return c.store.Close()
}

// Status tells how this process stands.
func (c *Core) Status() Status {
	s := Status{Phase: c.phase.String(), Reason: c.why, ID: fmt.Sprintf("%016x", c.who.ID), Boots: c.who.Starts, Applied: c.applied, Waits: []string{}, Members: []StatusMember{}}
	progress := map[uint64]tracker{}
	if c.node != nil {
		st := c.node.BasicStatus()
		s.Term, s.Commit, s.Leader = st.Term, st.Commit, c.names[st.Lead]
		if st.RaftState == raft.StateLeader {
			c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker) { progress[id] = pr })
		}
	}
	for name := range c.applicant {
		s.Waits = append(s.Waits, name)
	}
	sort.Strings(s.Waits)
	for _, votes := range []bool{true, false} {
		ids := c.conf.Voters
		if !votes {
			ids = c.conf.Learners
		}
		for _, id := range ids {
			pr := progress[id]
			s.Members = append(s.Members, StatusMember{Name: c.names[id], ID: fmt.Sprintf("%016x", id), Votes: votes, Match: pr.Match,
				Active: pr.RecentActive || id == c.who.ID && pr.Match > 0})
		}
	}
	return s
}

// Phase is how far this process takes part, and why not further.
func (c *Core) Phase() (Phase, string) { return c.phase, c.why }

// Failure is what broke this voter; nil: nothing.
func (c *Core) Failure() error { return c.failure }

// Applied is the last command applied here.
func (c *Core) Applied() uint64 { return c.applied }
