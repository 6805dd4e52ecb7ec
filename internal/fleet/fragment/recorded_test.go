package fragment

import (
	"bytes"
	"fmt"
	"testing"

	"croftlock/internal/testbed/golden"
)

// recordingEnd implements Effects and records the datagrams and messages of one Transport.
type recordingEnd struct {
	samples  *golden.Samples
	queue    [][]byte
	received [][]byte
}

func (e *recordingEnd) SendDatagram(_ uint32, data []byte) {
	e.samples.Add(fmt.Sprintf("kind-%d", data[1]), data)
	e.queue = append(e.queue, bytes.Clone(data))
}

func (e *recordingEnd) DeliverMessage(_ uint32, data []byte) {
	e.received = append(e.received, bytes.Clone(data))
}

// TestRecordedDatagrams checks that short and long messages are sent in the same datagrams as when
// the golden file was recorded.
func TestRecordedDatagrams(t *testing.T) {
	samples := golden.NewSamples(4)
	near, far := &recordingEnd{samples: samples}, &recordingEnd{samples: samples}
	sender, receiver := New(240, 5, near), New(240, 6, far)
	long := bytes.Repeat([]byte("0123456789"), 90)
	for _, message := range [][]byte{[]byte("short"), long} {
		if err := sender.Send(1e9, 2, message); err != nil {
			t.Fatal(err)
		}
	}
	for _, datagram := range near.queue {
		if err := receiver.Receive(1e9, 1, datagram); err != nil {
			t.Fatal(err)
		}
	}
	for _, datagram := range far.queue {
		if err := sender.Receive(1e9, 2, datagram); err != nil {
			t.Fatal(err)
		}
	}
	if len(far.received) != 2 || string(far.received[0]) != "short" || !bytes.Equal(far.received[1], long) {
		t.Errorf("%d messages delivered, want the 2 that were sent, unchanged", len(far.received))
	}
	golden.Check(t, "datagrams.golden", samples.Bytes())
}
