package fragment

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// lossyLink is two ends with a bad link between them.
type lossyLink struct {
	rng      *rand.Rand
	loss     float64
	ends     [2]*Transport
	queue    []queuedDatagram
	received [2][][]byte
	longestDatagram  int
}

type queuedDatagram struct {
	end  int
	data []byte
}

type testEnd struct {
	wire  *lossyLink
	index int
}

func (e testEnd) Datagram(_ uint32, data []byte) {
	w := e.wire
	w.longestDatagram = max(w.longestDatagram, len(data))
	for range 1 + w.rng.IntN(2) { // some are duplicated
		if w.rng.Float64() >= w.loss {
			w.queue = append(w.queue, queuedDatagram{1 - e.index, append([]byte(nil), data...)})
		}
	}
}

func (e testEnd) Message(_ uint32, data []byte) {
	e.wire.received[e.index] = append(e.wire.received[e.index], append([]byte(nil), data...))
}

func newLossyLink(seed uint64, loss float64) *lossyLink {
	w := &lossyLink{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	for i := range w.ends {
		w.ends[i] = New(240, uint32(seed)+uint32(i), testEnd{w, i})
	}
	return w
}

func (w *lossyLink) run(from, to Time) {
	for now := from; now < to; now += 1e7 {
		q := w.queue
		w.queue = nil
		w.rng.Shuffle(len(q), func(i, j int) { q[i], q[j] = q[j], q[i] })
		for _, s := range q {
			w.ends[s.end].Receive(now, uint32(1-s.end), s.data)
		}
		w.ends[0].Tick(now)
		w.ends[1].Tick(now)
	}
}

// TestLongMessagesArriveOnce: through loss, duplication and reordering, each arrives complete and once.
func TestLongMessagesArriveOnce(t *testing.T) {
	for seed := range uint64(40) {
		for _, size := range []int{1, 238, 239, 1000, 5000, MaxMessage} {
			w := newLossyLink(seed, 0.2)
			data := make([]byte, size)
			for i := range data {
				data[i] = byte(w.rng.Uint32())
			}
			if err := w.ends[0].Send(0, 1, data); err != nil {
				t.Fatal(err)
			}
			w.run(0, GiveUpAfter)
			if size > 238 && len(w.received[1]) != 1 {
				t.Fatalf("seed %d, %d bytes: arrived %d times", seed, size, len(w.received[1]))
			}
			for _, g := range w.received[1] {
				if !bytes.Equal(g, data) {
					t.Fatalf("seed %d, %d bytes: arrived incomplete", seed, size)
				}
			}
			if w.longestDatagram > 240 {
				t.Fatalf("a datagram of %d bytes", w.longestDatagram)
			}
			if size == MaxMessage && seed > 2 {
				break
			}
		}
	}
}

// TestBounds: messages for a peer that acknowledges nothing, and messages that stay incomplete, take bounded memory.
func TestBounds(t *testing.T) {
	w := newLossyLink(1, 1)
	for range 100 {
		w.ends[0].Send(0, 1, make([]byte, 10000))
	}
	if n := len(w.ends[0].peers[1].outgoing); n != maxOutgoing {
		t.Errorf("%d messages wait, want %d", n, maxOutgoing)
	}
	if w.ends[0].Send(0, 1, make([]byte, MaxMessage+1)) != ErrMessageTooLong {
		t.Error("a message over the bound is accepted")
	}
	w.ends[0].Tick(GiveUpAfter)
	if n := len(w.ends[0].peers[1].outgoing); n != 0 || w.ends[0].GivenUp != 100 {
		t.Errorf("after GiveUpAfter %d wait, %d given up", n, w.ends[0].GivenUp)
	}
	for i := range 100 {
		d := []byte{DatagramPrefix, kindPiece, 0, 0, 0, byte(i), 0, 0, 0, 1, 0, 0, 3, 0xff}
		w.ends[1].Receive(0, 7, append(d, make([]byte, 150)...))
	}
	if n := len(w.ends[1].peers[7].incoming); n > maxIncoming {
		t.Errorf("%d incomplete messages", n)
	}
}

// TestRestartedSender: a new process's first message is not taken for the earlier one's.
func TestRestartedSender(t *testing.T) {
	w := newLossyLink(1, 0)
	w.ends[0].Send(0, 1, bytes.Repeat([]byte("a"), 1000))
	w.run(0, 1e9)
	w.ends[0] = New(240, 99, testEnd{w, 0})
	w.ends[0].Send(1e9, 1, bytes.Repeat([]byte("b"), 1000))
	w.run(1e9, 2e9)
	if len(w.received[1]) != 2 || w.received[1][1][0] != 'b' {
		t.Fatalf("%d messages arrived", len(w.received[1]))
	}
}

// FuzzReceive: no datagram makes a Transport panic or exceed its bounds.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{DatagramPrefix, kindSingle, 1})
	f.Add([]byte{DatagramPrefix, kindPiece, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 2, 9})
	f.Add([]byte{DatagramPrefix, kindPiece, 0, 0, 0, 1, 0, 0, 0, 1, 0, 1, 0, 2, 9})
	f.Add([]byte{DatagramPrefix, kindAck, 0, 0, 0, 1, 0, 0, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		w := newLossyLink(1, 0)
		w.ends[0].Send(0, 1, make([]byte, 2000))
		b := w.ends[0]
		for cut := range 2 {
			b.Receive(0, 1, data[:len(data)/(cut+1)])
			b.Receive(0, 1, append(append([]byte(nil), data...), data...))
		}
		for _, p := range b.peers {
			for _, m := range p.incoming {
				if len(m.data) > 2*MaxMessage {
					t.Fatalf("%d bytes kept", len(m.data))
				}
			}
		}
	})
}
