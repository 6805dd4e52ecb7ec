package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

const snapshotVersion = 1

// appliedLog is how far the log has been applied.
type appliedLog struct {
	index, term   uint64 // of the last entry applied
	snapshotIndex uint64 // up to which a stored snapshot covers it
}

func (a *appliedLog) reset(m raftpb.SnapshotMetadata) {
	a.index, a.term, a.snapshotIndex = m.Index, m.Term, m.Index
}

// currentSnapshots gives the raft library snapshots of the present state. An older one would not name a member that was added since, and that
// member would reject it.
type currentSnapshots struct {
	*raft.MemoryStorage
	core *Core
}

// Snapshot is raft.Storage's.
func (s currentSnapshots) Snapshot() (raftpb.Snapshot, error) { return s.core.takeSnapshot() }

// takeSnapshot makes a snapshot of what has been applied, or returns the last one if it is as new.
func (c *Core) takeSnapshot() (raftpb.Snapshot, error) {
	state := c.configuration.state
	snap, err := c.storage.CreateSnapshot(c.applied.index, &state, c.encodeSnapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return c.storage.Snapshot()
	}
	return snap, err
}

// encodeSnapshot writes the members' names and every machine's state.
func (c *Core) encodeSnapshot() []byte {
	var w encoding.Writer
	w.Uint(snapshotVersion)
	c.configuration.encodeNames(&w)
	c.machines.EncodeSnapshots(&w)
	return w.Data
}

// restoreSnapshot replaces all that was applied by a snapshot.
func (c *Core) restoreSnapshot(snap raftpb.Snapshot) error {
	r := encoding.Reader{Data: snap.Data}
	if v := r.Uint(); v != snapshotVersion {
		return fmt.Errorf("consensus: a snapshot of version %d, only 1 is known", v)
	}
	names := decodeNames(&r)
	if err := c.machines.RestoreSnapshots(&r, maxMachineBytes); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if err := r.Err(); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	c.configuration.names, c.configuration.state = names, snap.Metadata.ConfState
	c.applied.reset(snap.Metadata)
	c.updatePhase()
	return nil
}

// compact stores a snapshot once enough commands were applied since the last one, and drops the entries that are further behind it than
// Config.TrailingEntries.
func (c *Core) compact() {
	if c.applied.index-c.applied.snapshotIndex < uint64(c.cfg.SnapshotEvery) {
		return
	}
	snap, err := c.takeSnapshot()
	if err != nil {
		panic(err)
	}
	if !c.checkStored(c.store.Save(raftpb.HardState{}, nil, snap)) {
		return
	}
	c.applied.snapshotIndex = c.applied.index
	first, _ := c.storage.FirstIndex()
	trailing := uint64(c.cfg.TrailingEntries)
	if upTo := c.applied.index - trailing; c.applied.index > trailing && upTo > first {
		if err := c.storage.Compact(upTo); err != nil {
			panic(err)
		}
		c.checkStored(c.store.Compact(upTo))
	}
}
