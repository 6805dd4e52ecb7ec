package fragment

import (
	"errors"
	"sort"
)

// Time is a time or duration in nanoseconds on the caller's monotonic clock.
type Time = int64

const (
	// MaxMessageBytes is the length of the longest message.
	MaxMessageBytes = 200 << 10
	// GiveUpAfter is how long an unacknowledged message is retransmitted.
	GiveUpAfter = Time(3e9) // 3 s

	minPieceBytes  = 16        // minimum length of a piece other than the last, even if maxDatagram allows less
	piecesPerBurst = 24        // pieces of a message that are sent at a time
	burstInterval  = Time(4e7) // 40 ms between two bursts of a message
	maxOutgoing    = 4         // unacknowledged long messages to a peer
	maxIncoming    = 4         // incomplete long messages from a peer
	maxCompleted   = 32        // IDs of complete messages kept per peer, so that none is delivered twice
)

// Errors that the methods of a Transport return.
var (
	ErrMalformed      = errors.New("fragment: malformed datagram")
	ErrMessageTooLong = errors.New("fragment: message over 200 KiB")
)

// Effects is implemented by the user of a Transport. data is valid during the call only.
type Effects interface {
	// SendDatagram sends a datagram to a peer. The datagram may be lost.
	SendDatagram(peer uint32, data []byte)
	// DeliverMessage delivers a complete message from a peer.
	DeliverMessage(peer uint32, data []byte)
}

// peerState holds the messages in flight to and from a peer, each list with the oldest first.
type peerState struct {
	outgoing  []*outgoing
	incoming  []*incoming
	completed []messageID
}

// Transport sends and receives the messages of one process. It is not safe for concurrent use.
type Transport struct {
	MalformedDatagrams int // malformed datagrams received
	AbandonedMessages  int // long messages that were not acknowledged in time or were replaced by newer ones

	effects      Effects
	incarnation  uint32                // distinguishes messages of this process from those of an earlier one
	lastSequence uint32                // sequence number of the last long message (of several pieces) sent
	pieceBytes   int                   // length of each piece but the last
	peers        map[uint32]*peerState // by member ID
	peerIDs      []uint32              // sorted, since runs that send in the random order of a map can't be replayed
	buffer       []byte                // for the datagram that is being sent
}

// New returns a Transport. maxDatagram is the length of the longest datagram to send, in bytes.
// incarnation must differ from those of earlier processes with this member ID.
func New(maxDatagram int, incarnation uint32, effects Effects) *Transport {
	return &Transport{
		effects:     effects,
		incarnation: incarnation,
		pieceBytes:  max(minPieceBytes, maxDatagram-pieceHeader),
		peers:       map[uint32]*peerState{},
	}
}

// peer returns the state of a peer. It creates the state if there is none yet.
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

// Tick retransmits unacknowledged pieces, and abandons the messages that were not acknowledged within
// GiveUpAfter. It must be called every 20 to 100 ms.
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

// Receive handles a datagram from a peer. It returns ErrMalformed if the datagram is malformed.
func (t *Transport) Receive(now Time, from uint32, data []byte) error {
	if !t.handle(now, from, data) {
		t.MalformedDatagrams++
		return ErrMalformed
	}
	return nil
}

// handle handles a datagram. It returns false if the datagram is malformed.
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
