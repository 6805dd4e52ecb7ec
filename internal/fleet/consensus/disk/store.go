// Package disk stores the log, votes and snapshots of a replica in one bbolt file. It defines the
// format and the size limit of the file, and detects files that are truncated, damaged, full or in
// use. The file also contains the replica's identity (group, name and numeric ID), so that
// consensus.Open can reject the file of another replica.
//
// Each write is one transaction, and is synced before the method returns. Every record has a
// checksum, and a record that does not match its checksum is never used.
package disk

import (
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

// Names of buckets and keys. They are part of the file format, so some differ from the Go names.
var (
	bucketMeta   = []byte("meta") // the records of the keys below
	bucketLog    = []byte("log")  // entries by index
	bucketStarts = []byte("seen") // consensus.StartRecord of other replicas by replica ID

	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyExtent    = []byte("shape") // index of the last log entry and number of start records; see type extent
)

// Errors that Open and the methods of a Store return, wrapped with details.
var (
	// ErrUnreadable means that the file exists but its content is damaged or inconsistent.
	ErrUnreadable = errors.New("disk: the store is unreadable")
	// ErrInUse means that another process has the file open.
	ErrInUse = errors.New("disk: the store is in use by another process")
	// ErrFull means that the file is larger than the maxBytes passed to Open.
	ErrFull = errors.New("disk: the store has reached its bound")
)

// Store is an open file. It implements consensus.Store.
type Store struct {
	database *bbolt.DB
	path     string
	maxBytes int64
	failed   error // first error of a write or of Load; every later write returns it
}

// update runs f in a write transaction and updates the extent. If a page of the memory map can't be
// read, it returns an error; without SetPanicOnFault the fault would end the process. After an
// error, every later call of update returns the same error.
func (s *Store) update(f func(tx *bbolt.Tx) error) (err error) {
	if s.failed != nil {
		return s.failed
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrUnreadable, p)
		}
		if err != nil {
			s.failed = fmt.Errorf("%s: %w", s.path, err)
			err = s.failed
		}
	}()
	return s.database.Update(func(tx *bbolt.Tx) error {
		if tx.Size() > s.maxBytes {
			return fmt.Errorf("%w of %d bytes: the file has %d", ErrFull, s.maxBytes, tx.Size())
		}
		if err := f(tx); err != nil {
			return err
		}
		return saveExtent(tx)
	})
}

// saveExtent stores the extent of the file: the index of the last log entry and the number of start
// records. If a disk fault brings back an older page with fewer records, their checksums match, and
// only the extent shows that records are missing. saveExtent also creates empty records of hard
// state and snapshot if there are none, since Load rejects a complete file without them.
func saveExtent(tx *bbolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	for _, key := range [][]byte{keyHardState, keySnapshot} {
		if meta.Get(key) == nil {
			if err := putRecord(meta, key, nil); err != nil {
				return err
			}
		}
	}
	e := extent{}
	if k, _ := tx.Bucket(bucketLog).Cursor().Last(); k != nil {
		e.lastIndex = keyNumber(k)
	}
	c := tx.Bucket(bucketStarts).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		e.starts++
	}
	return putRecord(meta, keyExtent, e.encode())
}

// SaveIdentity stores the identity of the replica.
func (s *Store) SaveIdentity(id consensus.Identity) error {
	return s.update(func(tx *bbolt.Tx) error {
		var w encoding.Writer
		w.Text(id.Group).Text(id.Name).Uint(id.ID).Uint(id.Starts).Bool(id.Stale)
		return putRecord(tx.Bucket(bucketMeta), keyIdentity, w.Data)
	})
}

// SaveStartRecord stores the last known start record (number of starts and incarnation) of the
// replica with an ID.
func (s *Store) SaveStartRecord(id uint64, start consensus.StartRecord) error {
	return s.update(func(tx *bbolt.Tx) error {
		var w encoding.Writer
		w.Uint(start.Starts).Uint(start.Incarnation)
		return putRecord(tx.Bucket(bucketStarts), numberKey(id), w.Data)
	})
}

// Save stores a hard state, entries and a snapshot, except those that are empty. The entries
// replace all stored entries from the index of the first one on.
func (s *Store) Save(hard raftpb.HardState, entries []raftpb.Entry, snap raftpb.Snapshot) error {
	return s.update(func(tx *bbolt.Tx) error {
		if !raft.IsEmptySnap(snap) {
			if err := saveSnapshot(tx, snap); err != nil {
				return err
			}
		}
		if err := saveEntries(tx, entries); err != nil {
			return err
		}
		if raft.IsEmptyHardState(hard) {
			return nil
		}
		return putMarshaled(tx.Bucket(bucketMeta), keyHardState, &hard)
	})
}

// saveSnapshot stores a snapshot. It deletes a log that ends before the snapshot, since later
// entries would leave a gap.
func saveSnapshot(tx *bbolt.Tx, snap raftpb.Snapshot) error {
	if err := putMarshaled(tx.Bucket(bucketMeta), keySnapshot, &snap); err != nil {
		return err
	}
	c := tx.Bucket(bucketLog).Cursor()
	if k, _ := c.Last(); k != nil && keyNumber(k) < snap.Metadata.Index {
		return deleteFrom(c, 0)
	}
	return nil
}

// saveEntries replaces the log from the index of the first entry on.
func saveEntries(tx *bbolt.Tx, entries []raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log := tx.Bucket(bucketLog)
	if err := deleteFrom(log.Cursor(), entries[0].Index); err != nil {
		return err
	}
	for i := range entries {
		if err := putMarshaled(log, numberKey(entries[i].Index), &entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// Compact removes the entries up to and including an index that a stored snapshot covers.
func (s *Store) Compact(upTo uint64) error {
	return s.update(func(tx *bbolt.Tx) error { return deleteUpTo(tx.Bucket(bucketLog).Cursor(), upTo) })
}

// Size returns the size of the file in bytes, or 0 if it can't be determined. Freed space is
// reused, but the file never shrinks.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// Close closes the file.
func (s *Store) Close() error { return s.database.Close() }
