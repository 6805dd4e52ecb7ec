package watermark

import (
	"reflect"
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages: each datagram has the bytes that it had, and reads back as what was written.
func TestRecordedMessages(t *testing.T) {
	marks := []Watermark{{Host: "a", StartedAt: 100, Revision: 5, State: Draining, ValidFor: Lifetime}, {Host: "host-b", StartedAt: 1 << 40, Revision: 1 << 33, State: Gone, ValidFor: 3 * unit}}
	samples := golden.NewSamples(4)
	samples.Add("ask", ask(0xdeadbeef, -1))
	samples.Add("ask", ask(7, 1<<40))
	for _, data := range tells(0xdeadbeef, marks, 200) {
		samples.Add("tell", data)
		m, err := read(data)
		if err != nil || m.source != 0xdeadbeef || !reflect.DeepEqual(m.floors, marks) {
			t.Errorf("read %v, %v", m, err)
		}
	}
	if m, err := read(ask(7, 1<<40)); err != nil || m.source != 7 || m.rev != 1<<40 {
		t.Errorf("read %v, %v", m, err)
	}
	golden.Check(t, "messages.golden", samples.Bytes())
}
