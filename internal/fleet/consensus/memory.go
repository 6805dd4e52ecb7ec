package consensus

import (
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// ErrClosed is returned by a MemoryStore that crashed or was closed.
var ErrClosed = errors.New("memory: closed")

// MemoryStore is a Store for tests and simulations. It simulates crashes, failures and files
// restored from a backup.
type MemoryStore struct {
	SkipSync    bool  // injected fault that breaks durability: a crash loses what was saved
	InjectedErr error // returned by Load and each write, unless nil

	stored StoredState
	synced *StoredState // state that a crash leaves, with SkipSync; nil if a crash loses nothing
	closed bool
}

// entriesAfter returns the entries whose index is greater than index.
func entriesAfter(entries []raftpb.Entry, index uint64) []raftpb.Entry {
	n := 0
	for n < len(entries) && entries[n].Index <= index {
		n++
	}
	return entries[n:]
}

func cloneState(s StoredState) StoredState {
	s.Entries = slices.Clone(s.Entries)
	s.StartRecords = maps.Clone(s.StartRecords)
	return s
}

// Load returns what was saved, without the entries that the snapshot covers. It reopens a store
// that crashed or was closed.
func (m *MemoryStore) Load() (StoredState, error) {
	m.closed = false
	out := cloneState(m.stored)
	if out.StartRecords == nil {
		out.StartRecords = map[uint64]StartRecord{}
	}
	out.Entries = entriesAfter(out.Entries, out.Snapshot.Metadata.Index)
	return out, m.InjectedErr
}

// write calls f to change the state. It returns an error instead if the store is closed or
// InjectedErr is set.
func (m *MemoryStore) write(f func(s *StoredState)) error {
	if m.closed {
		return ErrClosed
	}
	if m.InjectedErr != nil {
		return m.InjectedErr
	}
	if m.SkipSync && m.synced == nil {
		synced := cloneState(m.stored)
		m.synced = &synced
	}
	f(&m.stored)
	return nil
}

// Crash discards what was not synced and closes the store.
func (m *MemoryStore) Crash() {
	if m.synced != nil {
		m.stored, m.synced = *m.synced, nil
	}
	m.closed = true
}

// Copy returns a copy of the stored state, such as a backup contains.
func (m *MemoryStore) Copy() StoredState { return cloneState(m.stored) }

// Restore replaces all that was saved by s, which Copy returned.
func (m *MemoryStore) Restore(s StoredState) { m.stored, m.synced = cloneState(s), nil }

// SaveIdentity implements Store.
func (m *MemoryStore) SaveIdentity(id Identity) error {
	return m.write(func(s *StoredState) { s.Identity = id })
}

// SaveStartRecord implements Store.
func (m *MemoryStore) SaveStartRecord(id uint64, start StartRecord) error {
	return m.write(func(s *StoredState) {
		if s.StartRecords == nil {
			s.StartRecords = map[uint64]StartRecord{}
		}
		s.StartRecords[id] = start
	})
}

// Save implements Store.
func (m *MemoryStore) Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error {
	return m.write(func(s *StoredState) {
		if !raft.IsEmptySnap(snap) {
			s.Snapshot = snap
			if n := len(s.Entries); n > 0 && s.Entries[n-1].Index < snap.Metadata.Index {
				s.Entries = nil
			}
		}
		if len(entries) > 0 {
			kept := len(s.Entries) - len(entriesAfter(s.Entries, entries[0].Index-1))
			s.Entries = append(s.Entries[:kept:kept], entries...)
		}
		if !raft.IsEmptyHardState(hard) {
			s.HardState = hard
		}
	})
}

// Compact implements Store.
func (m *MemoryStore) Compact(upTo uint64) error {
	return m.write(func(s *StoredState) {
		s.Entries = slices.Clone(entriesAfter(s.Entries, upTo))
	})
}

// Close implements Store.
func (m *MemoryStore) Close() error { m.closed = true; return nil }
