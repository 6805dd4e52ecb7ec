package disk

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

const checksumBytes = 8

// encodeRecord puts a checksum before a record. It covers the key, so that no record is taken for another.
func encodeRecord(key, data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, checksum(key, data)), data...)
}

// decodeRecord checks the checksum of a stored record, and copies its data; the error is ErrUnreadable.
func decodeRecord(key, stored []byte) ([]byte, error) {
	if len(stored) < checksumBytes || binary.BigEndian.Uint64(stored) != checksum(key, stored[checksumBytes:]) {
		return nil, fmt.Errorf("%w: the record %q does not fit its sum", ErrUnreadable, key)
	}
	return slices.Clone(stored[checksumBytes:]), nil
}

func checksum(key, data []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.Write(key)
	h.Write(data)
	return h.Sum64()
}

// numberKey is the key of a numbered record; keys are in the order of their numbers.
func numberKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func keyNumber(key []byte) uint64 { return binary.BigEndian.Uint64(key) }

func putRecord(b *bbolt.Bucket, key, data []byte) error { return b.Put(key, encodeRecord(key, data)) }

// marshaler is the encoding of the types of raftpb.
type marshaler interface{ Marshal() ([]byte, error) }

func putMarshaled(b *bbolt.Bucket, key []byte, record marshaler) error {
	data, err := record.Marshal()
	if err != nil {
		return err
	}
	return putRecord(b, key, data)
}

// deleteFrom deletes the numbered records from first on.
func deleteFrom(c *bbolt.Cursor, first uint64) error {
	for k, _ := c.Seek(numberKey(first)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteUpTo deletes the numbered records up to last.
func deleteUpTo(c *bbolt.Cursor, last uint64) error {
	for k, _ := c.First(); k != nil && keyNumber(k) <= last; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
