package ledger

import (
	"encoding/binary"
	"errors"
)

// The ledger server is the balancer that counts the connections of all balancers by host and group,
// and assigns hosts. A group is a set of connections that cost less together. The first byte of a
// message is its kind. Kind 1 belongs to package stallgossip. Messages are priced by the byte, so
// that they contain only what is needed.
const (
	kindQuery        = 2
	kindReply        = 3
	kindEntry        = 4
	kindSync         = 5 // entries follow
	kindAnnouncement = 6
	kindPoll         = 7
	kindFollow       = 8
)

// Sizes in bytes, with the kind byte, and bounds of the fields.
const (
	queryBytes        = 8
	replyBytes        = 8
	entryBytes        = 9
	announcementBytes = 2
	pollBytes         = 1
	followBytes       = 1

	// MaxEntries is how many entries fit into a datagram of 256 bytes after a kind byte.
	MaxEntries = 28
	// MaxUnits is the largest load of a query or an entry, in units (see UnitsPerConnection).
	MaxUnits = 127

	maxZone  = 127 // largest zone index that a query can contain
	retryBit = 128 // Query.Retry, in the byte that holds the zone
)

// ErrInvalidMessage reports data that is not a message of the ledger, or not a complete one.
var ErrInvalidMessage = errors.New("ledger: not a complete message of the placement ledger")

// Message is a Query, Reply, Entries, Sync, Announcement, Poll or Follow.
type Message interface {
	// Append appends the message's bytes.
	Append(data []byte) []byte
}

// Query asks the ledger server to assign a host to a request.
type Query struct {
	Seq   uint16 // sequence number, repeated in the Reply
	Zone  int    // index of the querying balancer's zone, 0 to 127
	Retry bool   // the request is a retry and may be part of a wave of clients that come back together
	Units int    // expected load, 1 to MaxUnits
	Group uint32 // ID of the request's group, 24 bits
}

// Reply names the host that is assigned to a query.
type Reply struct {
	Epoch byte   // of the ledger server, as in Announcement
	Seq   uint16 // of the Query
	Host  uint32 // an AssignedHost
}

// AssignedHost names a host by the lower 32 bits of the hash of its ID, or no host by 0. The bits are
// inverted if the ledger server has counted the budgets of hosts in slow start: for a host, because it
// takes the host for one; for no host, because these budgets are spent. A build that does not know the
// inverted form takes it for an unknown host.
type AssignedHost = uint32

// NoHostWithinBudget is the AssignedHost if no host can take the request and the budgets of hosts in
// slow start are spent.
const NoHostWithinBudget = ^AssignedHost(0)

// WithinBudget returns the AssignedHost for a host in slow start whose budget allows the request.
func WithinBudget(host uint32) AssignedHost { return ^host }

// Entry is a change of the load of the connections that its sender holds of a group at a host.
type Entry struct {
	Host, Group uint32 // as in Reply and Query
	Units       int    // change of the load, -MaxUnits to MaxUnits
}

// Entries are changes of the loads that their sender holds. A message has 1 to MaxEntries of them.
type Entries []Entry

// Sync reports the loads of all connections with a group that its sender holds, and replaces
// everything that the sender reported before. Entries that do not fit may follow in separate
// messages. An empty Sync is valid.
type Sync struct{ Entries Entries }

// Announcement reports that its sender is a ledger server. Epoch identifies the sender's process: a
// new epoch means that the sender has restarted and lost its counts.
type Announcement struct{ Epoch byte }

// Poll requests an Announcement.
type Poll struct{}

// Follow reports that its sender queries the receiver and no other ledger server. An earlier build ignores
// it.
type Follow struct{}

// GroupID returns the ID of a group in messages: bits 8 to 31 of the hash of its name.
func GroupID(hash uint64) uint32 { return uint32(hash) &^ 0xff >> 8 }

// Append implements Message.
func (q Query) Append(data []byte) []byte {
	zone := byte(min(maxZone, max(0, q.Zone)))
	if q.Retry {
		zone |= retryBit
	}
	data = binary.BigEndian.AppendUint16(append(data, kindQuery), q.Seq)
	return appendGroup(append(data, zone, byte(min(MaxUnits, max(1, q.Units)))), q.Group)
}

