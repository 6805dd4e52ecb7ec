package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

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

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func put(b *bbolt.Bucket, key, data []byte) error { return b.Put(key, seal(key, data)) }

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
