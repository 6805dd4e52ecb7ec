package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// snapshotVersion is the version of the encoding of snapshots, which begins with it.
const snapshotVersion = 1

// appliedLog records how far the log has been applied.
type appliedLog struct {
	index, term   uint64 // index and term of the last applied entry
	snapshotIndex uint64 // index of the last entry that the stored snapshot covers
}

// reset sets the state to that after a snapshot was stored or restored.
func (a *appliedLog) reset(m raftpb.SnapshotMetadata) {
	a.index, a.term, a.snapshotIndex = m.Index, m.Term, m.Index
}

// currentSnapshots is a raft.Storage that returns snapshots of the current state instead of the last
// stored one. A member that was added later would reject the stored snapshot, which does not name
// that member.
type currentSnapshots struct {
	*raft.MemoryStorage
	core *Core
}

// Snapshot implements raft.Storage.
func (s currentSnapshots) Snapshot() (raftpb.Snapshot, error) { return s.core.takeSnapshot() }

// takeSnapshot returns a snapshot of the applied state: the last one if no entry was applied since,
// or else a new one.
func (c *Core) takeSnapshot() (raftpb.Snapshot, error) {
	state := c.configuration.state
	snap, err := c.storage.CreateSnapshot(c.applied.index, &state, c.encodeSnapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return c.storage.Snapshot()
	}
	return snap, err
}

// encodeSnapshot encodes the names of the members and the state of each machine.
func (c *Core) encodeSnapshot() []byte {
	var w encoding.Writer
	w.Uint(snapshotVersion)
	c.configuration.encodeNames(&w)
	c.machines.EncodeSnapshots(&w)
	return w.Data
}

// restoreSnapshot replaces the applied state with a snapshot.
func (c *Core) restoreSnapshot(snap raftpb.Snapshot) error {
	r := encoding.Reader{Data: snap.Data}
	if v := r.Uint(); v != snapshotVersion {
		return fmt.Errorf("consensus: a snapshot has version %d, want %d", v, snapshotVersion)
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

// compact stores a snapshot once Config.SnapshotEvery entries were applied since the last one. It
// then removes all entries but the last Config.TrailingEntries.
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
