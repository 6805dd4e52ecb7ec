// Package disk keeps a voter's log, votes and snapshots in one bbolt file. It owns the file's form, its bound, and what is made of a
// file that is torn, flipped, full or another's. Each call that saves is one transaction, synced before it returns. Every record
// carries a sum: what does not fit its sum is refused, never taken for what it seems.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/consensus"
	"croftlock/internal/pack"
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

// Open opens a file, or makes it. most bounds it in bytes.
func Open(path string, most int64) (s *Store, err error) {
	// A file that is shorter than it says faults when its pages are touched; that is to be an error here, not the process's end.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("%w: %s: %v", ErrUnreadable, path, p)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 20 * time.Millisecond, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%w: %s", ErrInUse, path)
	}
	if err != nil {
		return nil, unreadable(path, err)
	}
	s = &Store{db: db, path: path, most: most}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{bucketMeta, bucketLog, bucketSeen} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		err = syncDir(filepath.Dir(path)) // else a new file's name may be lost, and its votes with it
	}
	if err != nil {
		db.Close()
		return nil, unreadable(path, err)
	}
	return s, nil
}

// unreadable leaves what the system says about a file as it is, and calls everything else a fault of the file.
func unreadable(path string, err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return err
	}
	return fmt.Errorf("%w: %s: %v", ErrUnreadable, path, err)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// ByItself tells whether a store that failed may be opened again by the same process: there was no room, or none to write. After any
// other failure, first of all of a sync, what the system shows of the file may not be what is on the disk.
func ByItself(err error) bool {
	var p *fs.PathError
	if errors.Is(err, ErrFull) || errors.Is(err, ErrInUse) {
		return true
	}
	for _, e := range []error{syscall.ENOSPC, syscall.EFBIG, syscall.EDQUOT, syscall.EROFS, syscall.EACCES, syscall.EPERM} {
		if errors.Is(err, e) && errors.As(err, &p) && p.Op != "sync" {
			return true
		}
	}
	return false
}

// seal puts a sum before a record; what it was stored under is part of it, so that no record passes for another.
func seal(key, data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, sum(key, data)), data...)
}

func sum(key, data []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.Write(key)
	h.Write(data)
	return h.Sum64()
}

func open(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 8 || binary.BigEndian.Uint64(sealed) != sum(key, sealed[8:]) {
		return nil, fmt.Errorf("%w: the record %q does not fit its sum", ErrUnreadable, key)
	}
	return append([]byte(nil), sealed[8:]...), nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Load reads all that is kept.
func (s *Store) Load() (out consensus.Saved, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrUnreadable, s.path, p)
		}
		if err != nil {
			s.failed = err
		}
	}()
	out.Seen = map[uint64]consensus.Seen{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		// The library's own check runs where a fault can't be caught. All that is kept is read here, and fits its sum or does not.
		meta := tx.Bucket(bucketMeta)
		whole := meta.Get(keyIdentity) != nil
		get := func(key []byte, take func([]byte) error) error {
			sealed := meta.Get(key)
			if sealed == nil && whole {
				return fmt.Errorf("%w: there is no record %q", ErrUnreadable, key)
			}
			if sealed == nil {
				return nil
			}
			data, err := open(key, sealed)
			if err == nil {
				err = take(data)
			}
			return err
		}
		var last, seen uint64
		if err := get(keyShape, func(data []byte) error {
			r := pack.Reader{Data: data}
			last, seen = r.Uint(), r.Uint()
			return r.Err()
		}); err != nil {
			return err
		}
		if err := get(keyIdentity, func(data []byte) error {
			r := pack.Reader{Data: data}
			out.Identity = consensus.Identity{Group: r.Text(64), Name: r.Text(64), ID: r.Uint(), Boots: r.Uint(), Stale: r.Bool()}
			return r.Err()
		}); err != nil {
			return err
		}
		if err := get(keyHard, out.Hard.Unmarshal); err != nil {
			return err
		}
		if err := get(keySnap, out.Snap.Unmarshal); err != nil {
			return err
		}
		if err := tx.Bucket(bucketSeen).ForEach(func(k, v []byte) error {
			data, err := open(k, v)
			if err != nil {
				return err
			}
			r := pack.Reader{Data: data}
			out.Seen[binary.BigEndian.Uint64(k)] = consensus.Seen{Boots: r.Uint(), Life: r.Uint()}
			return r.Err()
		}); err != nil {
			return err
		}
		if whole && uint64(len(out.Seen)) != seen {
			return fmt.Errorf("%w: %d voters' starts of %d", ErrUnreadable, len(out.Seen), seen)
		}
		next := uint64(0)
		err := tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			data, err := open(k, v)
			if err != nil {
				return err
			}
			var e raftpb.Entry
			if err := e.Unmarshal(data); err != nil {
				return err
			}
			if e.Index != binary.BigEndian.Uint64(k) || next != 0 && e.Index != next {
				return fmt.Errorf("%w: command %d follows %d", ErrUnreadable, e.Index, next-1)
			}
			next = e.Index + 1
			if e.Index > out.Snap.Metadata.Index {
				out.Entries = append(out.Entries, e)
			}
			return nil
		})
		switch {
		case err != nil || !whole:
		case next > 0 && next-1 != last || next == 0 && last > out.Snap.Metadata.Index:
			return fmt.Errorf("%w: the commands end before %d", ErrUnreadable, last)
		case len(out.Entries) > 0 && out.Entries[0].Index != out.Snap.Metadata.Index+1:
			return fmt.Errorf("%w: the commands begin at %d, the snapshot is of %d", ErrUnreadable, out.Entries[0].Index, out.Snap.Metadata.Index)
		}
		return err
	})
	return out, err
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
		var w pack.Writer
		return put(meta, keyShape, w.Uint(last).Uint(seen).Data)
	})
}

func put(b *bbolt.Bucket, key, data []byte) error { return b.Put(key, seal(key, data)) }

// SaveIdentity keeps who the store belongs to.
func (s *Store) SaveIdentity(id consensus.Identity) error {
	return s.update(func(tx *bbolt.Tx) error {
		var w pack.Writer
		return put(tx.Bucket(bucketMeta), keyIdentity, w.Text(id.Group).Text(id.Name).Uint(id.ID).Uint(id.Boots).Bool(id.Stale).Data)
	})
}

// SaveSeen keeps another voter's last start.
func (s *Store) SaveSeen(id uint64, seen consensus.Seen) error {
	return s.update(func(tx *bbolt.Tx) error {
		var w pack.Writer
		return put(tx.Bucket(bucketSeen), number(id), w.Uint(seen.Boots).Uint(seen.Life).Data)
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

// drop deletes keys from one on, up to a number; 0: all.
func drop(c *bbolt.Cursor, from []byte, upTo uint64) error {
	k, _ := c.First()
	if from != nil {
		k, _ = c.Seek(from)
	}
	for ; k != nil && (upTo == 0 || binary.BigEndian.Uint64(k) <= upTo); k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
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
