package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// MaxDatagramBytes is the maximum length of a datagram, in bytes.
const MaxDatagramBytes = 256

// formatVersion is the first byte of each datagram. Datagrams of another version are counted and ignored.
// It differs from the first byte of the decision module's messages, which may share the socket.
const formatVersion = 0x11

// IsMembershipDatagram reports whether b may be a datagram of this package, of any version.
func IsMembershipDatagram(b []byte) bool { return len(b) > 0 && b[0]&0xf0 == formatVersion&0xf0 }

// partKind is the kind of a part of a datagram. Any number of parts follow the header.
type partKind byte

const (
	partPing        partKind = 1  // a probe, with its sequence number
	partAck         partKind = 2  // the answer to a probe, with the same sequence number
	partPingRequest partKind = 3  // request to probe a target on the sender's behalf
	partIndirectAck partKind = 4  // report that the target of a partPingRequest has answered
	partUpdate      partKind = 5  // what the sender knows about one member
	partUnheard     partKind = 6  // the members that the sender does not hear
	partViewRequest partKind = 7  // request for the complete view
	partName        partKind = 8  // the sender's name, whose hash is its ID
	partRejected    partKind = 9  // the reason for which the receiver is not admitted
	partAddress     partKind = 10 // a member's address, if addresses are learnt
	partPayload     partKind = 11 // data of another package for its counterpart at the receiver
)

// Lengths of the datagram's header, with the version, and of the parts, with the kind, in bytes. The
// header of a part precedes data of variable length, which its length excludes.
const (
	headerLength        = 1 + 4 + 4 + 8 + 4
	sequenceLength      = 1 + 4
	indirectProbeLength = 1 + 4 + 4
	updateLength        = 1 + 4 + 1 + 8 + 2
	unheardHeaderLength = 2
	nameHeaderLength    = 2
	viewRequestLength   = 1
	rejectedLength      = 2
	addressLength       = 1 + 4 + 4 + 2
	payloadHeaderLength = 3
)

// maxUnheardListed is the maximum number of members that a process lists as unheard in a datagram.
const maxUnheardListed = 8

// MaxPayload returns the maximum number of bytes of another package's data in a datagram to which the caller
// adds overhead bytes.
func MaxPayload(overhead int) int {
	return MaxDatagramBytes - overhead - headerLength - payloadHeaderLength
}

// Errors that Core.Receive returns. Seal.Open returns ErrMalformed, too.
var (
	ErrMalformed    = errors.New("malformed datagram")
	ErrOtherVersion = errors.New("datagram of another version")
	ErrOtherFleet   = errors.New("datagram of another fleet")
)

// Rejection is the reason for which a process is not admitted, as encoded in datagrams.
type Rejection byte

const (
	rejectedFleet Rejection = 1
	rejectedName  Rejection = 2
)

// String returns the reason as it appears in the log, or "unknown" for a number that is no reason.
func (r Rejection) String() string {
	switch r {
	case rejectedFleet:
		return "other_fleet"
	case rejectedName:
		return "name_in_use"
	}
	return "unknown"
}

// description returns the reason in words, for the error that the rejected process reports.
func (r Rejection) description() string {
	switch r {
	case rejectedFleet:
		return "it is of another fleet"
	case rejectedName:
		return "its name is in use by a live member"
	}
	return fmt.Sprintf("unknown reason %d", byte(r))
}

// MemberUpdate is the state of a member as another member, or the member itself, gossips it.
type MemberUpdate struct {
	ID          uint32
	State       State
	Incarnation Incarnation
	// Age is the time since any process last heard the member, in milliseconds, at the time of sending.
	// It is at most 65,535.
	Age uint16
}

// header is the content of a datagram's header, which follows the version.
type header struct {
	fleet, sender uint32      // hash of the fleet's name, ID of the sender
	incarnation   Incarnation // incarnation of the sender
	digest        uint32      // digest of the sender's view
}

// datagram is a datagram under construction. begin must be called first, to write the header. The methods
// ping, ack, pingRequest, indirectAck and rejected do not check whether their part fits: each is used only
// for the first part.
type datagram struct {
	buffer [MaxDatagramBytes]byte
	length int
	limit  int // maximum of length, which leaves room for the overhead that the caller adds
}

// begin writes the header. limit is the maximum length of the datagram in bytes.
func (d *datagram) begin(h header, limit int) {
	d.limit = limit
	d.buffer[0] = formatVersion
	binary.BigEndian.PutUint32(d.buffer[1:], h.fleet)
	binary.BigEndian.PutUint32(d.buffer[5:], h.sender)
	binary.BigEndian.PutUint64(d.buffer[9:], uint64(h.incarnation))
	binary.BigEndian.PutUint32(d.buffer[17:], h.digest)
	d.length = headerLength
}

// bytes returns the datagram as written so far.
func (d *datagram) bytes() []byte { return d.buffer[:d.length] }

// fits reports whether n more bytes fit the datagram.
func (d *datagram) fits(n int) bool { return d.length+n <= d.limit }

// appendPart appends a part of n bytes, which must fit, and writes its kind, the first byte. It returns the
// part.
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

func (d *datagram) pingRequest(request indirectProbe) { d.indirectProbe(partPingRequest, request) }

func (d *datagram) indirectAck(ack indirectProbe) { d.indirectProbe(partIndirectAck, ack) }

func (d *datagram) indirectProbe(kind partKind, probe indirectProbe) {
	p := d.appendPart(kind, indirectProbeLength)
	binary.BigEndian.PutUint32(p[1:], probe.sequence)
	binary.BigEndian.PutUint32(p[5:], probe.target)
}

// update writes an update and reports whether it fitted.
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

// unheard writes the IDs of the members that the sender does not hear: as many as fit, and at most 255,
// as their number is a byte.
func (d *datagram) unheard(ids []uint32) {
	if !d.fits(unheardHeaderLength) {
		return
	}
	n := min(len(ids), 255, (d.limit-d.length-unheardHeaderLength)/4) // an ID has 4 bytes
	p := d.appendPart(partUnheard, unheardHeaderLength+4*n)
	p[1] = byte(n)
	for i, id := range ids[:n] {
		binary.BigEndian.PutUint32(p[unheardHeaderLength+4*i:], id)
	}
}

// name writes the sender's name. It omits a name that does not fit.
func (d *datagram) name(s string) {
	if d.fits(nameHeaderLength + len(s)) {
		p := d.appendPart(partName, nameHeaderLength+len(s))
		p[1] = byte(len(s))
		copy(p[nameHeaderLength:], s)
	}
}

// address writes the address of a member. It omits an address that does not fit, and addresses other than
// IPv4, which the format cannot hold.
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

// payload writes data of another package and reports whether the data fitted.
func (d *datagram) payload(channel byte, data []byte) bool {
	if !d.fits(payloadHeaderLength+len(data)) || len(data) > 255 {
		return false
	}
	p := d.appendPart(partPayload, payloadHeaderLength+len(data))
	p[1], p[2] = channel, byte(len(data))
	copy(p[payloadHeaderLength:], data)
	return true
}

// viewRequest writes a request for the complete view. It omits one that does not fit.
func (d *datagram) viewRequest() {
	if d.fits(viewRequestLength) {
		d.appendPart(partViewRequest, viewRequestLength)
	}
}
