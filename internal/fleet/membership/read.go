package membership

import (
	"encoding/binary"
	"net/netip"
)

// reader takes a datagram apart without keeping any of it or allocating.
type reader struct {
	fleet, from uint32
	life        Incarnation
	digest      uint32
	rest        []byte
}

// read checks a datagram's head, and all of its parts, so that nothing of a malformed one is acted on.
func read(b []byte, fleet uint32) (reader, error) {
	if len(b) < 1 || len(b) > MaxDatagram {
		return reader{}, ErrMalformed
	}
	if b[0] != version {
		return reader{}, ErrVersion
	}
	if len(b) < headLen {
		return reader{}, ErrMalformed
	}
	r := reader{binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:]), Incarnation(binary.BigEndian.Uint64(b[9:])),
		binary.BigEndian.Uint32(b[17:]), b[headLen:]}
	if r.fleet != fleet {
		return r, ErrFleet
	}
	for s := r; len(s.rest) > 0; {
		if _, ok := s.next(); !ok {
			return r, ErrMalformed
		}
	}
	return r, nil
}

// part is one part of a datagram; which of its fields count is the kind's matter.
type part struct {
	kind    byte
	seq, id uint32
	news    MemberNews
	row     []byte
	name    []byte
	why     byte // or whose data is
	data    []byte
	addr    netip.AddrPort
}

func (r *reader) next() (p part, ok bool) {
	b := r.rest
	p.kind = b[0]
	n := 0
	switch p.kind {
	case partPing, partAck:
		n = 5
	case partPingFor, partAckFor:
		n = 9
	case partNews:
		n = 1 + newsLen
	case partWant:
		n = 1
	case partRefused:
		n = 2
	case partWhere:
		n = whereLen
	case partRow:
		if len(b) < 2 {
			return p, false
		}
		n = 2 + 4*int(b[1])
	case partName:
		if len(b) < 2 {
			return p, false
		}
		n = 2 + int(b[1])
	case partOther:
		if len(b) < otherHead {
			return p, false
		}
		n = otherHead + int(b[2])
	default:
		return p, false
	}
	if len(b) < n {
		return p, false
	}
	switch p.kind {
	case partPing, partAck, partPingFor, partAckFor:
		p.seq = binary.BigEndian.Uint32(b[1:])
		if n == 9 {
			p.id = binary.BigEndian.Uint32(b[5:])
		}
	case partNews:
		p.news = MemberNews{binary.BigEndian.Uint32(b[1:]), State(b[5]), Incarnation(binary.BigEndian.Uint64(b[6:])), binary.BigEndian.Uint16(b[14:])}
		if p.news.State > Gone {
			return p, false
		}
	case partRow:
		p.row = b[2:n]
	case partName:
		p.name = b[2:n]
	case partRefused:
		p.why = b[1]
	case partOther:
		p.why, p.data = b[1], b[otherHead:n]
	case partWhere:
		p.id = binary.BigEndian.Uint32(b[1:])
		p.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[5:9])), binary.BigEndian.Uint16(b[9:]))
	}
	r.rest = b[n:]
	return p, true
}
