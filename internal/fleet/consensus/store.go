package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/group"
)

// PeerID names a process in messages.
func PeerID(name string) uint32 { return group.Peer(name) }

// VoterID is a replica's identity in raft. A process that lost its disk is another replica: it comes back with another nonce. The initial voters
// have nonce 0.
func VoterID(name string, nonce uint32) uint64 { return uint64(nonce)<<32 | uint64(PeerID(name)) }

func peerOf(id uint64) uint32 { return uint32(id) }

// isInitial reports whether an identity is the first one of an initial voter.
func isInitial(id uint64) bool { return id>>32 == 0 }

// Store stores what a replica must not lose. What a call has saved is durable once it returns without an error. After an error only Close may be
// called.
type Store interface {
	Load() (StoredState, error)
	SaveIdentity(Identity) error
	SaveStartRecord(id uint64, s StartRecord) error
	// Save stores a hard state, entries and a snapshot, those of them that are not empty. Entries replace the stored ones from the
	// first one's index on.
	Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error
	// Compact removes the entries up to an index, which a stored snapshot covers.
	Compact(upTo uint64) error
	Close() error
}

// Identity is who a store belongs to.
type Identity struct {
	Group, Name string
	ID          uint64 // 0: none yet
	Starts      uint64 // how often the process was started with this store
	Stale       bool   // the store was found to be older than what others have received; stored, since those others may lose their memory
}

// StartRecord is the last start of another replica that this process knows of.
type StartRecord struct {
	Starts      uint64
	Incarnation uint64 // drawn at each start
}

// StoredState is all that a store holds.
type StoredState struct {
	Identity
	HardState    raftpb.HardState
	Snapshot     raftpb.Snapshot
	Entries      []raftpb.Entry
	StartRecords map[uint64]StartRecord // by replica
}

// lastEntry is the index and term up to which the log is stored.
func (s *StoredState) lastEntry() (index, term uint64) {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index, s.Entries[n-1].Term
	}
	return s.Snapshot.Metadata.Index, s.Snapshot.Metadata.Term
}
