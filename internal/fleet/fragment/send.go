package fragment

import "slices"

// outgoing is a long message, which does not fit one datagram, that is not fully acknowledged yet.
type outgoing struct {
	sequence uint32 // number among the long messages of this process
	data     []byte
	acked    []bool // by index of the piece
	unacked  int    // number of pieces that are not acknowledged
	next     int    // number of pieces sent or skipped so far; the next piece has index next % len(acked)
	sentAt   Time   // time of the last burst
	giveUpAt Time   // when the message is abandoned
}

// Send sends a message to a peer. A message that fits one datagram is sent once and is not
// acknowledged. A longer one is retransmitted until it is acknowledged or GiveUpAfter has passed; it
// displaces the oldest of maxOutgoing unacknowledged messages to the peer. Send returns
// ErrMessageTooLong if data is longer than MaxMessageBytes.
func (t *Transport) Send(now Time, to uint32, data []byte) error {
	if len(data) <= t.pieceBytes+pieceHeader-singleHeader { // fits one datagram, whose header is shorter than that of a piece
		t.buffer = append(t.buffer[:0], DatagramPrefix, kindSingle)
		t.effects.SendDatagram(to, append(t.buffer, data...))
		return nil
	}
	if len(data) > MaxMessageBytes {
		return ErrMessageTooLong
	}
	p := t.peer(to)
	if len(p.outgoing) >= maxOutgoing { // drop the oldest, which is the most likely to be out of date
		p.outgoing = p.outgoing[1:]
		t.AbandonedMessages++
	}
	t.lastSequence++
	pieces := (len(data) + t.pieceBytes - 1) / t.pieceBytes
	o := &outgoing{
		sequence: t.lastSequence,
		data:     slices.Clone(data),
		acked:    make([]bool, pieces),
		unacked:  pieces,
		giveUpAt: now + GiveUpAfter,
	}
	p.outgoing = append(p.outgoing, o)
	t.sendBurst(now, to, o)
	return nil
}

// sendBurst sends the next unacknowledged pieces of a message, at most piecesPerBurst. After the
// last piece it continues with the first one.
func (t *Transport) sendBurst(now Time, to uint32, o *outgoing) {
	o.sentAt = now
	count := len(o.acked)
	for sent, visited := 0, 0; sent < piecesPerBurst && visited < count; visited++ {
		i := o.next % count
		o.next++
		if o.acked[i] {
			continue
		}
		sent++
		body := o.data[i*t.pieceBytes : min(len(o.data), (i+1)*t.pieceBytes)]
		part := piece{messageID{t.incarnation, o.sequence}, i, count, body}
		t.buffer = part.append(t.buffer[:0])
		t.effects.SendDatagram(to, t.buffer)
	}
}

// handleAck records the acknowledged pieces of a message, and continues or ends its transmission.
func (t *Transport) handleAck(now Time, from uint32, a ack) {
	if a.message.incarnation != t.incarnation {
		return // acknowledges a message of an earlier process at this address
	}
	p := t.peer(from)
	i := slices.IndexFunc(p.outgoing, func(o *outgoing) bool { return o.sequence == a.message.sequence })
	if i < 0 {
		return
	}
	o := p.outgoing[i]
	o.acknowledge(a.bitmap)
	if len(a.bitmap) == 0 || o.unacked == 0 { // an empty bitmap acknowledges all pieces
		p.outgoing = append(p.outgoing[:i:i], p.outgoing[i+1:]...)
	} else if o.next < 2*len(o.acked) {
		t.sendBurst(now, from, o) // each ack triggers a burst until every piece was visited twice; after that only Tick sends
	}
}

// acknowledge marks the pieces whose bits are set in received as acknowledged.
func (o *outgoing) acknowledge(received bitmap) {
	for i := range o.acked {
		if !o.acked[i] && received.isSet(i) {
			o.acked[i] = true
			o.unacked--
		}
	}
}
