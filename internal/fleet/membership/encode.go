package membership

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// MaxDatagram is the longest datagram, in bytes.
const MaxDatagram = 256

// formatVersion begins each datagram; one of another version is counted and ignored. It differs from the first byte of the decision
// module's messages, with which datagrams may share a socket.
const formatVersion = 0x11

// IsMembershipDatagram says whether a datagram can be one of this package's, of any version.
func IsMembershipDatagram(b []byte) bool { return len(b) > 0 && b[0]&0xf0 == formatVersion&0xf0 }

// partKind says what a part of a datagram is; any number of parts follow the header.
type partKind byte

const (
	partPing        partKind = 1  // sequence: a probe
	partAck         partKind = 2  // sequence: the answer to a probe
	partPingRequest partKind = 3  // sequence, target: probe the target on the sender's behalf
	partIndirectAck partKind = 4  // sequence, target: the target has answered
	partUpdate      partKind = 5  // what the sender knows of one member
	partUnheard     partKind = 6  // the members that the sender does not hear
	partViewRequest partKind = 7  // send the complete view
	partName        partKind = 8  // the sender's name, of which its id is the hash
	partRejected    partKind = 9  // why the receiver is not admitted
	partAddress     partKind = 10 // a member's address, where addresses are learnt
	partCarried     partKind = 11 // another package's data for its counterpart at the receiver
)

// Lengths in bytes, a part's kind included; those with "header" precede data of variable length.
const (
	headerLength        = 1 + 4 + 4 + 8 + 4
	sequenceLength      = 1 + 4
	relayedLength       = 1 + 4 + 4
	updateLength        = 1 + 4 + 1 + 8 + 2
	unheardHeaderLength = 2
	nameHeaderLength    = 2
	viewRequestLength   = 1
	rejectedLength      = 2
	addressLength       = 1 + 4 + 4 + 2
	carriedHeaderLength = 3
)

// maxUnheardListed bounds how many members a datagram lists as unheard.
const maxUnheardListed = 8

// MaxPayload is how many bytes of another package's a datagram can carry, with an overhead in bytes that the caller adds.
func MaxPayload(overhead int) int {
	return MaxDatagram - overhead - headerLength - carriedHeaderLength
}

// Errors of Receive and of Seal.Open.
var (
	ErrMalformed = errors.New("malformed datagram")
	ErrVersion   = errors.New("datagram of another version")
	ErrFleet     = errors.New("datagram of another fleet")
)

// Rejection is why a process is not admitted, as datagrams carry it.
type Rejection byte

const (
	rejectedFleet Rejection = 1
	rejectedName  Rejection = 2
)

// String is the reason as the log has it.
func (r Rejection) String() string {
	switch r {
	case rejectedFleet:
		return "other_fleet"
	case rejectedName:
		return "name_in_use"
	}
	return "unknown"
}

// description is the reason as an error of the rejected process says it.
func (r Rejection) description() string {
	switch r {
	case rejectedFleet:
		return "it is of another fleet"
	case rejectedName:
		return "its name is in use by a live member"
	}
	return "for a reason that is not known here"
}

// MemberUpdate is one member's state as another member, or itself, gossips it.
type MemberUpdate struct {
	ID          uint32
	State       State
	Incarnation Incarnation
	// Age is how long ago anybody last heard the member, in milliseconds, when the datagram is sent; at most 65,535.
	Age uint16
}

// header begins each datagram, behind the version.
type header struct {
	fleet, sender uint32
	incarnation   Incarnation // the sender's
	digest        uint32      // of the sender's view
}

// datagram is one that is being written. The zero value has no header: see begin.
type datagram struct {
	buffer [MaxDatagram]byte
	length int
	limit  int // on length: what the caller adds comes behind
}

