// Package stallgossip encodes the messages in which balancers notify each other of hosts that delay
// messages. A message is a sequence of six-byte records: the kind, the host as 32 bits of the hash
// of its ID, and how long messages take there, in quarters of the shortest message latency objective
// of all classes. Messages are priced by the byte.
package stallgossip

import "encoding/binary"

const (
	kindStall   = 1
	recordBytes = 6
	maxRecords  = 42 // number of records that fit into a datagram of 256 bytes
)

// Record reports a host that delays messages.
type Record struct {
	Host  uint32  // 32 bits of the hash of its ID
	Delay float64 // in shortest message latency objectives; sent in quarters, up to 63.75
}

// Append appends a record to a message. It returns a full message unchanged.
func Append(message []byte, r Record) []byte {
	if len(message)+recordBytes > maxRecords*recordBytes {
		return message
	}
	message = binary.BigEndian.AppendUint32(append(message, kindStall), r.Host)
	return append(message, byte(min(255, max(0, r.Delay*4))))
}

// Decode calls handle for each record. It stops at a truncated record or one of another kind, since
// the length of records of later versions is unknown.
func Decode(message []byte, handle func(Record)) {
	for ; len(message) >= recordBytes && message[0] == kindStall; message = message[recordBytes:] {
		handle(Record{Host: binary.BigEndian.Uint32(message[1:]), Delay: float64(message[5]) / 4})
	}
}
