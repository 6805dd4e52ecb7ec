package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
)

// Status returns a description of this process for operators.
func (c *Core) Status() Status {
	s := Status{
		Phase:      c.phase.String(),
		Reason:     c.reason(),
		ID:         formatID(c.identity.ID),
		Starts:     c.identity.Starts,
		Applied:    c.applied.index,
		Applicants: []string{},
		Members:    []StatusMember{},
	}
	followers := map[uint64]progress{}
	if c.node != nil {
		status := c.node.BasicStatus()
		s.Term, s.Commit, s.Leader = status.Term, status.Commit, c.configuration.names[status.Lead]
		if status.RaftState == raft.StateLeader {
			c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr progress) { followers[id] = pr })
		}
	}
	s.Applicants = slices.AppendSeq(s.Applicants, maps.Keys(c.joining.applicants))
	slices.Sort(s.Applicants)
	member := func(id uint64, votes bool) StatusMember {
		pr := followers[id]
		active := pr.RecentActive || id == c.identity.ID && pr.Match > 0
		return StatusMember{Name: c.configuration.names[id], ID: formatID(id), Votes: votes, Match: pr.Match, Active: active}
	}
	for _, id := range c.configuration.state.Voters {
		s.Members = append(s.Members, member(id, true))
	}
	for _, id := range c.configuration.state.Learners {
		s.Members = append(s.Members, member(id, false))
	}
	return s
}

func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// Phase returns the phase of this process, and the reason if it is Stale or Broken.
func (c *Core) Phase() (Phase, string) { return c.phase, c.reason() }

// reason explains to operators why this process has stopped taking part. It returns "" if the
// process takes part or may still do so.
func (c *Core) reason() string {
	switch c.phase {
	case Stale:
		return staleReason
	case Broken:
		return c.failure.Error()
	}
	return ""
}

// Failure returns the error for which this replica is Broken, or nil if it is not.
func (c *Core) Failure() error { return c.failure }

// Applied returns the index of the last log entry that this process applied.
func (c *Core) Applied() uint64 { return c.applied.index }
