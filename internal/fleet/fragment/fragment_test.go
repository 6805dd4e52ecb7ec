package fragment

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// lossyLink connects two transports with a link that loses, duplicates and reorders datagrams.
type lossyLink struct {
	rng             *rand.Rand
	loss            float64 // probability that a datagram is lost
	ends            [2]*Transport
	queue           []queuedDatagram
	received        [2][][]byte // messages delivered at each end
	longestDatagram int         // length of the longest datagram sent, in bytes
}

// queuedDatagram is a datagram in flight.
type queuedDatagram struct {
	end  int // index of the receiver in lossyLink.ends
	data []byte
}

// testEnd implements Effects for one end of a lossyLink.
type testEnd struct {
	link  *lossyLink
	index int
}

func (e testEnd) SendDatagram(_ uint32, data []byte) {
	l := e.link
	l.longestDatagram = max(l.longestDatagram, len(data))
	for range 1 + l.rng.IntN(2) { // duplicates about half of the datagrams
		if l.rng.Float64() >= l.loss {
			l.queue = append(l.queue, queuedDatagram{1 - e.index, append([]byte(nil), data...)})
		}
	}
}

func (e testEnd) DeliverMessage(_ uint32, data []byte) {
	e.link.received[e.index] = append(e.link.received[e.index], append([]byte(nil), data...))
}

// newLossyLink returns a link between two transports that send datagrams of at most 240 bytes. loss
// is the probability that a datagram is lost. The seed determines which are lost.
func newLossyLink(seed uint64, loss float64) *lossyLink {
	l := &lossyLink{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	for i := range l.ends {
		l.ends[i] = New(240, uint32(seed)+uint32(i), testEnd{l, i})
	}
	return l
}

// run delivers the datagrams in random order and ticks both transports, in steps of 10 ms of virtual
// time.
func (l *lossyLink) run(from, to Time) {
	for now := from; now < to; now += 1e7 {
		due := l.queue
		l.queue = nil
		l.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, d := range due {
			l.ends[d.end].Receive(now, uint32(1-d.end), d.data)
		}
		l.ends[0].Tick(now)
		l.ends[1].Tick(now)
	}
}

// TestLongMessagesArriveOnce checks that under loss, duplication and reordering each long message
// is delivered complete and once.
func TestLongMessagesArriveOnce(t *testing.T) {
	for seed := range uint64(40) {
		for _, size := range []int{1, 238, 239, 1000, 5000, MaxMessageBytes} {
			l := newLossyLink(seed, 0.2)
			data := make([]byte, size)
			for i := range data {
				data[i] = byte(l.rng.Uint32())
			}
			if err := l.ends[0].Send(0, 1, data); err != nil {
				t.Fatal(err)
			}
			l.run(0, GiveUpAfter)
			if size > 238 && len(l.received[1]) != 1 {
				t.Fatalf("seed %d, message of %d bytes: delivered %d times, want once", seed, size, len(l.received[1]))
			}
			for _, message := range l.received[1] {
				if !bytes.Equal(message, data) {
					t.Fatalf("seed %d, message of %d bytes: the %d bytes delivered differ from those sent", seed, size, len(message))
				}
			}
			if l.longestDatagram > 240 {
				t.Fatalf("seed %d, message of %d bytes: sent a datagram of %d bytes, want at most 240", seed, size, l.longestDatagram)
			}
			if size == MaxMessageBytes && seed > 2 {
				break
			}
		}
	}
}

// TestBounds checks that messages to a peer that acknowledges nothing, and messages that stay
// incomplete, use bounded memory.
func TestBounds(t *testing.T) {
	l := newLossyLink(1, 1)
	for range 100 {
		l.ends[0].Send(0, 1, make([]byte, 10000))
	}
	if n := len(l.ends[0].peers[1].outgoing); n != maxOutgoing {
		t.Errorf("%d outgoing messages after 100 calls of Send, want %d", n, maxOutgoing)
	}
	if l.ends[0].Send(0, 1, make([]byte, MaxMessageBytes+1)) != ErrMessageTooLong {
		t.Errorf("Send of %d bytes did not return %v", MaxMessageBytes+1, ErrMessageTooLong)
	}
	l.ends[0].Tick(GiveUpAfter)
	if n := len(l.ends[0].peers[1].outgoing); n != 0 || l.ends[0].AbandonedMessages != 100 {
		t.Errorf("after GiveUpAfter: %d outgoing messages, %d abandoned, want 0 and 100", n, l.ends[0].AbandonedMessages)
	}
	for i := range 100 {
		d := []byte{DatagramPrefix, kindPiece, 0, 0, 0, byte(i), 0, 0, 0, 1, 0, 0, 3, 0xff}
		l.ends[1].Receive(0, 7, append(d, make([]byte, 150)...))
	}
	if n := len(l.ends[1].peers[7].incoming); n > maxIncoming {
		t.Errorf("%d incomplete messages, want at most %d", n, maxIncoming)
	}
}

// TestRestartedSender checks that a message of a new incarnation is not mistaken for one of the
// earlier incarnation with the same sequence number.
func TestRestartedSender(t *testing.T) {
	l := newLossyLink(1, 0)
	l.ends[0].Send(0, 1, bytes.Repeat([]byte("a"), 1000))
	l.run(0, 1e9)
	l.ends[0] = New(240, 99, testEnd{l, 0})
	l.ends[0].Send(1e9, 1, bytes.Repeat([]byte("b"), 1000))
	l.run(1e9, 2e9)
	if len(l.received[1]) != 2 || l.received[1][1][0] != 'b' {
		t.Fatalf("%d messages delivered, want 2, the second one from the second incarnation", len(l.received[1]))
	}
}

// FuzzReceive checks that no datagram makes a Transport panic or exceed its bounds.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{DatagramPrefix, kindSingle, 1})
	f.Add([]byte{DatagramPrefix, kindPiece, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 2, 9})
	f.Add([]byte{DatagramPrefix, kindPiece, 0, 0, 0, 1, 0, 0, 0, 1, 0, 1, 0, 2, 9})
	f.Add([]byte{DatagramPrefix, kindAck, 0, 0, 0, 1, 0, 0, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newLossyLink(1, 0)
		l.ends[0].Send(0, 1, make([]byte, 2000))
		b := l.ends[0]
		for cut := range 2 {
			b.Receive(0, 1, data[:len(data)/(cut+1)])
			b.Receive(0, 1, append(append([]byte(nil), data...), data...))
		}
		for _, p := range b.peers {
			for _, m := range p.incoming {
				if len(m.data) > 2*MaxMessageBytes {
					t.Fatalf("an incomplete message uses %d bytes, want at most %d", len(m.data), 2*MaxMessageBytes)
				}
			}
		}
	})
}
