package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

const (
	snapshotVersion = 1
	// maxMachines is how many kinds a byte can name.
	maxMachines = 256
)

// appliedLog is how far the log has been applied.
type appliedLog struct {
	index, term   uint64 // of the last entry applied
	snapshotIndex uint64 // up to which a stored snapshot covers it
}

func (a *appliedLog) reset(m raftpb.SnapshotMetadata) {
	a.index, a.term, a.snapshotIndex = m.Index, m.Term, m.Index
}

// stateMachines are those that apply the commands, by the kind that a command names.
type stateMachines struct {
	byKind map[byte]Machine
	kinds  []byte // sorted, so that equal states have equal snapshots
}

func newStateMachines(byKind map[byte]Machine) stateMachines {
	return stateMachines{byKind: byKind, kinds: slices.Sorted(maps.Keys(byKind))}
}

func (s *stateMachines) encode(w *encoding.Writer) {
	w.Uint(uint64(len(s.kinds)))
	for _, kind := range s.kinds {
		w.Uint(uint64(kind)).Bytes(s.byKind[kind].Snapshot())
	}
}

// restore reads every machine's state; a kind that is not known here is skipped.
func (s *stateMachines) restore(r *encoding.Reader) error {
	for n := r.Count(maxMachines); n > 0; n-- {
		kind, data := byte(r.Uint()), r.Bytes(maxMachineBytes)
		if r.Err() != nil {
			return nil // the caller reports it
		}
		if m := s.byKind[kind]; m != nil {
			if err := m.Restore(data); err != nil {
				return fmt.Errorf("consensus: machine %d: %w", kind, err)
			}
		}
	}
	return nil
}

// currentSnapshots gives the raft library snapshots as of now: an earlier one does not know of a member that was added since, which would
// refuse it.
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
	c.machines.encode(&w)
	return w.Data
}

// restoreSnapshot puts a snapshot in place of all that was applied.
func (c *Core) restoreSnapshot(snap raftpb.Snapshot) error {
	r := encoding.Reader{Data: snap.Data}
	if v := r.Uint(); v != snapshotVersion {
		return fmt.Errorf("consensus: a snapshot of version %d, only 1 is known", v)
	}
	names := decodeNames(&r)
	if err := c.machines.restore(&r); err != nil {
		return err
	}
	if err := r.Err(); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	c.configuration.names, c.configuration.state = names, snap.Metadata.ConfState
	c.applied.reset(snap.Metadata)
	c.updatePhase()
	return nil
}

// compact stores a snapshot once enough commands have been applied since the last one, and drops the entries well behind it.
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
	kept := uint64(c.cfg.TrailingEntries)
	if upTo := c.applied.index - kept; c.applied.index > kept && upTo > first {
		if err := c.storage.Compact(upTo); err != nil {
			panic(err)
		}
		c.checkStored(c.store.Compact(upTo))
	}
}
