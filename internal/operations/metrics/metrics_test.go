package metrics

import "testing"

// TestEveryEndCounts tests the counter of every kind of end and the order of the text.
func TestEveryEndCounts(t *testing.T) {
	table := New([]string{"a", "b"})
	for e := range endKinds {
		for range int(e) + 1 {
			table.CountEnd(1, e)
		}
	}
	table.CountEnd(7, Established) // a class that the settings lack
	table.CountDispatch()
	const want = "replies.a.success=0\nreplies.a.overload=0\nreplies.a.error=0\n" +
		"replies.b.success=3\nreplies.b.overload=12\nreplies.b.error=21\n" +
		"dispatches=1\nconcurrent=4\ntargets=5\ntargets_disabled=2\n"
	if got := string(table.Text(Gauges{4, 5, 2})); got != want {
		t.Errorf("Text() =\n%swant\n%s", got, want)
	}
}
