package proxy

import (
	"bytes"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/logging"
)

// captureLog writes the log, at level debug, to the returned buffer until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	b := &bytes.Buffer{}
	slog.SetDefault(slog.New(logging.New(b, logging.Options{Format: "text", Level: "debug"})))
	return b
}

// TestLocalRepliesLogTheirReason checks that the log has the reason of each rejected or failed
// request, and the new state of an updated host.
func TestLocalRepliesLogTheirReason(t *testing.T) {
	decide := func(decision func(w *harness)) func(t *testing.T) {
		return func(t *testing.T) {
			w := newHarness(t)
			w.onEvent = func(e string) {
				if e == "request q" {
					decision(w)
				}
			}
			w.open("q")
		}
	}
	for _, c := range []struct {
		want string
		run  func(t *testing.T)
	}{
		{"request_rejected request=q attempts=0 reason=balancer", decide(func(w *harness) { w.effects.Reject("q", 0) })},
		{"request_failed request=q attempts=0 reason=balancer", decide(func(w *harness) { w.effects.Fail("q") })},
		{"request_failed request=q attempts=0 reason=balancer_unresponsive", func(t *testing.T) {
			w := newHarness(t)
			w.open("q")
			w.advance(2 * time.Second)
		}},
		{"request_rejected request=q attempts=0 reason=shutting_down after_ms=500", func(t *testing.T) {
			w := newHarness(t)
			w.core.Shutdown(func() {})
			w.open("q")
		}},
		{"request_rejected request=r attempts=0 reason=quota_exceeded after_ms=700", func(t *testing.T) {
			w, quota := newQuotaHarness(t)
			w.open("r")
			quota.reply("rate", 700*time.Millisecond)
		}},
		{"adoption_failed host=Z reason=host_not_listed", adoptAt("Z")},
		{"request_failed request=q attempts=0 reason=host_not_listed", adoptAt("Z")},
		{"invalid_request reason=unknown_class value=x level=warn", func(t *testing.T) {
			w := newHarness(t)
			w.core.Open(&fakeDownstream{w, "q"}, &Opening{ID: "q", Class: "x", Tenant: "t"}, nil)
		}},
		{"host_updated host=A zone=\"\" state=draining", func(t *testing.T) {
			w := newHarness(t)
			w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{{ListedHost: balancer.ListedHost{ID: "A", State: balancer.Draining}}}})
		}},
	} {
		log := captureLog(t)
		c.run(t)
		if !strings.Contains(log.String(), " event="+c.want) {
			t.Errorf("the log lacks the event %q:\n%s", c.want, log)
		}
	}
}

// adoptAt returns a test that opens a request whose connection was open at the given host before the
// proxy's start.
func adoptAt(host string) func(t *testing.T) {
	return func(t *testing.T) {
		w := newHarness(t)
		w.core.Open(&fakeDownstream{w, "q"}, &Opening{ID: "q", Class: "c", Tenant: "t", StickyHost: host}, nil)
	}
}

// TestReasonsHaveNames checks that the names of reasons and host states are distinct single words,
// so that the log can be searched for them.
func TestReasonsHaveNames(t *testing.T) {
	var names []string
	for r := decidedByBalancer; r <= balancerUnresponsive; r++ {
		names = append(names, r.String())
	}
	for r := UnknownClass; r <= SentBeforeAnswer; r++ {
		names = append(names, r.String())
	}
	for s := balancer.Ready; s <= balancer.Suspended; s++ {
		names = append(names, hostStateName(s))
	}
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] || !regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`).MatchString(name) {
			t.Errorf("name %q: used before: %t; it must be unique and consist of lower-case words joined by _", name, seen[name])
		}
		seen[name] = true
	}
}
