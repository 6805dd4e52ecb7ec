package fragment

import "slices"

// incoming is a long message of which some pieces have arrived.
type incoming struct {
	message        messageID
	data           []byte
	received       []bool // by piece
	missing        int
	pieceBytes     int // of each piece but the last
	piecesSinceAck int // pieces that arrived since the last ack, repeated ones included
}

func newIncoming(p piece) *incoming {
	return &incoming{
		message:    p.message,
		data:       make([]byte, p.count*len(p.body)),
		received:   make([]bool, p.count),
		missing:    p.count,
		pieceBytes: len(p.body),
	}
}

// add stores a piece; false: it does not fit the earlier ones.
func (m *incoming) add(p piece) bool {
	if len(m.received) != p.count || !p.isLast() && len(p.body) != m.pieceBytes || len(p.body) > m.pieceBytes {
		return false
	}
	if !m.received[p.index] {
		m.received[p.index] = true
		m.missing--
		copy(m.data[p.index*m.pieceBytes:], p.body)
		if p.isLast() {
			m.data = m.data[:p.index*m.pieceBytes+len(p.body)]
		}
	}
	m.piecesSinceAck++
	return true
}

// handlePiece adds a piece to its message and delivers that once it is complete; false: the piece is malformed.
func (t *Transport) handlePiece(from uint32, part piece) bool {
	p := t.peer(from)
	if slices.Contains(p.completed, part.message) {
		t.sendAck(from, part.message, nil)
		return true
	}
	m := p.findIncoming(part.message)
	if m == nil {
		if part.isLast() {
			return true // the length of the others is not known yet; this piece will be retransmitted
		}
		if part.count*len(part.body) > MaxMessageBytes+len(part.body) {
			return false
		}
		m = newIncoming(part)
		p.addIncoming(m)
	}
	if !m.add(part) {
		return false
	}
	if m.missing > 0 {
		if m.piecesSinceAck >= piecesPerBurst/2 || part.isLast() {
			m.piecesSinceAck = 0
			t.sendAck(from, m.message, m.received)
		}
		return true
	}
	p.markComplete(m)
	t.sendAck(from, m.message, nil)
	t.effects.DeliverMessage(from, m.data)
	return true
}

// findIncoming is an incomplete message; nil: no piece of it has arrived.
func (p *peerState) findIncoming(id messageID) *incoming {
	for _, m := range p.incoming {
		if m.message == id {
			return m
		}
	}
	return nil
}

// addIncoming adds an incomplete message, in place of the oldest one if there are too many.
func (p *peerState) addIncoming(m *incoming) {
	if len(p.incoming) >= maxIncoming {
		p.incoming = p.incoming[1:]
	}
	p.incoming = append(p.incoming, m)
}

// markComplete remembers a markComplete message by its id, so that retransmitted pieces are acknowledged and the message is not delivered twice.
func (p *peerState) markComplete(m *incoming) {
	if i := slices.Index(p.incoming, m); i >= 0 {
		p.incoming = append(p.incoming[:i:i], p.incoming[i+1:]...)
	}
	if p.completed = append(p.completed, m.message); len(p.completed) > maxCompleted {
		p.completed = p.completed[1:]
	}
}

// sendAck notifies a sender which pieces have arrived; nil: all. Pieces whose bits do not fit the datagram are retransmitted needlessly.
func (t *Transport) sendAck(to uint32, id messageID, received []bool) {
	bits := newBitmap(received)
	t.buffer = ack{id, bits[:min(len(bits), t.pieceBytes)]}.append(t.buffer[:0])
	t.effects.SendDatagram(to, t.buffer)
}
