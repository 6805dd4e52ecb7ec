package metrics

import "testing"

// Every kind of end has its count, and the text its order.
func TestEveryEndCounts(t *testing.T) {
	table := New([]string{"a", "b"})
	for e := range endKinds {
		for range int(e) + 1 {
			table.CountEnd(1, e)
		}
	}
	table.CountEnd(7, Established) // no class of the settings
	table.CountDispatch()
	const want = "replies.a.success=0\nreplies.a.overload=0\nreplies.a.error=0\n" +
		"replies.b.success=3\nreplies.b.overload=12\nreplies.b.error=21\n" +
		"dispatches=1\nconcurrent=4\ntargets=5\ntargets_disabled=2\n"
	if got := string(table.Text(Gauges{4, 5, 2})); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
