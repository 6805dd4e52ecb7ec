package disk

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

const checksumBytes = 8

// encodeRecord returns data preceded by a checksum. The checksum covers the key too, so that a
// record stored under another key is detected.
func encodeRecord(key, data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, checksum(key, data)), data...)
}

// decodeRecord verifies the checksum of a stored record and returns a copy of its data. It returns
// ErrUnreadable if the checksum does not match.
func decodeRecord(key, stored []byte) ([]byte, error) {
	if len(stored) < checksumBytes || binary.BigEndian.Uint64(stored) != checksum(key, stored[checksumBytes:]) {
		return nil, fmt.Errorf("%w: record %q of %d bytes does not match its checksum", ErrUnreadable, key, len(stored))
	}
	return slices.Clone(stored[checksumBytes:]), nil
}

// checksum returns the xxHash64 of key and data.
func checksum(key, data []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.Write(key)
	h.Write(data)
	return h.Sum64()
}

// numberKey returns the key of a numbered record. Keys sort in the order of their numbers.
func numberKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// keyNumber returns the number that numberKey encoded.
func keyNumber(key []byte) uint64 { return binary.BigEndian.Uint64(key) }

// putRecord stores data under key, with a checksum.
func putRecord(b *bbolt.Bucket, key, data []byte) error { return b.Put(key, encodeRecord(key, data)) }

// marshaler is implemented by the types of raftpb.
type marshaler interface{ Marshal() ([]byte, error) }

// putMarshaled stores the encoding of a record under key, with a checksum.
func putMarshaled(b *bbolt.Bucket, key []byte, record marshaler) error {
	data, err := record.Marshal()
	if err != nil {
		return err
	}
	return putRecord(b, key, data)
}

// deleteFrom deletes the records with numbers of at least first.
func deleteFrom(c *bbolt.Cursor, first uint64) error {
	for k, _ := c.Seek(numberKey(first)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteUpTo deletes the records with numbers up to and including last.
func deleteUpTo(c *bbolt.Cursor, last uint64) error {
	for k, _ := c.First(); k != nil && keyNumber(k) <= last; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
