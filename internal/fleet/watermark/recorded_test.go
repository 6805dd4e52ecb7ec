package watermark

import (
	"reflect"
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages: each datagram has the bytes that it had, and reads back as what was written.
func TestRecordedMessages(t *testing.T) {
	watermarks := []Watermark{{Host: "a", StartedAt: 100, Revision: 5, State: Draining, ValidFor: Lifetime}, {Host: "host-b", StartedAt: 1 << 40, Revision: 1 << 33, State: Gone, ValidFor: 3 * validityUnit}}
	samples := golden.NewSamples(4)
	samples.Add("ask", query{-1}.encode(0xdeadbeef))
	samples.Add("ask", query{1 << 40}.encode(7))
	for _, data := range (gossip{watermarks}).encode(0xdeadbeef, 200) {
		samples.Add("tell", data)
		m, err := decode(data)
		if err != nil || m.source != 0xdeadbeef || !reflect.DeepEqual(m.body, gossip{watermarks}) {
			t.Errorf("read %v, %v", m, err)
		}
	}
	sent := query{1 << 40}
	if m, err := decode(sent.encode(7)); err != nil || m.source != 7 || m.body != sent {
		t.Errorf("read %v, %v", m, err)
	}
	golden.Check(t, "messages.golden", samples.Bytes())
}
