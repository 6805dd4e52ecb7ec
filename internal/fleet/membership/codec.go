package membership

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

// MaxDatagram is the longest datagram, in bytes.
const MaxDatagram = 256

// version is the codec's: a datagram of another one is passed over and counted. It is no kind of message of the decision module's,
// with which datagrams may share a socket.
const version = 0x11

// IsMembershipDatagram tells whether a datagram can be one of this package's, of any version.
func IsMembershipDatagram(b []byte) bool { return len(b) > 0 && b[0]&0xf0 == version&0xf0 }

// The kinds of part that a datagram holds, any number of them behind its head.
const (
	partPing    = 1  // seq: answer
	partAck     = 2  // seq
	partPingFor = 3  // seq, id: ask id in my stead
	partAckFor  = 4  // seq, id: id has answered
	partNews    = 5  // news about one member
	partRow     = 6  // whom the sender does not hear
	partWant    = 7  // send your whole view
	partName    = 8  // the sender's name, which its id is the hash of
	partRefused = 9  // why the receiver is not taken in
	partWhere   = 10 // at which address a member is, where members come and go
	partOther   = 11 // what another package tells its like at the receiver, by the way that members have
)

// otherHead is what a part for others takes besides what it carries.
const otherHead = 3

// PayloadRoom is how many bytes of another package's a datagram can carry, with so many taken off by the caller.
func PayloadRoom(overhead int) int { return MaxDatagram - overhead - headLen - otherHead }

// ErrMalformed is told of a datagram that is none of this codec's; ErrVersion of one of another version, and ErrFleet of another
// fleet's.
var (
	ErrMalformed = errors.New("malformed datagram")
	ErrVersion   = errors.New("datagram of another version")
	ErrFleet     = errors.New("datagram of another fleet")
)

// Incarnation tells one life of a member from another: its start in Unix milliseconds, and a counter within it that only the member
// itself raises, to answer what others say of it. A larger one is newer.
type Incarnation uint64

// NewIncarnation begins at a start time.
func NewIncarnation(unixMS int64) Incarnation { return Incarnation(uint64(unixMS) << 16) }

// Start is the part that tells lives of different processes apart.
func (l Incarnation) Start() uint64 { return uint64(l) >> 16 }

// MemberNews is what one member tells of another, or of itself.
type MemberNews struct {
	ID          uint32
	State       State
	Incarnation Incarnation
	// Age is how long ago the member was last heard by whoever heard it last, in milliseconds, as the datagram is sent; at most
	// 65,535.
	Age uint16
}

const newsLen = 4 + 1 + 8 + 2

// head is 15 bytes: version, fleet, sender, the sender's life without the part that all share.
const headLen = 1 + 4 + 4 + 8 + 4

// Datagram is one that is being written. The zero value is none: see begin.
type Datagram struct {
	buf  [MaxDatagram]byte
	n    int
	room int // less for a keyed hash behind
}

func (d *Datagram) begin(fleet, from uint32, life Incarnation, digest uint32, room int) {
	d.room = room
	d.buf[0] = version
	binary.BigEndian.PutUint32(d.buf[1:], fleet)
	binary.BigEndian.PutUint32(d.buf[5:], from)
	binary.BigEndian.PutUint64(d.buf[9:], uint64(life))
	binary.BigEndian.PutUint32(d.buf[17:], digest)
	d.n = headLen
}

// Bytes is what is written so far.
func (d *Datagram) Bytes() []byte { return d.buf[:d.n] }

func (d *Datagram) fits(n int) bool { return d.n+n <= d.room }

func (d *Datagram) seq(part byte, seq uint32) {
	d.buf[d.n] = part
	binary.BigEndian.PutUint32(d.buf[d.n+1:], seq)
	d.n += 5
}

func (d *Datagram) seqID(part byte, seq, id uint32) {
	d.seq(part, seq)
	binary.BigEndian.PutUint32(d.buf[d.n:], id)
	d.n += 4
}

func (d *Datagram) news(x MemberNews) bool {
	if !d.fits(1 + newsLen) {
		return false
	}
	p := d.buf[d.n:]
	p[0] = partNews
	binary.BigEndian.PutUint32(p[1:], x.ID)
	p[5] = byte(x.State)
	binary.BigEndian.PutUint64(p[6:], uint64(x.Incarnation))
	binary.BigEndian.PutUint16(p[14:], x.Age)
	d.n += 1 + newsLen
	return true
}

// row writes whom the sender does not hear, as many as fit and 255 at most.
func (d *Datagram) row(ids []uint32) {
	if !d.fits(2) {
		return
	}
	n := min(len(ids), 255, (d.room-d.n-2)/4)
	d.buf[d.n], d.buf[d.n+1] = partRow, byte(n)
	d.n += 2
	for _, id := range ids[:n] {
		binary.BigEndian.PutUint32(d.buf[d.n:], id)
		d.n += 4
	}
}

func (d *Datagram) name(s string) {
	if d.fits(2 + len(s)) {
		d.buf[d.n], d.buf[d.n+1] = partName, byte(len(s))
		d.n += 2 + copy(d.buf[d.n+2:], s)
	}
}

const whereLen = 1 + 4 + 4 + 2

func (d *Datagram) where(id uint32, a netip.AddrPort) {
	if !a.Addr().Is4() || !d.fits(whereLen) {
		return
	}
	p := d.buf[d.n:]
	p[0] = partWhere
	binary.BigEndian.PutUint32(p[1:], id)
	ip := a.Addr().As4()
	copy(p[5:], ip[:])
	binary.BigEndian.PutUint16(p[9:], a.Port())
	d.n += whereLen
}

func (d *Datagram) refused(why byte) {
	d.buf[d.n], d.buf[d.n+1] = partRefused, why
	d.n += 2
}

func (d *Datagram) other(whose byte, data []byte) bool {
	if !d.fits(otherHead+len(data)) || len(data) > 255 {
		return false
	}
	d.buf[d.n], d.buf[d.n+1], d.buf[d.n+2] = partOther, whose, byte(len(data))
	d.n += otherHead + copy(d.buf[d.n+otherHead:], data)
	return true
}

func (d *Datagram) want() {
	if d.fits(1) {
		d.buf[d.n] = partWant
		d.n++
	}
}
