// Package stallgossip encodes the messages in which balancers notify each other of hosts that delay messages.
// A message is a run of records of six bytes: the kind, the host as 32 bits of the hash of its ID, and how
// long messages take there in quarters of the shortest latency objective. Messages are priced by the byte.
package stallgossip

import "encoding/binary"

const (
	kindStall   = 1
	recordBytes = 6
	maxRecords  = 42 // that a datagram of 256 bytes holds
)

// Record names a host that delays messages.
type Record struct {
	Host  uint32  // 32 bits of the hash of its ID
	Delay float64 // in shortest latency objectives; sent in quarters, up to 63.75
}

// Append adds a record to a message. A full message stays as it is.
func Append(message []byte, r Record) []byte {
	if len(message)+recordBytes > maxRecords*recordBytes {
		return message
	}
	message = binary.BigEndian.AppendUint32(append(message, kindStall), r.Host)
	return append(message, byte(min(255, max(0, r.Delay*4))))
}

// Decode calls handle with each record. A torn record or one of another kind ends it, since the length of the
// records of later versions is unknown.
func Decode(message []byte, handle func(Record)) {
	for ; len(message) >= recordBytes && message[0] == kindStall; message = message[recordBytes:] {
		handle(Record{Host: binary.BigEndian.Uint32(message[1:]), Delay: float64(message[5]) / 4})
	}
}
