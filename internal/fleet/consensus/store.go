package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/group"
)

// PeerID returns the number that identifies a process in messages.
func PeerID(name string) uint32 { return group.Peer(name) }

// VoterID returns the identity of a replica in raft: nonce in the upper 32 bits, the process's PeerID
// in the lower. A process that lost its disk becomes another replica, with another nonce. The
// initial voters have nonce 0.
func VoterID(name string, nonce uint32) uint64 { return uint64(nonce)<<32 | uint64(PeerID(name)) }

// peerOf returns the peer of the process that has a replica's identity.
func peerOf(id uint64) uint32 { return uint32(id) }

// isInitial reports whether id is the first identity of an initial voter.
func isInitial(id uint64) bool { return id>>32 == 0 }

// Store persists the state that a replica must not lose. A write is durable once the method returns
// without an error. After an error only Close may be called.
type Store interface {
	// Load returns the stored state, which is zero in a new store.
	Load() (StoredState, error)
	// SaveIdentity stores the identity of the replica.
	SaveIdentity(Identity) error
	// SaveStartRecord stores the last known start of the replica with identity id.
	SaveStartRecord(id uint64, s StartRecord) error
	// Save stores a hard state, entries and a snapshot, except those that are empty. The entries
	// replace all stored entries from the index of the first one on.
	Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error
	// Compact removes the entries up to and including an index that a stored snapshot covers.
	Compact(upTo uint64) error
	// Close closes the store.
	Close() error
}

// Identity identifies the replica that a store belongs to.
type Identity struct {
	Group, Name string
	ID          uint64 // 0 if the replica has no identity yet
	Starts      uint64 // number of starts of the process with this store
	// Stale reports whether the store was found to be older than what others have received. It is
	// stored, since those others may forget what they received.
	Stale bool
}

// StartRecord describes the last start of another replica that this process knows of.
type StartRecord struct {
	Starts      uint64 // number of starts with the replica's store
	Incarnation uint64 // random at each start
}

// StoredState holds all that is in a Store.
type StoredState struct {
	Identity
	HardState    raftpb.HardState
	Snapshot     raftpb.Snapshot
	Entries      []raftpb.Entry
	StartRecords map[uint64]StartRecord // by identity of the replica
}

// lastEntry returns the index and term of the last entry in the stored log or snapshot.
func (s *StoredState) lastEntry() (index, term uint64) {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index, s.Entries[n-1].Term
	}
	return s.Snapshot.Metadata.Index, s.Snapshot.Metadata.Term
}
