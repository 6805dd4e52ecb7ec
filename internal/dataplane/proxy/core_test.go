package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// A client gets one answer: by its deadline though the module stays silent, and none after that.
func TestOneAnswer(t *testing.T) {
	w := newWorld(t)
	w.open("q")
	w.pass(time.Second)
	w.expect("request q")
	w.pass(50 * time.Millisecond)
	w.expect("fail q", "gone q")
	w.fx.Reject("q", 0)
	w.fx.StartAttempt("q", "A", 0)
	w.pass(time.Second)
	w.expect()
	w.on = func(e string) {
		if e == "request p" {
			panic("on purpose")
		}
	}
	w.open("p")
	w.expect("request p", "fail p", "gone p")
	if len(w.core.requests) != 0 {
		t.Fatal("requests are left")
	}
}

// The old attempt is closed before the next begins, and how far it had come decides what the module hears.
func TestAttempts(t *testing.T) {
	w := newWorld(t)
	w.on = func(e string) {
		switch {
		case e == "request q":
			w.fx.StartAttempt("q", "A", 300e6)
		case strings.HasPrefix(e, "outcome q 0"):
			w.fx.StartAttempt("q", "B", 0)
		case strings.HasPrefix(e, "outcome q 1"):
			w.fx.Reject("q", 1e9)
		}
	}
	w.open("q")
	w.expect("request q", "start at-A 300")
	w.ups[0].sent()
	w.pass(300 * time.Millisecond)
	w.expect("end up ended", "outcome q 0 3 false", "start at-B 700")
	w.ups[1].ev.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broke})
	w.expect("end up ended", "outcome q 1 4 false", "refuse q 1000")
	_, u := w.serve("s")
	u.ev.UpstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Broke})
	w.expect("end s broke", "outcome s 0 5 true")
}

// Draining and removed hosts get nothing new, and a dial in the queue is something new; a changed address is followed.
func TestListActsOnDials(t *testing.T) {
	w := newWorld(t)
	w.on = func(e string) {
		if e == "request q" {
			w.fx.StartAttempt("q", "A", 0)
		}
	}
	w.open("q")
	a := HostEntry{Address: "new", ListedHost: balancer.ListedHost{ID: "A"}}
	w.core.ListReceived(Change{Kind: balancer.ListDelta, Hosts: []HostEntry{a}})
	w.expect("request q", "start at-A 1000", "end up dropped", "start new 1000", "members 0 1")
	a.State = balancer.Draining
	w.core.ListReceived(Change{Kind: balancer.ListDelta, Hosts: []HostEntry{a}})
	w.expect("members 0 1", "end up dropped", "outcome q 0 2 false")
	w.fx.StartAttempt("q", "A", 0) // the rule holds should the module err
	w.core.decisions.submit(nil, func(int64) {})
	w.expect("outcome q 1 2 false")
}

// A first line that waits for the kernel is something new as well: it went out to a host that had been told to drain since, and a repeat after hosts had
// ceased to discard it.
func TestListActsOnLinesThatWait(t *testing.T) {
	w := sending(t)
	w.ups[0].stage = netio.Sending
	w.core.ListReceived(Change{Kind: balancer.ListDelta, Hosts: []HostEntry{{Address: "at-A", ListedHost: balancer.ListedHost{ID: "A", State: balancer.Draining}}}})
	w.expect("members 0 1", "end up dropped", "outcome q 0 2 false")

	w = keyed(t)
	w.ups[1].stage = netio.Sending
	w.seen = nil
	w.pass(210 * time.Millisecond)
	w.expect("end up ended", "outcome q 1 7 false", "refuse q 0")
}

// A leaving proxy refuses newcomers, moves those it serves once the front sends no more, and is done when all are gone.
func TestLeave(t *testing.T) {
	w := newWorld(t)
	w.serve("q")
	w.core.Admit("c")
	left := false
	w.core.Shutdown(func() { left = true })
	w.core.Shutdown(func() { t.Error("a second signal ends it by itself") })
	w.open("new")
	w.expect("refuse new 500")
	w.pass(400 * time.Millisecond)
	w.expect()
	w.pass(1700 * time.Millisecond)
	w.expect("move q", "end up ended", "outcome q 0 6 true")
	w.core.SessionEnded()
	w.pass(100 * time.Millisecond)
	if !left {
		t.Fatal("it does not end")
	}
}

