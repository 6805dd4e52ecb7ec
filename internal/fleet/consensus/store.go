package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/group"
)

// PeerID names a process in messages.
func PeerID(name string) uint32 { return group.Peer(name) }

// VoterID is a voter's identity: a process that lost its disk is not the voter that it was, and comes back under another nonce.
func VoterID(name string, nonce uint32) uint64 { return uint64(nonce)<<32 | uint64(PeerID(name)) }

func peerOf(id uint64) uint32 { return uint32(id) }

// Store keeps what a voter must not forget. What returned without error is durable. After an error nothing else may be asked of it but
// Close.
type Store interface {
	Load() (StoredState, error)
	SaveIdentity(Identity) error
	SaveStartRecord(id uint64, s StartRecord) error
	Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error
	Compact(upTo uint64) error
	Close() error
}

// Identity is who a store belongs to.
type Identity struct {
	Group, Name string
	ID          uint64 // 0: none yet
	Starts      uint64 // how often it was begun with
	Stale       bool   // it was found to be older than what others have had: whoever found it may forget, so it is kept here
}

// StartRecord is the last start of another voter that this process knows of.
type StartRecord struct {
	Starts      uint64
	Incarnation uint64 // drawn at each start
}

// StoredState is all that a store holds.
type StoredState struct {
	Identity
	Hard    raftpb.HardState
	Snap    raftpb.Snapshot
	Entries []raftpb.Entry
	Seen    map[uint64]StartRecord
}
