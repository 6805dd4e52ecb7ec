package proxy

import (
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// sending opens a request whose module sends it to A, and then to B should that attempt prove not to have run.
func sending(t *testing.T) *world {
	w := newWorld(t)
	w.core.opt.Settings.Classes[0].Idempotency = balancer.NotIdempotent
	w.on = func(e string) {
		switch e {
		case "request q":
			w.fx.StartAttempt("q", "A", 0)
		case "outcome q 0 4 false":
			w.fx.StartAttempt("q", "B", 0)
		}
	}
	w.open("q")
	w.seen = nil
	return w
}

// A host's acceptance that comes while the process leaves, when the clients before it have been moved, is passed on, and that
// client is moved like the others.
func TestAcceptedWhileTheProcessLeaves(t *testing.T) {
	w := sending(t)
	left := false
	w.core.Shutdown(func() { left = true })
	w.pass(900 * time.Millisecond)
	w.ups[0].sent()
	w.ups[0].ev.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.expect("serve q", "first q 0")
	w.pass(1500 * time.Millisecond)
	w.expect("move q", "end up ended", "outcome q 0 6 true")
	if !left {
		t.Error("it does not end")
	}
}

// A new configuration while the process leaves brings a list: the clients are moved all the same, and nothing new begins.
func TestAListWhileTheProcessLeaves(t *testing.T) {
	w := newWorld(t)
	w.serve("q")
	left := false
	w.core.Shutdown(func() { left = true })
	w.core.ListReceived(Change{Kind: balancer.ListFull, Version: 1, Hosts: []HostEntry{{Address: "at-C", ListedHost: balancer.ListedHost{ID: "C"}}}})
	w.expect("members 1 1")
	w.pass(2100 * time.Millisecond)
	w.expect("move q", "end up ended", "outcome q 0 6 true")
	if !left {
		t.Error("it does not end")
	}
}

// A connection that breaks before the first line's last byte is written has not reached its host: the request may go elsewhere, also one
// that must not run twice. After that byte it may not.
func TestABreakInTheLastBytesWrite(t *testing.T) {
	w := sending(t)
	w.ups[0].stage = netio.Sending
	w.ups[0].ev.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broke})
	w.expect("end up ended", "outcome q 0 4 false", "start at-B 1000")

	w = sending(t)
	w.ups[0].sent()
	w.ups[0].ev.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broke})
	w.expect("end up ended", "outcome q 0 5 false")
}

// A process that was held up found nothing left in the first step after that, and ended before it had accepted who waited in the queue.
func TestTheQueueIsLookedAtBeforeTheEnd(t *testing.T) {
	w := newWorld(t)
	left := false
	w.core.Shutdown(func() { left = true })
	w.now += int64(600 * time.Millisecond) // nothing runs meanwhile
	w.loop.RunPending()
	if left {
		t.Fatal("it ends in its first step")
	}
	w.core.Admit("c") // the queue is looked at now
	w.open("late")
	w.expect("refuse late 500")
	w.pass(300 * time.Millisecond)
	if left {
		t.Fatal("it does not wait for its client to hang up")
	}
	w.core.SessionEnded()
	w.pass(200 * time.Millisecond)
	if !left {
		t.Error("it does not end")
	}
}

// Whatever the deadlines, the moments of a shutdown come in order and before SIGKILL, and a request whose deadline counts whole has it whole.
func TestScheduleEndsBeforeTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{0, time.Millisecond, 100, 400, 1000, 2000, 2999, 3000, 4800, 60000} {
		deadline *= time.Millisecond
		kill := min(deadline, 3*time.Second) + 700*time.Millisecond
		for _, handed := range []bool{false, true} {
			s := newShutdownSchedule(int64(deadline), handed)
			if s.migrateFrom < 0 || s.migrateFrom >= s.migrateBy || s.migrateBy > s.answerBy || s.answerBy >= s.exitBy ||
				s.exitBy > int64(kill-2*invariant.MaxSuspension) || deadline <= 3*time.Second && s.answerBy < int64(deadline+overdueGrace) {
				t.Errorf("%v, handed over %t: %+v, SIGKILL after %v", deadline, handed, s, kill)
			}
			for passed, before := int64(0), 0; passed <= s.exitBy; passed += int64(10 * time.Millisecond) {
				if due := s.due(100, passed); due < before || passed >= s.migrateBy && due != 100 {
					t.Fatalf("%v: %d due after %v, %d before", deadline, due, time.Duration(passed), before)
				} else {
					before = due
				}
			}
		}
	}
}

// A request whose time reaches past SIGKILL gets its answer before: a refusal where trying again is harmless, a failure where it may have
// run. What is held by the module gets one too, a client that comes up in the last moment is moved, and the process ends.
func TestWhatIsLeftIsAnsweredBeforeTheKill(t *testing.T) {
	w := newWorld(t)
	w.core.opt.Settings.Classes[0].Idempotency = balancer.NotIdempotent
	w.on = func(e string) {
		if e == "request q" {
			w.fx.StartAttempt("q", "A", 0)
		}
	}
	for _, id := range []string{"q", "held"} {
		w.core.Open(&fakeDown{w, id}, &Opening{ID: id, Class: "c", Tenant: "t", Wait: 4800 * time.Millisecond, HasWait: true}, nil)
	}
	w.ups[0].sent()
	w.seen = nil
	w.core.admission.sessions = 2
	left := false
	w.core.Shutdown(func() { left = true })
	w.pass(3200 * time.Millisecond)
	w.expect()
	w.pass(60 * time.Millisecond)
	seen := strings.Join(w.seen, "; ")
	for _, want := range []string{"fail q; end up ended; outcome q 0 6 true; gone q", "refuse held 500; gone held"} {
		if !strings.Contains(seen, want) {
			t.Errorf("got %s, want %s in it", seen, want)
		}
	}
	w.pass(100 * time.Millisecond)
	if left {
		t.Fatal("it has not waited for its clients to hang up")
	}
	w.pass(50 * time.Millisecond)
	if !left {
		t.Error("it does not end before SIGKILL")
	}
}
