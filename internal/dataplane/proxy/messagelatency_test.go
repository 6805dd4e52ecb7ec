package proxy

import (
	"strings"
	"testing"
	"time"
)

// A host that answers none of its client's lines is left in time, and the client is migrated.
func TestSilentHost(t *testing.T) {
	w := newHarness(t)
	r, u := w.serve("q")
	for range 2 {
		r.FromDownstream(Message{Text: []byte("M\r\n")})
		u.events.FromUpstream(Message{Text: []byte("M\r\n")})
		w.pass(2 * time.Second)
	}
	w.expect()
	r.FromDownstream(Message{Text: []byte("M\r\n")})
	w.pass(5 * time.Second)
	if got := w.events[len(w.events)-3:]; strings.Join(got, "; ") != "migrate q; end up ended; ended q 0 5 true" {
		t.Fatal(w.events)
	}
}
