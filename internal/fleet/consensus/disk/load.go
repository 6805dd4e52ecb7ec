package disk

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/encoding"
)

// Load reads all that is kept.
func (s *Store) Load() (out consensus.StoredState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrUnreadable, s.path, p)
		}
		if err != nil {
			s.failed = err
		}
	}()
	out.Seen = map[uint64]consensus.StartRecord{}
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
			r := encoding.Reader{Data: data}
			last, seen = r.Uint(), r.Uint()
			return r.Err()
		}); err != nil {
			return err
		}
		if err := get(keyIdentity, func(data []byte) error {
			r := encoding.Reader{Data: data}
			out.Identity = consensus.Identity{Group: r.Text(64), Name: r.Text(64), ID: r.Uint(), Starts: r.Uint(), Stale: r.Bool()}
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
			r := encoding.Reader{Data: data}
			out.Seen[binary.BigEndian.Uint64(k)] = consensus.StartRecord{Starts: r.Uint(), Incarnation: r.Uint()}
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
