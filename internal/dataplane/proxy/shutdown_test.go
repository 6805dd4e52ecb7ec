package proxy

import (
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// newSendingHarness returns a harness with a request q that is not idempotent and that the balancer
// has placed at A. The balancer places q at B if the attempt at A ends with ConnectFailed (4),
// without having run.
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

// A host accepts a request during a shutdown, after earlier clients have been migrated. The client
// must get the acceptance and then be migrated like the others.
func TestAcceptedDuringShutdown(t *testing.T) {
	w := newSendingHarness(t)
	ended := w.shutDown()
	if !w.core.migrations.unpaced {
		t.Error("migrations.unpaced = false during a shutdown, want true: clients must not wait for permits")
	}
	w.advance(900 * time.Millisecond)
	w.upstreams[0].sent()
	w.upstreams[0].events.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.expect("accept q", "established q 0")
	w.advance(1500 * time.Millisecond)
	w.expectMigratedAndEnded(ended)
}

// A list that arrives during a shutdown must not stop the migration of the clients or start
// anything new.
func TestListDuringShutdown(t *testing.T) {
	w := newHarness(t)
	w.serve("q")
	ended := w.shutDown()
	w.core.ListReceived(WatchEvent{Kind: balancer.ListFull, Version: 1, Hosts: []HostEntry{{Address: "at-C", ListedHost: balancer.ListedHost{ID: "C"}}}})
	w.expect("list 1 1")
	w.advance(2100 * time.Millisecond)
	w.expectMigratedAndEnded(ended)
}

// If a connection breaks before the last byte of the first line is written, the host cannot have
// run the request, and even one that must not run twice may be retried at another host. After that
// byte it may not.
func TestBreakBeforeTheLineIsWritten(t *testing.T) {
	w := newSendingHarness(t)
	w.upstreams[0].stage = netio.Sending
	w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broken})
	w.expect("end up ended", "ended q 0 4 false", "start at-B 1000")

	w = newSendingHarness(t)
	w.upstreams[0].sent()
	w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broken})
	w.expect("end up ended", "ended q 0 5 false")
}

// A process was paused during its shutdown. It must accept the connections in the listener's queue
// before it ends.
func TestListenerQueueIsAcceptedBeforeTheEnd(t *testing.T) {
	w := newHarness(t)
	ended := w.shutDown()
	w.now += int64(600 * time.Millisecond) // the process is paused
	w.loop.RunPending()
	if *ended {
		t.Fatal("the shutdown ended in its first step, before connections in the queue were accepted")
	}
	w.core.Admit("c") // a connection from the listener's queue
	w.open("late")
	w.expect("reject late 500")
	w.advance(300 * time.Millisecond)
	if *ended {
		t.Fatal("the shutdown ended before the client hung up")
	}
	w.core.DownstreamEnded()
	w.advance(200 * time.Millisecond)
	if !*ended {
		t.Error("the shutdown has not ended 200ms after the client hung up")
	}
}

// For every deadline, the times of a shutdown must be in order and before SIGKILL. A request whose
// deadline is at most 3 s must have all of that time, plus overdueGrace.
func TestScheduleEndsBeforeTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Millisecond, 100, 400, 1000, 2000, 2999, 3000, 4800, 60000} {
		deadline *= time.Millisecond
		kill := min(deadline, 3*time.Second) + 700*time.Millisecond
		for _, handedOver := range []bool{false, true} {
			s := newShutdownSchedule(int64(deadline), handedOver)
			if s.migrateFrom < 0 || s.migrateFrom >= s.migrateBy || s.migrateBy > s.answerBy || s.answerBy >= s.exitBy ||
				s.exitBy > int64(kill-2*invariant.MaxPause) || deadline <= 3*time.Second && s.answerBy < int64(deadline+overdueGrace) {
				t.Errorf("newShutdownSchedule(%v, %t) = %+v, want its times in order and before SIGKILL after %v", deadline, handedOver, s, kill)
			}
			for elapsed, before := int64(0), 0; elapsed <= s.exitBy; elapsed += int64(10 * time.Millisecond) {
				if migrationsDue := s.migrationsDue(100, elapsed); migrationsDue < before || elapsed >= s.migrateBy && migrationsDue != 100 {
					t.Fatalf("deadline %v, handed over %t: %d of 100 migrations due after %v, want at least the %d that were due earlier, and all 100 from migrateBy on", deadline, handedOver, migrationsDue, time.Duration(elapsed), before)
				} else {
					before = migrationsDue
				}
			}
		}
	}
}

// Requests whose deadline is after SIGKILL must get their answer before it: a failure if the
// request may have run, and a rejection if it waits in the balancer's queue, so that a retry is
// harmless. The process must then end before SIGKILL.
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
			t.Errorf("events after 3260ms of the shutdown are %q, want %q among them", seen, want)
		}
	}
	w.advance(100 * time.Millisecond)
	if *ended {
		t.Fatal("the shutdown ended within 3360ms, although its clients had not hung up, want its end at exitBy, 3400ms")
	}
	w.advance(50 * time.Millisecond)
	if !*ended {
		t.Error("the shutdown has not ended after 3410ms, want its end at exitBy, 3400ms")
	}
}