// Append implements Message.
func (r Reply) Append(data []byte) []byte {
	data = binary.BigEndian.AppendUint16(append(data, kindReply, r.Epoch), r.Seq)
	return binary.BigEndian.AppendUint32(data, r.Host)
}

// Append appends the entry's bytes.
func (e Entry) Append(data []byte) []byte {
	data = binary.BigEndian.AppendUint32(append(data, kindEntry), e.Host)
	return append(appendGroup(data, e.Group), byte(int8(min(MaxUnits, max(-MaxUnits, e.Units)))))
}

// Append implements Message.
func (es Entries) Append(data []byte) []byte {
	for _, e := range es {
		data = e.Append(data)
	}
	return data
}

// Append implements Message.
func (s Sync) Append(data []byte) []byte { return s.Entries.Append(append(data, kindSync)) }

// Append implements Message.
func (a Announcement) Append(data []byte) []byte { return append(data, kindAnnouncement, a.Epoch) }

// Append implements Message.
func (Poll) Append(data []byte) []byte { return append(data, kindPoll) }

// Append implements Message.
func (Follow) Append(data []byte) []byte { return append(data, kindFollow) }

// appendGroup appends the 24 bits of a group's ID.
func appendGroup(data []byte, group uint32) []byte {
	return append(data, byte(group>>16), byte(group>>8), byte(group))
}

// decodeGroup returns the ID of a group from its three bytes.
func decodeGroup(b []byte) uint32 { return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]) }

// Decode decodes a message. It returns ErrInvalidMessage if data is not a complete message of the
// ledger.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, ErrInvalidMessage
	}
	switch kind := data[0]; {
	case kind == kindQuery && len(data) == queryBytes:
		return decodeQuery(data)
	case kind == kindReply && len(data) == replyBytes:
		return Reply{Epoch: data[1], Seq: binary.BigEndian.Uint16(data[2:]),
			Host: binary.BigEndian.Uint32(data[4:])}, nil
	case kind == kindAnnouncement && len(data) == announcementBytes:
		return Announcement{Epoch: data[1]}, nil
	case kind == kindPoll && len(data) == pollBytes:
		return Poll{}, nil
	case kind == kindFollow && len(data) == followBytes:
		return Follow{}, nil
	case kind == kindSync:
		entries, err := decodeEntries(data[1:])
		if err != nil {
			return nil, err
		}
		return Sync{Entries: entries}, nil
	case kind == kindEntry:
		entries, err := decodeEntries(data)
		if err != nil {
			return nil, err
		}
		return entries, nil
	}
	return nil, ErrInvalidMessage
}

// decodeQuery decodes a query from queryBytes bytes. It returns ErrInvalidMessage if its units are
// out of range.
func decodeQuery(data []byte) (Message, error) {
	units := int(data[4])
	if units < 1 || units > MaxUnits {
		return nil, ErrInvalidMessage
	}
	return Query{Seq: binary.BigEndian.Uint16(data[1:]), Zone: int(data[3] &^ retryBit),
		Retry: data[3]&retryBit != 0, Units: units, Group: decodeGroup(data[5:])}, nil
}

// decodeEntries decodes entries that follow each other. It returns ErrInvalidMessage if there are
// more than MaxEntries, or if one of them is incomplete or invalid.
func decodeEntries(data []byte) (Entries, error) {
	if len(data)%entryBytes != 0 || len(data) > MaxEntries*entryBytes {
		return nil, ErrInvalidMessage
	}
	var entries Entries
	for ; len(data) > 0; data = data[entryBytes:] {
		units := int(int8(data[8]))
		if data[0] != kindEntry || units < -MaxUnits {
			return nil, ErrInvalidMessage
		}
		host := binary.BigEndian.Uint32(data[1:])
		entries = append(entries, Entry{Host: host, Group: decodeGroup(data[5:]), Units: units})
	}
	return entries, nil
}
