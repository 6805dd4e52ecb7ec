package fragment

import "slices"

// incoming is a message of several pieces, of which some have arrived.
type incoming struct {
	message        messageID
	data           []byte // pieces at their offsets; those that are missing are zero
	received       []bool // by index of the piece
	missing        int    // number of pieces that have not arrived
	pieceBytes     int    // length of each piece but the last
	piecesSinceAck int    // number of pieces that arrived since the last ack, including repeated ones
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

// add stores a piece. It returns false if the piece's count of pieces or its length does not match
// that of the first piece that arrived.
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

// handlePiece adds a piece to its message, and delivers the message once it is complete. It
// acknowledges after every piecesPerBurst/2 pieces, the last piece and the complete message. It
// returns false if the piece is malformed.
func (t *Transport) handlePiece(from uint32, part piece) bool {
	p := t.peer(from)
	if slices.Contains(p.completed, part.message) {
		t.sendAck(from, part.message, nil)
		return true
	}
	m := p.findIncoming(part.message)
	if m == nil {
		if part.isLast() {
			return true // the length of the other pieces is unknown; the sender will retransmit this one
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

// findIncoming returns the incomplete message with an ID, or nil if there is none.
func (p *peerState) findIncoming(id messageID) *incoming {
	for _, m := range p.incoming {
		if m.message == id {
			return m
		}
	}
	return nil
}

// addIncoming adds an incomplete message. It drops the oldest one if there are maxIncoming already.
func (p *peerState) addIncoming(m *incoming) {
	if len(p.incoming) >= maxIncoming {
		p.incoming = p.incoming[1:]
	}
	p.incoming = append(p.incoming, m)
}

// markComplete removes a message from the incomplete ones and remembers its ID, so that
// retransmitted pieces are acknowledged and the message is not delivered twice. Only the last
// maxCompleted IDs are remembered.
func (p *peerState) markComplete(m *incoming) {
	if i := slices.Index(p.incoming, m); i >= 0 {
		p.incoming = append(p.incoming[:i:i], p.incoming[i+1:]...)
	}
	if p.completed = append(p.completed, m.message); len(p.completed) > maxCompleted {
		p.completed = p.completed[1:]
	}
}

// sendAck acknowledges the pieces of a message that have arrived; a nil received acknowledges all.
// If the bits do not all fit one datagram, the pieces of the missing bits count as not acknowledged
// and are retransmitted.
func (t *Transport) sendAck(to uint32, id messageID, received []bool) {
	bits := newBitmap(received)
	t.buffer = ack{id, bits[:min(len(bits), t.pieceBytes)]}.append(t.buffer[:0])
	t.effects.SendDatagram(to, t.buffer)
}