// What no host can read goes to none, and no client keeps a request for longer than its class allows.
func TestOddOpenings(t *testing.T) {
	w := newWorld(t)
	ask := func(o Opening) { w.core.Open(&fakeDown{w, o.ID}, &o, nil) }
	ask(Opening{ID: "class", Class: "x", Tenant: "t"})
	ask(Opening{ID: "tenant", Class: "c", Tenant: "x"})
	ask(Opening{ID: "none", Class: "c"})
	w.expect("fail class", "fail tenant", "fail none")
	ask(Opening{ID: "long", Class: "c", Tenant: "t", Wait: 500 * time.Hour, HasWait: true})
	ask(Opening{ID: "long", Class: "c", Tenant: "t"})
	w.expect("request long", "fail long")
	w.pass(4900 * time.Millisecond)
	w.expect("fail long", "gone long")
}

// A host that operators take out gets nothing more: what is being dialled is taken back, later lists change nothing, and
// what has reached it goes on.
func TestHostOutByHand(t *testing.T) {
	w := newWorld(t)
	_, standing := w.serve("r0")
	w.on = func(e string) {
		switch e {
		case "request r1":
			w.fx.StartAttempt("r1", "A", 0)
		case "outcome r1 0 2 false":
			w.fx.StartAttempt("r1", "A", 0) // a module that does not listen
		case "outcome r1 1 2 false":
			w.fx.Reject("r1", 0)
		}
	}
	w.open("r1")
	w.seen = nil
	told := ""
	w.core.Suspend("Z", true, func(known bool) { told += fmt.Sprint(known, " ") })
	w.core.Suspend("A", true, func(known bool) { told += fmt.Sprint(known, " ") })
	w.core.Suspend("A", true, func(known bool) { told += fmt.Sprint(known) })
	if told != "false true true" {
		t.Errorf("told %s", told)
	}
	w.expect("members 4 1", "end up dropped", "outcome r1 0 2 false", "outcome r1 1 2 false", "refuse r1 0")
	standing.ev.FromUpstream(Message{Kind: PlainMessage, Text: []byte("x\r\n")})
	w.expect()
	e := HostEntry{Address: "elsewhere", ListedHost: balancer.ListedHost{ID: "A"}}
	w.core.ListReceived(Change{Kind: balancer.ListDelta, Hosts: []HostEntry{e}})
	if h := w.core.hosts.byID["A"]; h.state != balancer.Suspended {
		t.Errorf("listed anew it has state %d", h.state)
	}
	if got := string(w.core.Metrics()); !strings.Contains(got, "concurrent=1\ntargets=2\ntargets_disabled=1\n") {
		t.Errorf("figures %s", got)
	}
	w.pass(time.Second)
	w.expect("members 0 1", "move r0", "end up ended", "outcome r0 0 6 true")
	w.core.Suspend("A", false, func(bool) {})
	if h := w.core.hosts.byID["A"]; h.state != balancer.Ready {
		t.Errorf("called back it has state %d", h.state)
	}
}

// Figures count each end where it happens.
func TestFiguresOfMixedEnds(t *testing.T) {
	w := newWorld(t)
	w.core.admission.limit = 100
	w.serve("up")
	fail := func(e string) {
		w.fx.Fail(strings.TrimPrefix(e, "request "))
	}
	w.on = fail
	w.open("failed")
	w.on = nil
	w.open("late") // the module never answers
	gone := w.open("gone")
	gone.DownstreamEnded(&netio.Error{Cause: netio.Ended})
	w.open("up") // an id in use
	w.core.Open(&fakeDown{w, "x"}, &Opening{ID: "x", Class: "none", Tenant: "t"}, nil)
	w.on = func(e string) {
		if strings.HasPrefix(e, "request") {
			w.fx.StartAttempt("sent", "B", 0)
		}
	}
	w.open("sent")
	w.ups[len(w.ups)-1].ev.UpstreamSent()
	w.on = nil
	w.pass(2 * time.Second)
	w.core.admission.limit = 0
	w.core.Admit("c")
	w.core.shuttingDown = true
	w.open("leaving")
	want := "replies.c.success=1\nreplies.c.overload=2\nreplies.c.error=4\ndispatches=2\nconcurrent=1\ntargets=2\ntargets_disabled=0\n"
	if got := string(w.core.Metrics()); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
