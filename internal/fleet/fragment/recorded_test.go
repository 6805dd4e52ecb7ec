package fragment

import (
	"bytes"
	"fmt"
	"testing"

	"croftlock/internal/testbed/golden"
)

// recordingEnd notes the datagrams of one end and carries them to the other.
type recordingEnd struct {
	samples *golden.Samples
	queue   [][]byte
	got     [][]byte
}

func (e *recordingEnd) Datagram(_ uint32, data []byte) {
	e.samples.Add(fmt.Sprintf("kind-%d", data[1]), data)
	e.queue = append(e.queue, bytes.Clone(data))
}

func (e *recordingEnd) Message(_ uint32, data []byte) { e.got = append(e.got, bytes.Clone(data)) }

// TestRecordedDatagrams: short and long messages are cut into the datagrams that they were cut into.
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
	if len(far.got) != 2 || string(far.got[0]) != "short" || !bytes.Equal(far.got[1], long) {
		t.Errorf("%d messages arrived", len(far.got))
	}
	golden.Check(t, "datagrams.golden", samples.Bytes())
}
