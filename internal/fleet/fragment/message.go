package fragment

import "encoding/binary"

// DatagramPrefix is the first byte of each datagram.
const DatagramPrefix = 0x12

// Kinds of datagram, which are the second byte of a datagram.
const (
	kindSingle = 0 // a message that fits one datagram
	kindPiece  = 1 // a piece of a longer message
	kindAck    = 2 // an acknowledgment of the pieces that have arrived
)

// Lengths of the headers, in bytes: prefix, kind, and for pieces and acks the incarnation and
// sequence of the message; for pieces also the index and the number of pieces.
const (
	singleHeader = 1 + 1
	pieceHeader  = 1 + 1 + 4 + 4 + 2 + 2
	ackHeader    = 1 + 1 + 4 + 4
)

// messageID identifies a message of several pieces among the messages of one sender. The
// incarnation distinguishes the sending process from earlier ones at the same address.
type messageID struct{ incarnation, sequence uint32 }

// piece is one part of a long message.
type piece struct {
	message      messageID
	index, count int
	body         []byte // as long in all pieces but the last, which may be shorter
}

// append appends the datagram with the piece to b.
func (p piece) append(b []byte) []byte {
	b = append(b, DatagramPrefix, kindPiece)
	b = binary.BigEndian.AppendUint32(b, p.message.incarnation)
	b = binary.BigEndian.AppendUint32(b, p.message.sequence)
	b = binary.BigEndian.AppendUint16(b, uint16(p.index))
	b = binary.BigEndian.AppendUint16(b, uint16(p.count))
	return append(b, p.body...)
}

// decodePiece decodes a piece. It returns false if the piece is malformed or its message is longer
// than 2*MaxMessageBytes; handlePiece checks the exact limit.
func decodePiece(data []byte) (piece, bool) {
	if len(data) <= pieceHeader {
		return piece{}, false
	}
	p := piece{
		message: messageID{binary.BigEndian.Uint32(data[2:]), binary.BigEndian.Uint32(data[6:])},
		index:   int(binary.BigEndian.Uint16(data[10:])),
		count:   int(binary.BigEndian.Uint16(data[12:])),
		body:    data[pieceHeader:],
	}
	valid := p.index < p.count && p.count >= 2 && p.count*len(p.body) <= 2*MaxMessageBytes
	return p, valid
}

func (p piece) isLast() bool { return p.index == p.count-1 }

// ack acknowledges the pieces of a message that have arrived.
type ack struct {
	message messageID
	bitmap  bitmap // the pieces that have arrived; empty if all have
}

// append appends the datagram with the ack to b.
func (a ack) append(b []byte) []byte {
	b = append(b, DatagramPrefix, kindAck)
	b = binary.BigEndian.AppendUint32(b, a.message.incarnation)
	b = binary.BigEndian.AppendUint32(b, a.message.sequence)
	return append(b, a.bitmap...)
}

// decodeAck decodes an ack. It returns false if the datagram is too short.
func decodeAck(data []byte) (ack, bool) {
	if len(data) < ackHeader {
		return ack{}, false
	}
	message := messageID{binary.BigEndian.Uint32(data[2:]), binary.BigEndian.Uint32(data[6:])}
	return ack{message, data[ackHeader:]}, true
}

// bitmap has a bit for each piece, starting with the lowest bit of each byte.
type bitmap []byte

// newBitmap returns a bitmap in which the bits of the received pieces are set.
func newBitmap(received []bool) bitmap {
	b := make(bitmap, (len(received)+7)/8)
	for i, r := range received {
		if r {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// isSet reports whether bit i is set. Bits beyond the end are not set.
func (b bitmap) isSet(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
