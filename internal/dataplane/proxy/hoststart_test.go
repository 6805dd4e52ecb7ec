package proxy

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
)

// The system's clock is set while the process runs. A host that restarts after that must count as
// warming up, whether the clock of its own machine was set as well or not. Otherwise it would be
// overloaded.
func TestHostStartAfterTheClockWasSet(t *testing.T) {
	// step is by how much the system's clock of this proxy is set; setAtHost sets the host's by the
	// same.
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		for _, setAtHost := range []bool{true, false} {
			w := newHarness(t)
			w.core.hosts.clock.wallClock = func() time.Time { return time.Unix(0, w.now+int64(step)) }
			before := w.core.hosts.byID["A"].startedAt
			w.advance(time.Second)
			startedAt := w.now - int64(300*time.Millisecond)
			listed := startedAt
			if setAtHost {
				listed += int64(step)
			}
			e := HostEntry{Address: "at-A", ListedHost: balancer.ListedHost{ID: "A", StartedAt: listed}}
			w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{e}})
			got := w.core.hosts.byID["A"].startedAt
			if got <= before || got > w.now || got < startedAt || !setAtHost && step > 0 && got < startedAt {
				t.Errorf("clock set by %v, at the host too %t: the host started %v ago, want at most 300ms", step, setAtHost, time.Duration(w.now-got))
			}
			w.advance(time.Second) // the host is listed again with the same start
			if w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{e}}); w.core.hosts.byID["A"].startedAt != got {
				t.Errorf("clock set by %v, at the host too %t: start of the host changed by %v when it was listed again", step, setAtHost, time.Duration(w.core.hosts.byID["A"].startedAt-got))
			}
		}
	}
}
