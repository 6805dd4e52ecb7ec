package proxy

import (
	"strings"
	"testing"
	"time"
)

// A client whose lines its host no longer answers must be migrated within 5 s of the first
// unanswered line.
func TestSilentHost(t *testing.T) {
	w := newHarness(t)
	r, u := w.serve("q")
	for range 2 {
		r.FromDownstream(Message{Text: []byte("M\r\n")})
		u.events.FromUpstream(Message{Text: []byte("M\r\n")})
		w.advance(2 * time.Second)
	}
	w.expect()
	r.FromDownstream(Message{Text: []byte("M\r\n")})
	w.advance(5 * time.Second)
	if got := w.events[len(w.events)-3:]; strings.Join(got, "; ") != "migrate q; end up ended; ended q 0 5 true" {
		t.Fatalf("last events %q, want the client migrated, the connection ended and the balancer notified", got)
	}
}

// A slow host, one whose latency exceeds the threshold, is reported while it is slow and once more
// when it no longer is. An unanswered line counts with the time that the line has waited.
func TestMessageLatency(t *testing.T) {
	const second, threshold = int64(time.Second), int64(50 * time.Millisecond)
	latency := messageLatency{}
	latency.recordAnswer(second, second-20e6)
	if got := latency.current(second); got != 20e6 || latency.shouldReport(second, got, threshold) {
		t.Errorf("latency %d ns after a fast answer, want 20000000 and no report", got)
	}
	latency.recordUnanswered(second)
	latency.recordUnanswered(2 * second)
	for _, now := range []int64{2 * second, 3 * second} {
		if got := latency.current(now); got != now-second || !latency.shouldReport(now, got, threshold) {
			t.Errorf("latency %d ns with unanswered lines at %d ns, want %d and a report", got, now, now-second)
		}
	}
	latency.oldestSent = 0
	if got := latency.current(4 * second); got != 0 || !latency.shouldReport(4*second, got, threshold) || latency.shouldReport(5*second, got, threshold) {
		t.Errorf("latency %d ns without unanswered lines, want 0 and exactly one more report", got)
	}
}
