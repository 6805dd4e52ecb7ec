package consensus

import (
	"errors"
	"fmt"
	"sort"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

func cmpErr(err error, why string) any {
	if err != nil {
		return err
	}
	return why
}

// live gives the library snapshots as of now: an earlier one does not know of a member that was added since, which would refuse it.
type live struct {
	*raft.MemoryStorage
	c *Core
}

func (l live) Snapshot() (raftpb.Snapshot, error) {
	conf := l.c.conf
	snap, err := l.CreateSnapshot(l.c.applied, &conf, l.c.snapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return l.MemoryStorage.Snapshot()
	}
	return snap, err
}

func (c *Core) apply(e *raftpb.Entry) {
	c.applied, c.termAt = e.Index, e.Term
	switch e.Type {
	case raftpb.EntryNormal:
		r := encoding.Reader{Data: e.Data}
		tag, kind := r.Uint(), byte(r.Uint())
		if m := c.machines[kind]; len(e.Data) > 0 && r.Err() == nil && m != nil {
			c.fx.Applied(kind, tag, m.Apply(r.Data))
		}
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := cc.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		c.reconfigure(cc.AsV2())
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := cc.Unmarshal(e.Data); err != nil {
			panic(err)
		}
		c.reconfigure(cc)
	}
}

func (c *Core) reconfigure(cc raftpb.ConfChangeV2) {
	c.conf = *c.node.ApplyConfChange(cc)
	r := encoding.Reader{Data: cc.Context}
	tag, name := r.Uint(), r.Text(mostName)
	for _, ch := range cc.Changes {
		switch ch.Type {
		case raftpb.ConfChangeAddNode, raftpb.ConfChangeAddLearnerNode:
			c.names[ch.NodeID] = name
			delete(c.applicant, name)
		case raftpb.ConfChangeRemoveNode:
			delete(c.names, ch.NodeID)
		}
	}
	c.changing = len(c.conf.VotersOutgoing) > 0
	c.place()
	if len(cc.Changes) > 0 {
		c.fx.LogEvent("group_changed", "voters", len(c.conf.Voters), "learners", len(c.conf.Learners), "name", name)
		c.fx.Applied(0, tag, nil)
	}
}

// place sees whether this process is of the group.
func (c *Core) place() {
	if c.phase != Member && c.phase != NotMember {
		return
	}
	_, in := c.names[c.who.ID]
	if in != (c.phase == Member) {
		if c.phase = NotMember; in {
			c.phase = Member
		}
		c.fx.LogEvent("replica_phase", "phase", c.phase.String())
	}
}

// snapshot holds the members' names and every machine's state.
func (c *Core) snapshot() []byte {
	var w encoding.Writer
	ids := make([]uint64, 0, len(c.names))
	for id := range c.names {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	w.Uint(1).Uint(uint64(len(ids)))
	for _, id := range ids {
		w.Uint(id).Text(c.names[id])
	}
	w.Uint(uint64(len(c.kinds)))
	for _, k := range c.kinds {
		w.Uint(uint64(k)).Bytes(c.machines[k].Snapshot())
	}
	return w.Data
}

// mostSnapshot bounds the state of all machines.
const mostSnapshot = 150 << 10

func (c *Core) restore(snap raftpb.Snapshot) error {
	r := encoding.Reader{Data: snap.Data}
	if v := r.Uint(); v != 1 {
		return fmt.Errorf("consensus: a snapshot of version %d, only 1 is known", v)
	}
	names := map[uint64]string{}
	for n := r.Count(64); n > 0; n-- {
		id := r.Uint()
		names[id] = r.Text(mostName)
	}
	for n := r.Count(256); n > 0; n-- {
		k, data := byte(r.Uint()), r.Bytes(mostSnapshot)
		if r.Err() != nil {
			break
		}
		if m := c.machines[k]; m != nil {
			if err := m.Restore(data); err != nil {
				return fmt.Errorf("consensus: machine %d: %w", k, err)
			}
		}
	}
	if err := r.Err(); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	c.names, c.conf = names, snap.Metadata.ConfState
	c.applied, c.snapAt, c.termAt = snap.Metadata.Index, snap.Metadata.Index, snap.Metadata.Term
	c.place()
	return nil
}

func (c *Core) compact() {
	if c.applied-c.snapAt < uint64(c.cfg.SnapshotEvery) {
		return
	}
	conf := c.conf
	snap, err := c.mem.CreateSnapshot(c.applied, &conf, c.snapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		snap, err = c.mem.Snapshot()
	}
	if err != nil {
		panic(err)
	}
	if !c.check(c.store.Save(raftpb.HardState{}, nil, snap)) {
		return
	}
	c.snapAt = c.applied
	first, _ := c.mem.FirstIndex()
	if to := c.applied - uint64(c.cfg.KeepBehindSnapshot); c.applied > uint64(c.cfg.KeepBehindSnapshot) && to > first {
		if err := c.mem.Compact(to); err != nil {
			panic(err)
		}
		c.check(c.store.Compact(to))
	}
}
