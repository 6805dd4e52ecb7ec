package fragment

import (
	"encoding/binary"
)

// Receive takes a datagram from a peer.
func (b *Transport) Receive(now Time, from uint32, data []byte) error {
	if len(data) < wholeHead || data[0] != DatagramPrefix {
		b.Malformed++
		return ErrMalformed
	}
	ok := false
	switch data[1] {
	case kindWhole:
		ok = true
		b.fx.Message(from, data[wholeHead:])
	case kindPiece:
		ok = b.takePiece(from, data)
	case kindAck:
		ok = b.takeTaken(now, from, data)
	}
	if !ok {
		b.Malformed++
		return ErrMalformed
	}
	return nil
}

func (b *Transport) takePiece(from uint32, data []byte) bool {
	if len(data) <= pieceHead {
		return false
	}
	life, seq := binary.BigEndian.Uint32(data[2:]), binary.BigEndian.Uint32(data[6:])
	i, n := int(binary.BigEndian.Uint16(data[10:])), int(binary.BigEndian.Uint16(data[12:]))
	body := data[pieceHead:]
	if i >= n || n < 2 || n*len(body) > 2*MaxMessage {
		return false
	}
	p := b.peer(from)
	key := uint64(life)<<32 | uint64(seq)
	for _, k := range p.whole {
		if k == key {
			b.tell(from, life, seq, nil)
			return true
		}
	}
	var m *incoming
	for _, o := range p.incoming {
		if o.life == life && o.seq == seq {
			m = o
		}
	}
	if m == nil {
		if i == n-1 {
			return true // shorter than the others: it can't be placed yet, and comes again
		}
		if n*len(body) > MaxMessage+len(body) {
			return false
		}
		m = &incoming{life: life, seq: seq, data: make([]byte, 0, n*len(body)), have: make([]bool, n), left: n, size: len(body)}
		m.data = m.data[:n*len(body)]
		if len(p.incoming) >= maxIncoming {
			p.incoming = p.incoming[1:]
		}
		p.incoming = append(p.incoming, m)
	}
	if len(m.have) != n || i < n-1 && len(body) != m.size || len(body) > m.size {
		return false
	}
	if !m.have[i] {
		m.have[i] = true
		m.left--
		copy(m.data[i*m.size:], body)
		if i == n-1 {
			m.data = m.data[:i*m.size+len(body)]
		}
	}
	m.fresh++
	if m.left > 0 {
		if m.fresh >= burst/2 || i == n-1 {
			m.fresh = 0
			b.tell(from, life, seq, m.have)
		}
		return true
	}
	for j, o := range p.incoming {
		if o == m {
			p.incoming = append(p.incoming[:j:j], p.incoming[j+1:]...)
			break
		}
	}
	if p.whole = append(p.whole, key); len(p.whole) > kept {
		p.whole = p.whole[1:]
	}
	b.tell(from, life, seq, nil)
	b.fx.Message(from, m.data)
	return true
}

// tell tells a sender which pieces have come; nil: all.
func (b *Transport) tell(to uint32, life, seq uint32, have []bool) {
	d := append(b.buf[:0], DatagramPrefix, kindAck)
	d = binary.BigEndian.AppendUint32(d, life)
	d = binary.BigEndian.AppendUint32(d, seq)
	bits := make([]byte, (len(have)+7)/8)
	for i, h := range have {
		if h {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	// What does not fit is sent once more than it had to be.
	b.buf = append(d, bits[:min(len(bits), b.piece)]...)
	b.fx.Datagram(to, b.buf)
}

func (b *Transport) takeTaken(now Time, from uint32, data []byte) bool {
	if len(data) < 10 {
		return false
	}
	if binary.BigEndian.Uint32(data[2:]) != b.life {
		return true // of an earlier life of this process
	}
	seq, bits := binary.BigEndian.Uint32(data[6:]), data[10:]
	p := b.peer(from)
	for j, o := range p.outgoing {
		if o.seq != seq {
			continue
		}
		for i := range o.taken {
			if !o.taken[i] && i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
				o.taken[i] = true
				o.left--
			}
		}
		if len(bits) == 0 || o.left == 0 {
			p.outgoing = append(p.outgoing[:j:j], p.outgoing[j+1:]...)
		} else if o.at < 2*len(o.taken) {
			b.sendSome(now, from, o) // the first round goes as fast as it is taken
		}
		break
	}
	return true
}
