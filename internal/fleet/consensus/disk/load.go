package disk

import (
	"fmt"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/encoding"
)

// maxNameBytes is the maximum length of the names of group and process.
const maxNameBytes = 64

// extent describes how much a file contains, so that Load can detect missing records.
type extent struct {
	lastIndex uint64 // index of the last log entry; 0 if the log is empty
	starts    uint64 // number of start records
}

func (e extent) encode() []byte {
	var w encoding.Writer
	return w.Uint(e.lastIndex).Uint(e.starts).Data
}

func (e *extent) decode(data []byte) error {
	r := encoding.Reader{Data: data}
	e.lastIndex, e.starts = r.Uint(), r.Uint()
	return r.Err()
}

// Load reads all that is stored. It returns an error that wraps ErrUnreadable if the records are
// damaged or inconsistent, or the decoder's error if a record with a valid checksum does not
// decode. After an error every later write returns the same error.
func (s *Store) Load() (out consensus.StoredState, err error) {
	// Load reads and checks all records itself. bbolt's own check can't be used: it runs in a
	// separate goroutine, in which a fault ends the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrUnreadable, s.path, p) // a page of the memory map could not be read
		}
		if err != nil {
			s.failed = err
		}
	}()
	l := loader{state: consensus.StoredState{StartRecords: map[uint64]consensus.StartRecord{}}}
	err = s.database.View(func(tx *bbolt.Tx) error {
		l.meta = tx.Bucket(bucketMeta)
		l.complete = l.meta.Get(keyIdentity) != nil
		if err := l.loadMeta(); err != nil {
			return err
		}
		if err := l.loadStarts(tx.Bucket(bucketStarts)); err != nil {
			return err
		}
		return l.loadLog(tx.Bucket(bucketLog))
	})
	return l.state, err
}

// loader holds the state of one call of Load.
type loader struct {
	state consensus.StoredState
	meta  *bbolt.Bucket
	// complete is true if the file has an identity. A new replica stores its identity last, so a
	// file with an identity must have all other records.
	complete bool
	extent   extent
}

// loadMeta reads the records of the bucket meta: extent, identity, hard state and snapshot.
func (l *loader) loadMeta() error {
	if err := l.loadRecord(keyExtent, l.extent.decode); err != nil {
		return err
	}
	if err := l.loadRecord(keyIdentity, l.decodeIdentity); err != nil {
		return err
	}
	if err := l.loadRecord(keyHardState, l.state.HardState.Unmarshal); err != nil {
		return err
	}
	return l.loadRecord(keySnapshot, l.state.Snapshot.Unmarshal)
}

// loadRecord reads a record of the bucket meta and passes its data to decode. If the record is
// missing, it returns an error that wraps ErrUnreadable for a complete file, and nil for an
// incomplete one.
func (l *loader) loadRecord(key []byte, decode func([]byte) error) error {
	stored := l.meta.Get(key)
	if stored == nil && l.complete {
		return fmt.Errorf("%w: record %q is missing", ErrUnreadable, key)
	}
	if stored == nil {
		return nil
	}
	data, err := decodeRecord(key, stored)
	if err != nil {
		return err
	}
	return decode(data)
}

func (l *loader) decodeIdentity(data []byte) error {
	r := encoding.Reader{Data: data}
	l.state.Identity = consensus.Identity{
		Group:  r.Text(maxNameBytes),
		Name:   r.Text(maxNameBytes),
		ID:     r.Uint(),
		Starts: r.Uint(),
		Stale:  r.Bool(),
	}
	return r.Err()
}

// loadStarts reads the start records of other replicas and, in a complete file, checks their number
// against the extent.
func (l *loader) loadStarts(b *bbolt.Bucket) error {
	err := b.ForEach(func(key, stored []byte) error {
		data, err := decodeRecord(key, stored)
		if err != nil {
			return err
		}
		r := encoding.Reader{Data: data}
		l.state.StartRecords[keyNumber(key)] = consensus.StartRecord{Starts: r.Uint(), Incarnation: r.Uint()}
		return r.Err()
	})
	if err != nil {
		return err
	}
	if found := len(l.state.StartRecords); l.complete && uint64(found) != l.extent.starts {
		return fmt.Errorf("%w: it has %d start records, want %d", ErrUnreadable, found, l.extent.starts)
	}
	return nil
}

// loadLog reads all entries and keeps those after the snapshot. It returns an error if their indexes
// have gaps or, in a complete file, if checkLog returns one.
func (l *loader) loadLog(b *bbolt.Bucket) error {
	next := uint64(0) // expected index of the next entry; 0 before the first
	err := b.ForEach(func(key, stored []byte) error {
		data, err := decodeRecord(key, stored)
		if err != nil {
			return err
		}
		var e raftpb.Entry
		if err := e.Unmarshal(data); err != nil {
			return err
		}
		if e.Index != keyNumber(key) || next != 0 && e.Index != next {
			return fmt.Errorf("%w: entry %d is stored under key %d, the next expected index is %d", ErrUnreadable, e.Index, keyNumber(key), next)
		}
		next = e.Index + 1
		if e.Index > l.state.Snapshot.Metadata.Index {
			l.state.Entries = append(l.state.Entries, e)
		}
		return nil
	})
	if err != nil || !l.complete {
		return err
	}
	return l.checkLog(next)
}

// checkLog checks that the log ends at the index in the extent and continues the snapshot without a
// gap. next is the index after the last entry, or 0 if the log is empty.
func (l *loader) checkLog(next uint64) error {
	snapshotIndex, lastIndex := l.state.Snapshot.Metadata.Index, l.extent.lastIndex
	if next > 0 && next-1 != lastIndex || next == 0 && lastIndex > snapshotIndex {
		return fmt.Errorf("%w: the log ends before index %d, want the last entry at %d", ErrUnreadable, next, lastIndex)
	}
	if entries := l.state.Entries; len(entries) > 0 && entries[0].Index != snapshotIndex+1 {
		return fmt.Errorf("%w: the log begins at index %d, want %d after the snapshot", ErrUnreadable, entries[0].Index, snapshotIndex+1)
	}
	return nil
}
