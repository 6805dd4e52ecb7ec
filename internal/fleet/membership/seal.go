package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
)

const (
	sequenceBytes = 4
	hashBytes     = 16 // HMAC-SHA-256, cut to 128 bits
	minKeyBytes   = 16
	replayWindow  = 64 // sequence numbers, the highest and those below it that are remembered
)

// SealLength is how many bytes a seal adds to a datagram: a sequence number and a keyed hash.
const SealLength = sequenceBytes + hashBytes

// Errors of Seal.Open besides ErrMalformed.
var (
	ErrUnknownKey = errors.New("datagram under an unknown key")
	ErrReplay     = errors.New("datagram that was taken before")
)

// Seal authenticates datagrams by a keyed hash and rejects replays by a sequence number. The first key seals, and any opens: keys are
// changed while the fleet serves by putting the new one second everywhere, then first everywhere, then alone.
type Seal struct {
	hashes       []hash.Hash // by key
	lastSequence uint32
	windows      map[uint32]*window // by sender
	buffer       [MaxDatagram]byte
}

// window remembers which sequence numbers of one process have arrived, as in IPsec.
type window struct {
	start    uint64 // of the process: its incarnation's
	highest  uint32
	received uint64 // bit n: highest-n has arrived
}

// NewSeal takes one or two keys, of 16 bytes at least.
func NewSeal(keys ...[]byte) (*Seal, error) {
	if len(keys) < 1 || len(keys) > 2 {
		return nil, errors.New("membership: one key, or two while they are changed")
	}
	s := &Seal{windows: map[uint32]*window{}}
	for _, key := range keys {
		if len(key) < minKeyBytes {
			return nil, errors.New("membership: a key of under 16 bytes")
		}
		s.hashes = append(s.hashes, hmac.New(sha256.New, key))
	}
	return s, nil
}

func keyedHash(h hash.Hash, data []byte) []byte {
	h.Reset()
	h.Write(data)
	var sum [sha256.Size]byte
	return h.Sum(sum[:0])[:hashBytes]
}

// Seal returns a datagram with its seal; it is valid until the next call.
func (s *Seal) Seal(data []byte) []byte {
	s.lastSequence++
	b := append(s.buffer[:0], data...)
	b = binary.BigEndian.AppendUint32(b, s.lastSequence)
	return append(b, keyedHash(s.hashes[0], b)...)
}

// Open checks a sealed datagram and returns what is in it; its errors are ErrMalformed, ErrUnknownKey and ErrReplay.
func (s *Seal) Open(b []byte) ([]byte, error) {
	if len(b) < headerLength+SealLength || len(b) > MaxDatagram {
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
		return data, nil // an earlier process: Core answers it with the newer incarnation
	}
	if !w.accept(binary.BigEndian.Uint32(signed[len(data):])) {
		return nil, ErrReplay
	}
	return data, nil
}

// authentic says whether a hash fits under any of the keys.
func (s *Seal) authentic(signed, sum []byte) bool {
	valid := false
	for _, h := range s.hashes {
		valid = valid || hmac.Equal(keyedHash(h, signed), sum)
	}
	return valid
}

// accept notes a sequence number; false: it arrived before, or is too far behind for the window.
func (w *window) accept(sequence uint32) bool {
	if sequence > w.highest {
		w.received = w.received<<min(replayWindow, sequence-w.highest) | 1
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
