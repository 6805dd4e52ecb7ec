package balancer

// The form of messages between balancers: records of six bytes, a kind, a server by 32 bits of its id's hash, and how long
// messages take there in quarters of the shortest aim. Peers pay by the byte; forty records fit in a datagram.

const (
	toldSlow   = 1
	toldRecord = 6
	toldMost   = 42 // records a datagram of 256 bytes holds
)

// appendTold adds a record; a message that is full stays as it is.
func appendTold(data []byte, server uint32, slowness float64) []byte {
	if len(data)+toldRecord > toldMost*toldRecord {
		return data
	}
	return append(data, toldSlow, byte(server>>24), byte(server>>16), byte(server>>8), byte(server),
		byte(min(255, max(0, slowness*4))))
}

// readTold gives each record to take. What is torn or of another kind ends it: a later version's records are not known
// to be of this length.
func readTold(data []byte, take func(server uint32, slowness float64)) {
	for ; len(data) >= toldRecord && data[0] == toldSlow; data = data[toldRecord:] {
		take(uint32(data[1])<<24|uint32(data[2])<<16|uint32(data[3])<<8|uint32(data[4]), float64(data[5])/4)
	}
}
