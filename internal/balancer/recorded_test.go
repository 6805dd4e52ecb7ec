package balancer

import (
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedMessages: the message about servers that make messages wait has the bytes that it had.
func TestRecordedMessages(t *testing.T) {
	samples := golden.NewSamples(4)
	samples.Add("slow", appendTold(nil, 0xdeadbeef, 3.25))
	samples.Add("slow", appendTold(appendTold(nil, 1, 0), uint32(hash("s01")), 1000))
	golden.Check(t, "messages.golden", samples.Bytes())
}
