package metrics

import "testing"

// Every kind of end has its count, and the text its order.
func TestEveryEndCounts(t *testing.T) {
	f := New([]string{"a", "b"})
	for e := range ends {
		for range int(e) + 1 {
			f.Ended(1, e)
		}
	}
	f.Ended(7, Established) // no class of the settings
	f.Dispatched()
	const want = "replies.a.success=0\nreplies.a.overload=0\nreplies.a.error=0\n" +
		"replies.b.success=3\nreplies.b.overload=12\nreplies.b.error=21\n" +
		"dispatches=1\nconcurrent=4\ntargets=5\ntargets_disabled=2\n"
	if got := string(f.Text(Gauges{4, 5, 2})); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
