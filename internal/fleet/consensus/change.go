package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// promotionLag is how many log entries a learner may lag behind and still be promoted.
const promotionLag = 64

// Add proposes to add a process to the group as a learner, which does not vote. The process must
// have applied first, by sending a hello message with its identity to this replica; errors call that
// "asked to be taken in". The tag is passed to Effects.Applied once the change is applied.
func (c *Core) Add(now Time, tag uint64, name string) error {
	id, isApplicant := c.joining.applicants[name]
	if !isApplicant {
		return fmt.Errorf("%s has not asked to be taken in: start it with an empty store and this group's name", name)
	}
	if c.configuration.contains(id) {
		return fmt.Errorf("%s is of the group already", name)
	}
	return c.proposeChange(now, tag, name, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode, NodeID: id})
}

// Promote proposes to make a learner a voter; errors call a learner a "member that listens". It
// fails until the learner has caught up. If the process lost its disk and an earlier identity of it
// is a voter, the same change removes that identity, so that the number of voters stays the same.
func (c *Core) Promote(now Time, tag uint64, name string) error {
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var changes []raftpb.ConfChangeSingle
	for _, id := range c.identitiesOf(name, c.configuration.state.Learners) {
		if !c.caughtUp(id) {
			return fmt.Errorf("%s has not caught up yet", name)
		}
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
	}
	if len(changes) == 0 {
		return fmt.Errorf("%s is no member that listens: add it first", name)
	}
	for _, id := range c.identitiesOf(name, c.configuration.state.Voters) {
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
	}
	return c.proposeChange(now, tag, name, changes...)
}

// Remove proposes to remove a process from the group. It fails if the remaining active voters would
// not be a majority.
func (c *Core) Remove(now Time, tag uint64, name string) error {
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var changes []raftpb.ConfChangeSingle
	state := &c.configuration.state
	for _, id := range slices.Concat(c.identitiesOf(name, state.Voters), c.identitiesOf(name, state.Learners)) {
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
	}
	remaining, active := c.votersWithout(name)
	switch {
	case len(changes) == 0:
		return fmt.Errorf("%s is not of the group", name)
	case remaining == 0 || 2*active <= remaining:
		return fmt.Errorf("without %s %d voters are left, of which %d answer: that is no majority", name, remaining, active)
	}
	return c.proposeChange(now, tag, name, changes...)
}

// identitiesOf returns the elements of ids that are identities of the named process.
func (c *Core) identitiesOf(name string, ids []uint64) (own []uint64) {
	for _, id := range ids {
		if c.configuration.names[id] == name {
			own = append(own, id)
		}
	}
	return own
}

// caughtUp reports whether a learner has answered recently and is at most promotionLag entries
// behind the commit index. Only a leader knows that.
func (c *Core) caughtUp(id uint64) (enough bool) {
	c.node.WithProgress(func(member uint64, _ raft.ProgressType, pr progress) {
		if member == id && pr.RecentActive && pr.Match > 0 && pr.Match+promotionLag >= c.node.BasicStatus().Commit {
			enough = true
		}
	})
	return enough
}

// votersWithout returns the number of voters other than the named process, and how many of them are
// active: they have answered this leader recently, or are this process.
func (c *Core) votersWithout(name string) (remaining, active int) {
	recent := map[uint64]bool{c.identity.ID: true}
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr progress) { recent[id] = recent[id] || pr.RecentActive })
	for _, id := range c.configuration.state.Voters {
		if c.configuration.names[id] == name {
			continue
		}
		remaining++
		if recent[id] {
			active++
		}
	}
	return remaining, active
}

// proposeChange proposes a change of the configuration. It returns ErrBusy while another change is
// in progress.
func (c *Core) proposeChange(now Time, tag uint64, name string, changes ...raftpb.ConfChangeSingle) error {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	if c.configuration.changing {
		return ErrBusy
	}
	var err error
	c.recoverPanic(func() {
		err = c.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: changeContext{tag, name}.encode()})
	})
	c.processReady()
	if err != nil {
		return ErrBusy
	}
	return nil
}
