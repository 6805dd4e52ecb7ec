package metrics

import (
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedText tests that metrics keep their names and order.
func TestRecordedText(t *testing.T) {
	table := New([]string{"session", "batch"})
	for e := range endKinds {
		for range int(e) + 1 {
			table.CountEnd(int(e)%2, e)
		}
	}
	table.CountDispatch()
	golden.Check(t, "metrics.txt", table.Text(Gauges{Concurrent: 4, Hosts: 5, Disabled: 2}))
}
