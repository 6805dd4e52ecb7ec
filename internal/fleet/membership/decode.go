package membership

import (
	"encoding/binary"
	"net/netip"
)

// decodeHeader decodes a datagram's header and checks all of its parts, so that no part of a malformed
// datagram takes effect. The header is also valid if the error is ErrOtherFleet.
func decodeHeader(b []byte, fleet uint32) (header, parts, error) {
	if len(b) < 1 || len(b) > MaxDatagramBytes {
		return header{}, nil, ErrMalformed
	}
	if b[0] != formatVersion {
		return header{}, nil, ErrOtherVersion
	}
	if len(b) < headerLength {
		return header{}, nil, ErrMalformed
	}
	h := header{
		fleet:       binary.BigEndian.Uint32(b[1:]),
		sender:      binary.BigEndian.Uint32(b[5:]),
		incarnation: Incarnation(binary.BigEndian.Uint64(b[9:])),
		digest:      binary.BigEndian.Uint32(b[17:]),
	}
	if h.fleet != fleet {
		return h, nil, ErrOtherFleet
	}
	body := parts(b[headerLength:])
	for rest := body; len(rest) > 0; {
		if _, ok := rest.next(); !ok {
			return h, nil, ErrMalformed
		}
	}
	return h, body, nil
}

// parts holds the parts of a datagram that are not yet read. Reading them neither copies nor allocates.
type parts []byte

// part is one part of a datagram, including its kind. The decode functions read the fields of each kind.
type part []byte

func (p part) kind() partKind { return partKind(p[0]) }

// next removes and returns the first part. It returns false, and removes nothing, if that part is malformed
// or of an unknown kind. p must not be empty.
func (p *parts) next() (part, bool) {
	b := []byte(*p)
	n := partLength(b)
	if n == 0 || len(b) < n {
		return nil, false
	}
	first := part(b[:n])
	if first.kind() == partUpdate && State(first[5]) > Gone {
		return nil, false
	}
	*p = b[n:]
	return first, true
}

// partLength returns the length in bytes that the first part of b declares, or 0 if it is malformed or of
// an unknown kind. b must not be empty.
func partLength(b []byte) int {
	switch partKind(b[0]) {
	case partPing, partAck:
		return sequenceLength
	case partPingRequest, partIndirectAck:
		return indirectProbeLength
	case partUpdate:
		return updateLength
	case partViewRequest:
		return viewRequestLength
	case partRejected:
		return rejectedLength
	case partAddress:
		return addressLength
	case partUnheard:
		if len(b) >= unheardHeaderLength {
			return unheardHeaderLength + 4*int(b[1])
		}
	case partName:
		if len(b) >= nameHeaderLength {
			return nameHeaderLength + int(b[1])
		}
	case partPayload:
		if len(b) >= payloadHeaderLength {
			return payloadHeaderLength + int(b[2])
		}
	}
	return 0
}

// indirectProbe is the content of a partPingRequest or partIndirectAck: the sequence number of the
// requester's probe, and the target's ID.
type indirectProbe struct{ sequence, target uint32 }

// memberAddress is the address of a member.
type memberAddress struct {
	member  uint32 // member ID
	address netip.AddrPort
}

// payload is data of another package on one of its channels.
type payload struct {
	channel byte
	data    []byte
}

// decodeSequence returns the sequence number of a ping or an ack.
func decodeSequence(p part) uint32 { return binary.BigEndian.Uint32(p[1:]) }

func decodeIndirectProbe(p part) indirectProbe {
	return indirectProbe{sequence: binary.BigEndian.Uint32(p[1:]), target: binary.BigEndian.Uint32(p[5:])}
}

func decodeUpdate(p part) MemberUpdate {
	return MemberUpdate{
		ID:          binary.BigEndian.Uint32(p[1:]),
		State:       State(p[5]),
		Incarnation: Incarnation(binary.BigEndian.Uint64(p[6:])),
		Age:         binary.BigEndian.Uint16(p[14:]),
	}
}

// decodeUnheard appends the IDs of the members that a part lists as unheard to ids.
func decodeUnheard(p part, ids []uint32) []uint32 {
	for b := p[unheardHeaderLength:]; len(b) >= 4; b = b[4:] {
		ids = append(ids, binary.BigEndian.Uint32(b))
	}
	return ids
}

func decodeName(p part) []byte { return p[nameHeaderLength:] }

func decodeRejection(p part) Rejection { return Rejection(p[1]) }

func decodeAddress(p part) memberAddress {
	ip := netip.AddrFrom4([4]byte(p[5:9]))
	return memberAddress{binary.BigEndian.Uint32(p[1:]), netip.AddrPortFrom(ip, binary.BigEndian.Uint16(p[9:]))}
}

func decodePayload(p part) payload { return payload{p[1], p[payloadHeaderLength:]} }