func (d *datagram) begin(h header, limit int) {
	d.limit = limit
	d.buffer[0] = formatVersion
	binary.BigEndian.PutUint32(d.buffer[1:], h.fleet)
	binary.BigEndian.PutUint32(d.buffer[5:], h.sender)
	binary.BigEndian.PutUint64(d.buffer[9:], uint64(h.incarnation))
	binary.BigEndian.PutUint32(d.buffer[17:], h.digest)
	d.length = headerLength
}

// bytes is what is written so far.
func (d *datagram) bytes() []byte { return d.buffer[:d.length] }

func (d *datagram) fits(n int) bool { return d.length+n <= d.limit }

// appendPart appends a part's kind and returns the n bytes of the part, its kind included.
func (d *datagram) appendPart(kind partKind, n int) []byte {
	p := d.buffer[d.length : d.length+n]
	p[0] = byte(kind)
	d.length += n
	return p
}

func (d *datagram) ping(sequence uint32) {
	binary.BigEndian.PutUint32(d.appendPart(partPing, sequenceLength)[1:], sequence)
}

func (d *datagram) ack(sequence uint32) {
	binary.BigEndian.PutUint32(d.appendPart(partAck, sequenceLength)[1:], sequence)
}

func (d *datagram) pingRequest(r relayed) { d.relayed(partPingRequest, r) }

func (d *datagram) indirectAck(r relayed) { d.relayed(partIndirectAck, r) }

func (d *datagram) relayed(kind partKind, r relayed) {
	p := d.appendPart(kind, relayedLength)
	binary.BigEndian.PutUint32(p[1:], r.sequence)
	binary.BigEndian.PutUint32(p[5:], r.target)
}

func (d *datagram) update(u MemberUpdate) bool {
	if !d.fits(updateLength) {
		return false
	}
	p := d.appendPart(partUpdate, updateLength)
	binary.BigEndian.PutUint32(p[1:], u.ID)
	p[5] = byte(u.State)
	binary.BigEndian.PutUint64(p[6:], uint64(u.Incarnation))
	binary.BigEndian.PutUint16(p[14:], u.Age)
	return true
}

// unheard writes the members that the sender does not hear, as many as fit and 255 at most.
func (d *datagram) unheard(ids []uint32) {
	if !d.fits(unheardHeaderLength) {
		return
	}
	n := min(len(ids), 255, (d.limit-d.length-unheardHeaderLength)/4)
	p := d.appendPart(partUnheard, unheardHeaderLength+4*n)
	p[1] = byte(n)
	for i, id := range ids[:n] {
		binary.BigEndian.PutUint32(p[unheardHeaderLength+4*i:], id)
	}
}

func (d *datagram) name(s string) {
	if d.fits(nameHeaderLength + len(s)) {
		p := d.appendPart(partName, nameHeaderLength+len(s))
		p[1] = byte(len(s))
		copy(p[nameHeaderLength:], s)
	}
}

// address writes a member's address; one that is not IPv4 has no form here and is left out.
func (d *datagram) address(id uint32, a netip.AddrPort) {
	if !a.Addr().Is4() || !d.fits(addressLength) {
		return
	}
	p := d.appendPart(partAddress, addressLength)
	binary.BigEndian.PutUint32(p[1:], id)
	ip := a.Addr().As4()
	copy(p[5:], ip[:])
	binary.BigEndian.PutUint16(p[9:], a.Port())
}

func (d *datagram) rejected(reason Rejection) {
	d.appendPart(partRejected, rejectedLength)[1] = byte(reason)
}

func (d *datagram) carried(channel byte, data []byte) bool {
	if !d.fits(carriedHeaderLength+len(data)) || len(data) > 255 {
		return false
	}
	p := d.appendPart(partCarried, carriedHeaderLength+len(data))
	p[1], p[2] = channel, byte(len(data))
	copy(p[carriedHeaderLength:], data)
	return true
}

func (d *datagram) viewRequest() {
	if d.fits(viewRequestLength) {
		d.appendPart(partViewRequest, viewRequestLength)
	}
}
