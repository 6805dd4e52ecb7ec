package proxy

import (
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// sending opens a request whose balancer places it at A, and then to B should that attempt prove not to have run.
func newSendingHarness(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t)
	w.core.opt.Settings.Classes[0].Idempotency = balancer.NotIdempotent
	w.onEvent = func(e string) {
		switch e {
		case "request q":
			w.effects.StartAttempt("q", "A", 0)
		case "ended q 0 4 false":
			w.effects.StartAttempt("q", "B", 0)
		}
	}
	w.open("q")
	w.events = nil
	return w
}

// A host's acceptance that comes during a shutdown, after earlier clients have been migrated, is passed on, and that client is migrated
// like the others.
func TestAcceptedDuringShutdown(t *testing.T) {
	w := newSendingHarness(t)
	ended := w.shutDown()
	if !w.core.migrations.unpaced {
		t.Error("clients of a process that shuts down wait for permits")
	}
	w.advance(900 * time.Millisecond)
	w.upstreams[0].sent()
	w.upstreams[0].events.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.expect("accept q", "established q 0")
	w.advance(1500 * time.Millisecond)
	w.expectMigratedAndEnded(ended)
}

// A list that comes during a shutdown changes nothing: the clients are migrated, and nothing new begins.
func TestListDuringShutdown(t *testing.T) {
	w := newHarness(t)
	w.serve("q")
	ended := w.shutDown()
	w.core.ListReceived(WatchEvent{Kind: balancer.ListFull, Version: 1, Hosts: []HostEntry{{Address: "at-C", ListedHost: balancer.ListedHost{ID: "C"}}}})
	w.expect("list 1 1")
	w.advance(2100 * time.Millisecond)
	w.expectMigratedAndEnded(ended)
}

// A connection that breaks before the first line's last byte is written has not reached its host: the request may go elsewhere, also one
// that must not run twice. After that byte it may not.
func TestBreakBeforeTheLineIsWritten(t *testing.T) {
	w := newSendingHarness(t)
	w.upstreams[0].stage = netio.Sending
	w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broke})
	w.expect("end up ended", "ended q 0 4 false", "start at-B 1000")

	w = newSendingHarness(t)
	w.upstreams[0].sent()
	w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broke})
	w.expect("end up ended", "ended q 0 5 false")
}

// A process that was paused accepts the connections in the listener's queue before it finds that nothing is left.
func TestListenerQueueIsAcceptedBeforeTheEnd(t *testing.T) {
	w := newHarness(t)
	ended := w.shutDown()
	w.now += int64(600 * time.Millisecond) // nothing runs meanwhile
	w.loop.RunPending()
	if *ended {
		t.Fatal("the shutdown has ended in its first step")
	}
	w.core.Admit("c") // from the queue
	w.open("late")
	w.expect("reject late 500")
	w.advance(300 * time.Millisecond)
	if *ended {
		t.Fatal("the shutdown has ended before its client hung up")
	}
	w.core.DownstreamEnded()
	w.advance(200 * time.Millisecond)
	if !*ended {
		t.Error("the shutdown has not ended")
	}
}

// Whatever the deadlines, the moments of a shutdown come in order and before SIGKILL, and a request whose deadline counts in full has all of it.
func TestScheduleEndsBeforeTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Millisecond, 100, 400, 1000, 2000, 2999, 3000, 4800, 60000} {
		deadline *= time.Millisecond
		kill := min(deadline, 3*time.Second) + 700*time.Millisecond
		for _, handedOver := range []bool{false, true} {
			s := newShutdownSchedule(int64(deadline), handedOver)
			if s.migrateFrom < 0 || s.migrateFrom >= s.migrateBy || s.migrateBy > s.answerBy || s.answerBy >= s.exitBy ||
				s.exitBy > int64(kill-2*invariant.MaxPause) || deadline <= 3*time.Second && s.answerBy < int64(deadline+overdueGrace) {
				t.Errorf("%v, handed over %t: %+v, SIGKILL after %v", deadline, handedOver, s, kill)
			}
			for elapsed, before := int64(0), 0; elapsed <= s.exitBy; elapsed += int64(10 * time.Millisecond) {
				if migrationsDue := s.migrationsDue(100, elapsed); migrationsDue < before || elapsed >= s.migrateBy && migrationsDue != 100 {
					t.Fatalf("%v: %d due after %v, %d before", deadline, migrationsDue, time.Duration(elapsed), before)
				} else {
					before = migrationsDue
				}
			}
		}
	}
}

// A request whose deadline is past SIGKILL gets its answer before: a rejection where a retry is harmless, a failure where it may have run. One that
// the balancer has queued gets one too, a client that is accepted in the last moment is migrated, and the process ends.
func TestWaitingRequestsAreAnsweredBeforeTheKill(t *testing.T) {
	w := newHarness(t)
	w.core.opt.Settings.Classes[0].Idempotency = balancer.NotIdempotent
	w.onEvent = func(e string) {
		if e == "request q" {
			w.effects.StartAttempt("q", "A", 0)
		}
	}
	for _, id := range []string{"q", "queued"} {
		w.core.Open(&fakeDownstream{w, id}, &Opening{ID: id, Class: "c", Tenant: "t", Wait: 4800 * time.Millisecond, HasWait: true}, nil)
	}
	w.upstreams[0].sent()
	w.events = nil
	w.core.admission.downstreams = 2
	ended := w.shutDown()
	w.advance(3200 * time.Millisecond)
	w.expect()
	w.advance(60 * time.Millisecond)
	seen := strings.Join(w.events, "; ")
	for _, want := range []string{"fail q; end up ended; ended q 0 6 true; left q", "reject queued 500; left queued"} {
		if !strings.Contains(seen, want) {
			t.Errorf("got %s, want %s in it", seen, want)
		}
	}
	w.advance(100 * time.Millisecond)
	if *ended {
		t.Fatal("the shutdown has ended before its clients hung up")
	}
	w.advance(50 * time.Millisecond)
	if !*ended {
		t.Error("the shutdown has not ended before SIGKILL")
	}
}
