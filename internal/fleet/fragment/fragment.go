// Package fragment carries messages of up to 200 KiB between a fleet's processes in datagrams of at most 256 bytes. It owns their
// pieces: what is to be sent again, what has come in part, and how much memory that may take. It does no I/O and reads no clock.
//
// A message that fits one datagram is sent once and may be lost, as whoever uses it has to bear anyway. A longer one is sent in pieces, and
// those that did not arrive again, until it has arrived, is given up after Patience, or newer ones take its room. Messages may come late
// and in another order, never torn, and a long one never twice in the same life of its sender.
package fragment

import (
	"encoding/binary"
	"errors"
	"sort"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	// DatagramPrefix is the first byte of each datagram.
	DatagramPrefix = 0x12
	// MaxMessage bounds a message, in bytes.
	MaxMessage = 200 << 10
	// GiveUpAfter is how long a message is sent again.
	GiveUpAfter = Time(3e9)

	wholeHead = 2
	pieceHead = 2 + 4 + 4 + 2 + 2
	burst     = 24        // pieces sent at a time, a message
	again     = Time(4e7) // between two such
	maxOutgoing   = 4         // long messages on their way to a peer
	maxIncoming    = 4         // and from one
	kept      = 32        // whole ones remembered, so that none is taken twice

	kindWhole = 0
	kindPiece = 1
	kindAck = 2
)

// ErrMalformed says that a datagram is no part of a message.
var ErrMalformed = errors.New("fragment: malformed datagram")

// ErrLong says that a message is too long.
var ErrMessageTooLong = errors.New("fragment: message over 200 KiB")

// Effects is what a Box can do. What is passed is valid during the call only.
type Effects interface {
	Datagram(peer uint32, data []byte)
	Message(peer uint32, data []byte)
}

type outgoing struct {
	seq    uint32
	data   []byte
	taken  []bool
	left   int
	at     int // the piece after the last one sent
	sentAt Time
	until  Time
}

type incoming struct {
	life, seq uint32
	data      []byte
	have      []bool
	left      int
	size      int // of a piece
	fresh     int // pieces since the last word to the sender
}

type peer struct {
	outgoing   []*outgoing
	incoming    []*incoming
	whole []uint64 // life and seq of messages that came whole, the latest last
}

// Transport is one process's end.
type Transport struct {
	fx    Effects
	life  uint32
	seq   uint32
	piece int // bytes of a message in one datagram
	peers map[uint32]*peer
	order []uint32
	buf   []byte
	// Counts of what was met.
	Malformed, GivenUp int
}

// New makes one. datagram is the longest that may be sent, in bytes; life tells this process's messages from an earlier one's.
func New(datagram int, life uint32, fx Effects) *Transport {
	return &Transport{fx: fx, life: life, piece: max(16, datagram-pieceHead), peers: map[uint32]*peer{}}
}

func (b *Transport) peer(id uint32) *peer {
	p := b.peers[id]
	if p == nil {
		p = &peer{}
		b.peers[id] = p
		i := sort.Search(len(b.order), func(i int) bool { return b.order[i] >= id })
		b.order = append(b.order, 0)
		copy(b.order[i+1:], b.order[i:])
		b.order[i] = id
	}
	return p
}

// Send sends a message to a peer.
func (b *Transport) Send(now Time, to uint32, data []byte) error {
	if len(data) <= b.piece+pieceHead-wholeHead {
		b.buf = append(b.buf[:0], DatagramPrefix, kindWhole)
		b.fx.Datagram(to, append(b.buf, data...))
		return nil
	}
	if len(data) > MaxMessage {
		return ErrMessageTooLong
	}
	p := b.peer(to)
	if len(p.outgoing) >= maxOutgoing { // the newest news matter most
		p.outgoing = p.outgoing[1:]
		b.GivenUp++
	}
	b.seq++
	n := (len(data) + b.piece - 1) / b.piece
	o := &outgoing{seq: b.seq, data: append([]byte(nil), data...), taken: make([]bool, n), left: n, until: now + GiveUpAfter}
	p.outgoing = append(p.outgoing, o)
	b.sendSome(now, to, o)
	return nil
}

// sendSome sends the next pieces that are not known to have arrived.
func (b *Transport) sendSome(now Time, to uint32, o *outgoing) {
	o.sentAt = now
	n := len(o.taken)
	for sent, looked := 0, 0; sent < burst && looked < n; looked++ {
		i := o.at % n
		o.at++
		if o.taken[i] {
			continue
		}
		sent++
		d := append(b.buf[:0], DatagramPrefix, kindPiece)
		d = binary.BigEndian.AppendUint32(d, b.life)
		d = binary.BigEndian.AppendUint32(d, o.seq)
		d = binary.BigEndian.AppendUint16(d, uint16(i))
		d = binary.BigEndian.AppendUint16(d, uint16(n))
		b.buf = append(d, o.data[i*b.piece:min(len(o.data), (i+1)*b.piece)]...)
		b.fx.Datagram(to, b.buf)
	}
}

// Tick is to be called every 20 to 100 ms.
func (b *Transport) Tick(now Time) {
	for _, id := range b.order {
		p := b.peers[id]
		kept := p.outgoing[:0]
		for _, o := range p.outgoing {
			if now >= o.until {
				b.GivenUp++
				continue
			}
			kept = append(kept, o)
			if now-o.sentAt >= again {
				b.sendSome(now, id, o)
			}
		}
		p.outgoing = kept
	}
}
