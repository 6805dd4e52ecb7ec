// Package stallgossip encodes the messages in which balancers notify each other of upstream hosts
// that delay the messages of clients. A notification is a sequence of six-byte records: one byte for
// the kind, four for the host (the lower 32 bits of the hash of its ID), and one for the delay, how
// long a client's message takes there, in quarters of the shortest message latency objective of all
// classes. Notifications are priced by the byte.
package stallgossip

import "encoding/binary"

const (
	kindStall   = 1  // first byte of a record; package ledger uses other kinds
	recordBytes = 6  // size of a record
	maxRecords  = 42 // number of records that fit into a datagram of 256 bytes
)

// Record reports a host that delays messages.
type Record struct {
	Host  uint32  // the lower 32 bits of the hash of its ID
	Delay float64 // in shortest message latency objectives; sent rounded down to quarters, 0 to 63.75
}

// Append appends a record to a message, which may be nil. It returns a message that has maxRecords
// records unchanged.
func Append(message []byte, r Record) []byte {
	if len(message)+recordBytes > maxRecords*recordBytes {
		return message
	}
	message = binary.BigEndian.AppendUint32(append(message, kindStall), r.Host)
	return append(message, byte(min(255, max(0, r.Delay*4))))
}

// Decode calls handle for each record of a message. It stops without an error at a truncated record
// or at one of another kind: a later version may send records whose length is unknown here.
func Decode(message []byte, handle func(Record)) {
	for ; len(message) >= recordBytes && message[0] == kindStall; message = message[recordBytes:] {
		handle(Record{Host: binary.BigEndian.Uint32(message[1:]), Delay: float64(message[5]) / 4})
	}
}
