package stallgossip

import (
	"testing"

	"croftlock/internal/balancer/rendezvous"
	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages checks that messages have the bytes of the golden file.
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
		t.Fatalf("a message of %d bytes, expected at most 256", len(message))
	}
	n := 0
	Decode(message, func(r Record) {
		if r.Host != uint32(n) || r.Delay != min(255.0/4, float64(n)) {
			t.Errorf("record %d is %+v, expected host %d and delay %g", n, r, n, min(255.0/4, float64(n)))
		}
		n++
	})
	if n != maxRecords {
		t.Errorf("decoded %d records of a full message, expected %d", n, maxRecords)
	}
}
