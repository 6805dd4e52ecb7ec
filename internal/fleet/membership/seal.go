package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
)

// SealLength is how many bytes a seal adds to a datagram: a number that counts up and a keyed hash, cut to 128 bits.
const SealLength = 4 + 16

// ErrSeal is told of a datagram under no key that is valid here; ErrReplay of one that was taken before.
var (
	ErrSeal   = errors.New("datagram under an unknown key")
	ErrReplay = errors.New("datagram that was taken before")
)

// Seal puts a keyed hash over datagrams, and a number against replays. Of its keys the first seals, and any opens: with the new one
// second everywhere, then first everywhere, then alone, keys are changed while the fleet serves.
type Seal struct {
	macs []hash.Hash
	seq  uint32
	seen map[uint32]*window // by sender
	buf  [MaxDatagram]byte
}

// window remembers which of one life's last 64 numbers came.
type window struct {
	life uint64
	top  uint32
	bits uint64
}

// NewSeal takes one or two keys, of 16 bytes at least.
func NewSeal(keys ...[]byte) (*Seal, error) {
	if len(keys) < 1 || len(keys) > 2 {
		return nil, errors.New("membership: one key, or two while they are changed")
	}
	s := &Seal{seen: map[uint32]*window{}}
	for _, k := range keys {
		if len(k) < 16 {
			return nil, errors.New("membership: a key of under 16 bytes")
		}
		s.macs = append(s.macs, hmac.New(sha256.New, k))
	}
	return s, nil
}

func sum(m hash.Hash, p []byte) []byte {
	m.Reset()
	m.Write(p)
	var out [sha256.Size]byte
	return m.Sum(out[:0])[:16]
}

// Seal gives a datagram with its seal; it is valid until the next call.
func (s *Seal) Seal(data []byte) []byte {
	s.seq++
	b := append(s.buf[:0], data...)
	b = binary.BigEndian.AppendUint32(b, s.seq)
	return append(b, sum(s.macs[0], b)...)
}

// Open checks a datagram and gives what is in it.
func (s *Seal) Open(b []byte) ([]byte, error) {
	if len(b) < headLen+SealLength || len(b) > MaxDatagram {
		return nil, ErrMalformed
	}
	body, mac := b[:len(b)-16], b[len(b)-16:]
	good := false
	for _, m := range s.macs {
		good = good || hmac.Equal(sum(m, body), mac)
	}
	if !good {
		return nil, ErrSeal
	}
	data := body[:len(body)-4]
	from, life, seq := binary.BigEndian.Uint32(data[5:]), Incarnation(binary.BigEndian.Uint64(data[9:])).Start(), binary.BigEndian.Uint32(body[len(body)-4:])
	w := s.seen[from]
	if w == nil || life > w.life {
		w = &window{life: life}
		s.seen[from] = w
	}
	if life < w.life {
		return data, nil // an earlier life: what is held of the later one answers it
	}
	switch {
	case seq > w.top:
		w.bits = w.bits<<min(64, seq-w.top) | 1
		w.top = seq
	case w.top-seq >= 64 || w.bits>>(w.top-seq)&1 == 1:
		return nil, ErrReplay
	default:
		w.bits |= 1 << (w.top - seq)
	}
	return data, nil
}
