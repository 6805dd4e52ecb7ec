package fragment

import (
	"errors"
	"sort"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	// MaxMessageBytes bounds a message, in bytes.
	MaxMessageBytes = 200 << 10
	// GiveUpAfter is how long an unacknowledged message is retransmitted.
	GiveUpAfter = Time(3e9) // 3 s

	minPieceBytes  = 16
	piecesPerBurst = 24        // of a message, sent at a time
	burstInterval  = Time(4e7) // 40 ms between two bursts of a message
	maxOutgoing    = 4         // unacknowledged long messages to a peer
	maxIncoming    = 4         // incomplete long messages from a peer
	maxCompleted   = 32        // complete messages remembered for each peer, so that none is delivered twice
)

// Errors of a Transport.
var (
	ErrMalformed      = errors.New("fragment: malformed datagram")
	ErrMessageTooLong = errors.New("fragment: message over 200 KiB")
)

// Effects is what a Transport has its user do. Data are valid during the call only.
type Effects interface {
	SendDatagram(peer uint32, data []byte)
	DeliverMessage(peer uint32, data []byte)
}

// peerState is the messages in flight to and from a peer.
type peerState struct {
	outgoing  []*outgoing // the oldest first
	incoming  []*incoming // the oldest first
	completed []messageID // the latest last
}

// Transport is one process's end. It is not safe for concurrent use.
type Transport struct {
	MalformedDatagrams int // datagrams received
	AbandonedMessages  int // long messages

	effects      Effects
	incarnation  uint32 // distinguishes this process's messages from those of an earlier one
	lastSequence uint32
	pieceBytes   int // of a message in one datagram
	peers        map[uint32]*peerState
	peerIDs      []uint32 // sorted: the order of sending must not follow that of a map, or runs could not be replayed
	buffer       []byte
}

// New makes a transport. maxDatagram is the longest that may be sent, in bytes.
func New(maxDatagram int, incarnation uint32, effects Effects) *Transport {
	return &Transport{
		effects:     effects,
		incarnation: incarnation,
		pieceBytes:  max(minPieceBytes, maxDatagram-pieceHeader),
		peers:       map[uint32]*peerState{},
	}
}

// peer is a peer's state, a new one where there is none yet.
func (t *Transport) peer(id uint32) *peerState {
	p := t.peers[id]
	if p == nil {
		p = &peerState{}
		t.peers[id] = p
		i := sort.Search(len(t.peerIDs), func(i int) bool { return t.peerIDs[i] >= id })
		t.peerIDs = append(t.peerIDs, 0)
		copy(t.peerIDs[i+1:], t.peerIDs[i:])
		t.peerIDs[i] = id
	}
	return p
}

// Tick must be called every 20 to 100 ms: it retransmits what is not acknowledged.
func (t *Transport) Tick(now Time) {
	for _, id := range t.peerIDs {
		p := t.peers[id]
		remaining := p.outgoing[:0]
		for _, o := range p.outgoing {
			if now >= o.giveUpAt {
				t.AbandonedMessages++
				continue
			}
			remaining = append(remaining, o)
			if now-o.sentAt >= burstInterval {
				t.sendBurst(now, id, o)
			}
		}
		p.outgoing = remaining
	}
}

// Receive handles a datagram of a peer; the error is ErrMalformed.
func (t *Transport) Receive(now Time, from uint32, data []byte) error {
	if !t.handle(now, from, data) {
		t.MalformedDatagrams++
		return ErrMalformed
	}
	return nil
}

// handle acts on a datagram; false: it is malformed.
func (t *Transport) handle(now Time, from uint32, data []byte) bool {
	if len(data) < singleHeader || data[0] != DatagramPrefix {
		return false
	}
	switch data[1] {
	case kindSingle:
		t.effects.DeliverMessage(from, data[singleHeader:])
		return true
	case kindPiece:
		p, ok := decodePiece(data)
		return ok && t.handlePiece(from, p)
	case kindAck:
		a, ok := decodeAck(data)
		if ok {
			t.handleAck(now, from, a)
		}
		return ok
	}
	return false
}
