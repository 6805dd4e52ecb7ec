package watermark

import (
	"reflect"
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages checks that datagrams have the recorded bytes and decode to the encoded
// values.
func TestRecordedMessages(t *testing.T) {
	watermarks := []Watermark{{Host: "a", StartedAt: 100, Revision: 5, State: Draining, ValidFor: Lifetime}, {Host: "host-b", StartedAt: 1 << 40, Revision: 1 << 33, State: Gone, ValidFor: 3 * validityUnit}}
	samples := golden.NewSamples(4)
	samples.Add("ask", query{-1}.encode(0xdeadbeef))
	samples.Add("ask", query{1 << 40}.encode(7))
	for _, data := range (gossip{watermarks}).encode(0xdeadbeef, 200) {
		samples.Add("tell", data)
		m, err := decode(data)
		if err != nil || m.source != 0xdeadbeef || !reflect.DeepEqual(m.body, gossip{watermarks}) {
			t.Errorf("decode of gossip = %v, error %v; want %v and source 0xdeadbeef", m, err, watermarks)
		}
	}
	sent := query{1 << 40}
	if m, err := decode(sent.encode(7)); err != nil || m.source != 7 || m.body != sent {
		t.Errorf("decode of a query = %v, error %v; want %v and source 7", m, err, sent)
	}
	golden.Check(t, "messages.golden", samples.Bytes())
}
