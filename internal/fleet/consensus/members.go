package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// Add takes a process that has asked for it into the group, as one that listens and does not vote.
func (c *Core) Add(now Time, tag uint64, name string) error {
	id, asks := c.applicant[name]
	if !asks {
		return fmt.Errorf("%s has not asked to be taken in: start it with an empty store and this group's name", name)
	}
	if _, in := c.names[id]; in {
		return fmt.Errorf("%s is of the group already", name)
	}
	return c.change(now, tag, name, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode, NodeID: id})
}

// Promote lets a member that listens vote, once it has caught up. An earlier identity of the same process loses its vote in the same
// step.
func (c *Core) Promote(now Time, tag uint64, name string) error {
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var changes []raftpb.ConfChangeSingle
	for _, id := range c.conf.Learners {
		if c.names[id] != name {
			continue
		}
		behind := true
		c.node.WithProgress(func(p uint64, _ raft.ProgressType, pr tracker) {
			if p == id && pr.RecentActive && pr.Match > 0 && pr.Match+64 >= c.node.BasicStatus().Commit {
				behind = false
			}
		})
		if behind {
			return fmt.Errorf("%s has not caught up yet", name)
		}
		changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
	}
	if len(changes) == 0 {
		return fmt.Errorf("%s is no member that listens: add it first", name)
	}
	for _, id := range c.conf.Voters {
		if c.names[id] == name {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	return c.change(now, tag, name, changes...)
}

// Remove takes a process out of the group.
func (c *Core) Remove(now Time, tag uint64, name string) error {
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	var changes []raftpb.ConfChangeSingle
	left, active := 0, 0
	recent := map[uint64]bool{c.who.ID: true}
	c.node.WithProgress(func(p uint64, _ raft.ProgressType, pr tracker) { recent[p] = recent[p] || pr.RecentActive })
	for _, id := range append(append([]uint64(nil), c.conf.Voters...), c.conf.Learners...) {
		if c.names[id] == name {
			changes = append(changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	for _, id := range c.conf.Voters {
		if c.names[id] != name {
			left++
			if recent[id] {
				active++
			}
		}
	}
	switch {
	case len(changes) == 0:
		return fmt.Errorf("%s is not of the group", name)
	case left == 0 || 2*active <= left:
		return fmt.Errorf("without %s %d voters are left, of which %d answer: that is no majority", name, left, active)
	}
	return c.change(now, tag, name, changes...)
}

func (c *Core) change(now Time, tag uint64, name string, changes ...raftpb.ConfChangeSingle) error {
	c.now = max(c.now, now)
	if _, ok := c.Leading(); !ok {
		return ErrNotLeader
	}
	if c.changing {
		return ErrBusy
	}
	var w encoding.Writer
	var err error
	c.guard(func() {
		err = c.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: changes, Context: w.Uint(tag).Text(name).Data})
	})
	c.work()
	if err != nil {
		return ErrBusy
	}
	return nil
}
