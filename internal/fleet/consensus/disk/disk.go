// Package disk keeps a voter's log, votes and snapshots in one bbolt file. It owns the file's form, its bound, and what is made of a
// file that is torn, flipped, full or another's. Each call that saves is one transaction, synced before it returns. Every record
// carries a sum: what does not fit its sum is refused, never taken for what it seems.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/encoding"
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	bucketSeen = []byte("seen")

	keyIdentity = []byte("identity")
	keyHard     = []byte("hard")
	keySnap     = []byte("snapshot")
	keyShape    = []byte("shape")
)

// ErrUnreadable says that a file is there but can't be trusted.
var ErrUnreadable = errors.New("disk: the store is unreadable")

// ErrInUse says that another process has the file.
var ErrInUse = errors.New("disk: the store is in use by another process")

// ErrFull says that the store has reached its bound.
var ErrFull = errors.New("disk: the store has reached its bound")

// Store is an open file.
type Store struct {
	db     *bbolt.DB
	path   string
	most   int64
	failed error
}

// update runs a transaction. After a failure nothing is taken any more.
func (s *Store) update(f func(tx *bbolt.Tx) error) (err error) {
	if s.failed != nil {
		return s.failed
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrUnreadable, s.path, p)
		}
		if err != nil {
			s.failed = fmt.Errorf("%s: %w", s.path, err)
			err = s.failed
		}
	}()
	return s.db.Update(func(tx *bbolt.Tx) error {
		if tx.Size() > s.most {
			return fmt.Errorf("%w of %d bytes", ErrFull, s.most)
		}
		if err := f(tx); err != nil {
			return err
		}
		// How much there is: a page with fewer records than it had would fit all its sums.
		meta, last, seen := tx.Bucket(bucketMeta), uint64(0), uint64(0)
		if k, _ := tx.Bucket(bucketLog).Cursor().Last(); k != nil {
			last = binary.BigEndian.Uint64(k)
		}
		c := tx.Bucket(bucketSeen).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			seen++
		}
		for _, key := range [][]byte{keyHard, keySnap} {
			if meta.Get(key) == nil {
				if err := put(meta, key, nil); err != nil {
					return err
				}
			}
		}
		var w encoding.Writer
		return put(meta, keyShape, w.Uint(last).Uint(seen).Data)
	})
}

// SaveIdentity keeps who the store belongs to.
func (s *Store) SaveIdentity(id consensus.Identity) error {
	return s.update(func(tx *bbolt.Tx) error {
		var w encoding.Writer
		return put(tx.Bucket(bucketMeta), keyIdentity, w.Text(id.Group).Text(id.Name).Uint(id.ID).Uint(id.Starts).Bool(id.Stale).Data)
	})
}

// SaveStartRecord keeps another voter's last start.
func (s *Store) SaveStartRecord(id uint64, seen consensus.StartRecord) error {
	return s.update(func(tx *bbolt.Tx) error {
		var w encoding.Writer
		return put(tx.Bucket(bucketSeen), number(id), w.Uint(seen.Starts).Uint(seen.Incarnation).Data)
	})
}

// Save keeps votes, commands and a snapshot, those of them that are not empty. Commands take the place of those kept under their numbers and
// after them.
func (s *Store) Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if !raft.IsEmptySnap(snap) {
			data, err := snap.Marshal()
			if err == nil {
				err = put(meta, keySnap, data)
			}
			if err != nil {
				return err
			}
			// What lies before it and is not continued by what follows must not stand in a later Load.
			c := log.Cursor()
			if k, _ := c.Last(); k != nil && binary.BigEndian.Uint64(k) < snap.Metadata.Index {
				if err := drop(c, nil, 0); err != nil {
					return err
				}
			}
		}
		if len(entries) > 0 {
			if err := drop(log.Cursor(), number(entries[0].Index), 0); err != nil {
				return err
			}
		}
		for i := range entries {
			data, err := entries[i].Marshal()
			if err == nil {
				err = put(log, number(entries[i].Index), data)
			}
			if err != nil {
				return err
			}
		}
		if raft.IsEmptyHardState(hard) {
			return nil
		}
		data, err := hard.Marshal()
		if err == nil {
			err = put(meta, keyHard, data)
		}
		return err
	})
}

// Compact forgets commands up to one, which a snapshot holds.
func (s *Store) Compact(upTo uint64) error {
	return s.update(func(tx *bbolt.Tx) error { return drop(tx.Bucket(bucketLog).Cursor(), nil, upTo) })
}

// Size is what the file takes, in bytes; its room is used again, never given back.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// Close lets go of the file.
func (s *Store) Close() error { return s.db.Close() }
