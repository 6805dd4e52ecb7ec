package fragment

import "encoding/binary"

// DatagramPrefix is the first byte of each datagram.
const DatagramPrefix = 0x12

// The kinds of datagram, as the second byte.
const (
	kindSingle = 0 // a message that fits one datagram
	kindPiece  = 1 // a part of a longer one
	kindAck    = 2 // which pieces have arrived
)

// Lengths in bytes of what precedes the data.
const (
	singleHeader = 1 + 1
	pieceHeader  = 1 + 1 + 4 + 4 + 2 + 2
	ackHeader    = 1 + 1 + 4 + 4
)

// messageID identifies a long message among those of one sender.
type messageID struct{ incarnation, sequence uint32 }

// piece is one part of a long message.
type piece struct {
	message      messageID
	index, count int
	body         []byte // all but the last are equally long
}

func (p piece) append(b []byte) []byte {
	b = append(b, DatagramPrefix, kindPiece)
	b = binary.BigEndian.AppendUint32(b, p.message.incarnation)
	b = binary.BigEndian.AppendUint32(b, p.message.sequence)
	b = binary.BigEndian.AppendUint16(b, uint16(p.index))
	b = binary.BigEndian.AppendUint16(b, uint16(p.count))
	return append(b, p.body...)
}

// decodePiece reads a piece; false: it is malformed, or of a message that is too long.
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

// ack says which pieces of a message have arrived.
type ack struct {
	message messageID
	bitmap  bitmap // empty: all have
}

func (a ack) append(b []byte) []byte {
	b = append(b, DatagramPrefix, kindAck)
	b = binary.BigEndian.AppendUint32(b, a.message.incarnation)
	b = binary.BigEndian.AppendUint32(b, a.message.sequence)
	return append(b, a.bitmap...)
}

func decodeAck(data []byte) (ack, bool) {
	if len(data) < ackHeader {
		return ack{}, false
	}
	message := messageID{binary.BigEndian.Uint32(data[2:]), binary.BigEndian.Uint32(data[6:])}
	return ack{message, data[ackHeader:]}, true
}

// bitmap has a bit for each piece, the lowest bit of each byte first.
type bitmap []byte

func newBitmap(received []bool) bitmap {
	b := make(bitmap, (len(received)+7)/8)
	for i, r := range received {
		if r {
			b[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// isSet says whether a bit is set; those beyond the end are not.
func (b bitmap) isSet(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
