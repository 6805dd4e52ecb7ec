package stallgossip

import (
	"testing"

	"croftlock/internal/balancer/rendezvous"
	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages: a message has the bytes that were recorded.
func TestRecordedMessages(t *testing.T) {
	samples := golden.NewSamples(4)
	samples.Add("slow", Append(nil, Record{Host: 0xdeadbeef, Delay: 3.25}))
	first := Append(nil, Record{Host: 1})
	samples.Add("slow", Append(first, Record{Host: uint32(rendezvous.Hash("s01")), Delay: 1000}))
	golden.Check(t, "messages.golden", samples.Bytes())
}

func TestFullMessage(t *testing.T) {
	var message []byte
	for i := range 100 {
		message = Append(message, Record{Host: uint32(i), Delay: float64(i)})
	}
	if len(message) > 256 {
		t.Fatalf("%d bytes in a message", len(message))
	}
	n := 0
	Decode(message, func(r Record) {
		if r.Host != uint32(n) || r.Delay != min(255.0/4, float64(n)) {
			t.Errorf("record %d: %+v", n, r)
		}
		n++
	})
	if n != maxRecords {
		t.Errorf("%d records in a full message, expected %d", n, maxRecords)
	}
}
