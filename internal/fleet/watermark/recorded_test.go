package watermark

import (
	"reflect"
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages: each datagram has the bytes that it had, and reads back as what was written.
func TestRecordedMessages(t *testing.T) {
	marks := []Watermark{{Host: "a", StartedAt: 100, Revision: 5, State: Draining, ValidFor: Lifetime}, {Host: "host-b", StartedAt: 1 << 40, Revision: 1 << 33, State: Gone, ValidFor: 3 * validityUnit}}
	samples := golden.NewSamples(4)
	samples.Add("ask", query{-1}.encode(0xdeadbeef))
	samples.Add("ask", query{1 << 40}.encode(7))
	for _, data := range (gossip{marks}).encode(0xdeadbeef, 200) {
		samples.Add("tell", data)
		m, err := decode(data)
		if err != nil || m.source != 0xdeadbeef || !reflect.DeepEqual(m.body, gossip{marks}) {
			t.Errorf("read %v, %v", m, err)
		}
	}
	asked := query{1 << 40}
	if m, err := decode(asked.encode(7)); err != nil || m.source != 7 || m.body != asked {
		t.Errorf("read %v, %v", m, err)
	}
	golden.Check(t, "messages.golden", samples.Bytes())
}
