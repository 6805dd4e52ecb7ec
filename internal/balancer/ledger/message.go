package ledger

import "encoding/binary"

// Kinds of message. The first byte tells; 1 is the decision module's own. Peers pay by the byte, so nothing is said that is not needed.
const (
	kindAsk    = 2 // who asks for a server
	kindAnswer = 3
	kindEntry  = 4 // what the sender holds more, or less
	kindAll    = 5 // what it holds is this alone: entries follow
	kindHere   = 6 // who keeps a book begins, or is still there
	kindLook   = 7 // are you there?

	entryBytes = 9
	// MaxEntries is how many entries a datagram of 256 bytes has room for behind its kind.
	MaxEntries = 28
)

// Query is a request for a server.
type Query struct {
	Seq   uint16
	Zone  int    // of the asker, 0 to 127
	Retry bool   // its client comes again
	Units int    // 1 to 127
	Group uint32 // 24 bits
}

// Entry is what its sender holds more (or less) of a group at a server.
type Entry struct {
	Host, Group uint32
	Units       int // -127 to 127
}

// Message is any of them.
type Message struct {
	Query        *Query
	Reply        bool
	Seq          uint16
	Epoch        byte   // of the book that answers, or is here
	Host         uint32 // 0: none
	Entries      []Entry
	Sync         bool
	Announcement bool
	Poll         bool
}

// GroupID is a group's name in messages: 24 bits of its hash.
func GroupID(hash uint64) uint32 { return uint32(hash) &^ 0xff >> 8 }

// Append writes an ask.
func (a Query) Append(d []byte) []byte {
	flags := byte(min(127, max(0, a.Zone)))
	if a.Retry {
		flags |= 128
	}
	return append(d, kindAsk, byte(a.Seq>>8), byte(a.Seq), flags, byte(min(127, max(1, a.Units))), byte(a.Group>>16), byte(a.Group>>8), byte(a.Group))
}

// AppendReply writes an answer.
func AppendReply(seq uint16, epoch byte, server uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kindAnswer, epoch, byte(seq >> 8), byte(seq)}, server)
}

// Append writes an entry.
func (e Entry) Append(d []byte) []byte {
	d = binary.BigEndian.AppendUint32(append(d, kindEntry), e.Host)
	return append(d, byte(e.Group>>16), byte(e.Group>>8), byte(e.Group), byte(int8(min(127, max(-127, e.Units)))))
}

// StartSync begins a message of all that the sender holds.
func StartSync() []byte { return []byte{kindAll} }

// Announcement says that a book is kept here, and Look asks whether it is.
func Announcement(epoch byte) []byte { return []byte{kindHere, epoch} }
func Poll() []byte                   { return []byte{kindLook} }

// Decode reads a message; ok is false for what is none, or torn.
func Decode(d []byte) (m Message, ok bool) {
	if len(d) == 0 {
		return m, false
	}
	switch {
	case d[0] == kindAsk && len(d) == 8 && d[4] > 0 && d[4] < 128:
		m.Query = &Query{Seq: uint16(d[1])<<8 | uint16(d[2]), Zone: int(d[3] & 127), Retry: d[3] > 127, Units: int(d[4]), Group: uint32(d[5])<<16 | uint32(d[6])<<8 | uint32(d[7])}
		return m, true
	case d[0] == kindAnswer && len(d) == 8:
		m.Reply, m.Epoch, m.Seq, m.Host = true, d[1], uint16(d[2])<<8|uint16(d[3]), binary.BigEndian.Uint32(d[4:])
		return m, true
	case d[0] == kindHere && len(d) == 2:
		m.Announcement, m.Epoch = true, d[1]
		return m, true
	case d[0] == kindLook && len(d) == 1:
		m.Poll = true
		return m, true
	case d[0] == kindAll:
		m.Sync, d = true, d[1:]
	case d[0] != kindEntry:
		return m, false
	}
	if len(d)%entryBytes != 0 || len(d) > MaxEntries*entryBytes {
		return Message{}, false
	}
	for ; len(d) > 0; d = d[entryBytes:] {
		if d[0] != kindEntry || d[8] == 0x80 {
			return Message{}, false
		}
		m.Entries = append(m.Entries, Entry{Host: binary.BigEndian.Uint32(d[1:]), Group: uint32(d[5])<<16 | uint32(d[6])<<8 | uint32(d[7]), Units: int(int8(d[8]))})
	}
	return m, m.Sync || len(m.Entries) > 0
}
