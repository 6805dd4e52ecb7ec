package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
)

const (
	sequenceBytes = 4
	hashBytes     = 16 // HMAC-SHA-256, truncated to 128 bits
	minKeyBytes   = 16
	replayWindow  = 64 // number of sequence numbers that a window covers, up to the highest one received
)

// SealLength is the number of bytes that a seal adds to a datagram: a sequence number and a keyed hash.
const SealLength = sequenceBytes + hashBytes

// Errors that Seal.Open returns in addition to ErrMalformed.
var (
	ErrUnknownKey = errors.New("datagram under an unknown key")
	ErrReplay     = errors.New("datagram that was received before, or too old to tell")
)

// Seal authenticates datagrams by a keyed hash and rejects replays by a sequence number. The first key
// seals, and either key opens. To change the key while the fleet serves, add the new key as the second
// one at all members, then make it the first one at all members, then remove the old one. A Seal is not
// safe for concurrent use.
type Seal struct {
	hashes       []hash.Hash        // keyed hashes, in the order of the keys
	lastSequence uint32             // of the last datagram that Seal sealed
	windows      map[uint32]*window // by the sender's ID
	buffer       [MaxDatagramBytes]byte
}

// window records which sequence numbers of one process have arrived, as in IPsec.
type window struct {
	start    uint64 // Incarnation.Start of the process
	highest  uint32 // highest sequence number that has arrived; 0 if none has
	received uint64 // bit n is set if highest-n has arrived
}

// NewSeal returns a Seal with one key, or two during a key change. Each key must have at least 16 bytes.
func NewSeal(keys ...[]byte) (*Seal, error) {
	if len(keys) < 1 || len(keys) > 2 {
		return nil, fmt.Errorf("membership: %d keys, expected one, or two during a key change", len(keys))
	}
	s := &Seal{windows: map[uint32]*window{}}
	for _, key := range keys {
		if len(key) < minKeyBytes {
			return nil, fmt.Errorf("membership: key of %d bytes, expected at least %d", len(key), minKeyBytes)
		}
		s.hashes = append(s.hashes, hmac.New(sha256.New, key))
	}
	return s, nil
}

// keyedHash returns the truncated hash of data by h.
func keyedHash(h hash.Hash, data []byte) []byte {
	h.Reset()
	h.Write(data)
	var sum [sha256.Size]byte
	return h.Sum(sum[:0])[:hashBytes]
}

// Seal returns a datagram with its seal added. The result is valid until the next call.
func (s *Seal) Seal(data []byte) []byte {
	s.lastSequence++
	b := append(s.buffer[:0], data...)
	b = binary.BigEndian.AppendUint32(b, s.lastSequence)
	return append(b, keyedHash(s.hashes[0], b)...)
}

// Open checks a sealed datagram and returns the datagram without its seal. It returns ErrMalformed,
// ErrUnknownKey or ErrReplay if the check fails.
func (s *Seal) Open(b []byte) ([]byte, error) {
	if len(b) < headerLength+SealLength || len(b) > MaxDatagramBytes {
		return nil, ErrMalformed
	}
	signed, sum := b[:len(b)-hashBytes], b[len(b)-hashBytes:]
	if !s.authentic(signed, sum) {
		return nil, ErrUnknownKey
	}
	data := signed[:len(signed)-sequenceBytes]
	sender := binary.BigEndian.Uint32(data[5:])
	start := Incarnation(binary.BigEndian.Uint64(data[9:])).Start()
	w := s.windows[sender]
	if w == nil || start > w.start {
		w = &window{start: start}
		s.windows[sender] = w
	}
	if start < w.start {
		// The sender is an earlier process of this name, which Core answers with the newer incarnation.
		return data, nil
	}
	if !w.accept(binary.BigEndian.Uint32(signed[len(data):])) {
		return nil, ErrReplay
	}
	return data, nil
}

// authentic reports whether sum is the keyed hash of signed under one of the keys.
func (s *Seal) authentic(signed, sum []byte) bool {
	valid := false
	for _, h := range s.hashes {
		valid = valid || hmac.Equal(keyedHash(h, signed), sum)
	}
	return valid
}

// accept records a sequence number. It returns false if the number has arrived before or is below the window.
func (w *window) accept(sequence uint32) bool {
	if sequence > w.highest {
		w.received = w.received<<min(replayWindow, sequence-w.highest) | 1 // a shift by 64 clears all bits
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= replayWindow || w.received>>behind&1 == 1 {
		return false
	}
	w.received |= 1 << behind
	return true
}
