package proxy

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
)

// The system's clock is set while the process runs. A host that restarts after that counts as warming up, whether its own machine's clock was set as
// well or not.
func TestHostStartAfterTheClockWasSet(t *testing.T) {
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for _, everywhere := range []bool{true, false} {
			w := newHarness(t)
			w.core.hosts.clock.wall = func() time.Time { return time.Unix(0, w.now+int64(step)) }
			before := w.core.hosts.byID["A"].startedAt
			w.advance(time.Second)
			startedAt := w.now - int64(300*time.Millisecond)
			listed := startedAt
			if everywhere {
				listed += int64(step)
			}
			e := HostEntry{Address: "at-A", ListedHost: balancer.ListedHost{ID: "A", StartedAt: listed}}
			w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{e}})
			got := w.core.hosts.byID["A"].startedAt
			if got <= before || got > w.now || got < startedAt || !everywhere && step > 0 && got < startedAt {
				t.Errorf("set by %v, at the host too %t: %v before now, 300ms expected at most", step, everywhere, time.Duration(w.now-got))
			}
			w.advance(time.Second) // listed again, it is the same start
			if w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{e}}); w.core.hosts.byID["A"].startedAt != got {
				t.Errorf("set by %v: the same start is another one a second later", step)
			}
		}
	}
}
