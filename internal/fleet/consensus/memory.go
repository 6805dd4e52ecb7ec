package consensus

import (
	"errors"
	"maps"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// MemoryStore is a Store for tests and for runs in virtual time, which a crash, a failure and a copy put back can be played with.
type MemoryStore struct {
	disk StoredState
	lazy *StoredState // what was last synced, while syncs are skipped
	// SkipSync is a planted fault: what is saved is lost with a crash.
	SkipSync bool
	// Fail is the error of each call that saves from now on.
	Fail   error
	closed bool
}

func clone(s StoredState) StoredState {
	s.Entries = append([]raftpb.Entry(nil), s.Entries...)
	s.Seen = maps.Clone(s.Seen)
	return s
}

// Load gives what was saved.
func (m *MemoryStore) Load() (StoredState, error) {
	m.closed = false
	out := clone(m.disk)
	if out.Seen == nil {
		out.Seen = map[uint64]StartRecord{}
	}
	n := 0
	for n < len(out.Entries) && out.Entries[n].Index <= out.Snap.Metadata.Index {
		n++
	}
	out.Entries = out.Entries[n:]
	return out, m.Fail
}

func (m *MemoryStore) write(f func(s *StoredState)) error {
	if m.closed {
		return errors.New("memory: closed")
	}
	if m.Fail != nil {
		return m.Fail
	}
	if m.SkipSync && m.lazy == nil {
		was := clone(m.disk)
		m.lazy = &was
	}
	f(&m.disk)
	return nil
}

// Crash loses what was not synced.
func (m *MemoryStore) Crash() {
	if m.lazy != nil {
		m.disk, m.lazy = *m.lazy, nil
	}
	m.closed = true
}

// Copy is what a backup of the file would hold, and PutBack puts one in its place.
func (m *MemoryStore) Copy() StoredState { return clone(m.disk) }

// PutBack takes a copy for the file.
func (m *MemoryStore) PutBack(s StoredState) { m.disk, m.lazy = clone(s), nil }

// SaveIdentity is the Store's.
func (m *MemoryStore) SaveIdentity(id Identity) error {
	return m.write(func(s *StoredState) { s.Identity = id })
}

// SaveStartRecord is the Store's.
func (m *MemoryStore) SaveStartRecord(id uint64, seen StartRecord) error {
	return m.write(func(s *StoredState) {
		if s.Seen == nil {
			s.Seen = map[uint64]StartRecord{}
		}
		s.Seen[id] = seen
	})
}

// Save is the Store's.
func (m *MemoryStore) Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error {
	return m.write(func(s *StoredState) {
		if !raft.IsEmptySnap(snap) {
			s.Snap = snap
			if n := len(s.Entries); n > 0 && s.Entries[n-1].Index < snap.Metadata.Index {
				s.Entries = nil
			}
		}
		if len(entries) > 0 {
			n := 0
			for n < len(s.Entries) && s.Entries[n].Index < entries[0].Index {
				n++
			}
			s.Entries = append(s.Entries[:n:n], entries...)
		}
		if !raft.IsEmptyHardState(hard) {
			s.Hard = hard
		}
	})
}

// Compact is the Store's.
func (m *MemoryStore) Compact(upTo uint64) error {
	return m.write(func(s *StoredState) {
		n := 0
		for n < len(s.Entries) && s.Entries[n].Index <= upTo {
			n++
		}
		s.Entries = append([]raftpb.Entry(nil), s.Entries[n:]...)
	})
}

// Close is the Store's.
func (m *MemoryStore) Close() error { m.closed = true; return nil }
