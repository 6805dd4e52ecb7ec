package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// A client gets one answer: by its deadline though the balancer does not answer, and none after that.
func TestOneAnswer(t *testing.T) {
	w := newHarness(t)
	w.open("q")
	w.advance(time.Second)
	w.expect("request q")
	w.advance(50 * time.Millisecond)
	w.expect("fail q", "left q")
	w.effects.Reject("q", 0)
	w.effects.StartAttempt("q", "A", 0)
	w.advance(time.Second)
	w.expect()
	w.onEvent = func(e string) {
		if e == "request p" {
			panic("on purpose")
		}
	}
	w.open("p")
	w.expect("request p", "fail p", "left p")
	if len(w.core.requests) != 0 {
		t.Fatal("requests are left in the table")
	}
}

// The old attempt is closed before the next begins, and how far it had come decides the status that the balancer learns.
func TestAttempts(t *testing.T) {
	w := newHarness(t)
	w.onEvent = func(e string) {
		switch {
		case e == "request q":
			w.effects.StartAttempt("q", "A", 300e6)
		case strings.HasPrefix(e, "ended q 0"):
			w.effects.StartAttempt("q", "B", 0)
		case strings.HasPrefix(e, "ended q 1"):
			w.effects.Reject("q", 1e9)
		}
	}
	w.open("q")
	w.expect("request q", "start at-A 300")
	w.upstreams[0].sent()
	w.advance(300 * time.Millisecond)
	w.expect("end up ended", "ended q 0 3 false", "start at-B 700")
	w.upstreams[1].events.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broke})
	w.expect("end up ended", "ended q 1 4 false", "reject q 1000")
	_, u := w.serve("s")
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Broke})
	w.expect("end s broke", "ended s 0 5 true")
}

// Draining and removed hosts get nothing new, and a dial in the queue is something new; a changed address is followed.
func TestListStopsDials(t *testing.T) {
	w := newHarness(t)
	w.onEvent = func(e string) {
		if e == "request q" {
			w.effects.StartAttempt("q", "A", 0)
		}
	}
	w.open("q")
	a := HostEntry{Address: "new", ListedHost: balancer.ListedHost{ID: "A"}}
	w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{a}})
	w.expect("request q", "start at-A 1000", "end up dropped", "start new 1000", "list 0 1")
	a.State = balancer.Draining
	w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{a}})
	w.expect("list 0 1", "end up dropped", "ended q 0 2 false")
	w.effects.StartAttempt("q", "A", 0) // the rule holds whatever the balancer wants
	w.core.decisions.submit(nil, nil, func(int64, Balancer) {})
	w.expect("ended q 1 2 false")
}

// A first line that waits for the kernel is something new as well: it must not go to a host that drains since, nor as a retry after the dedup
// window.
func TestListStopsUnsentLines(t *testing.T) {
	w := newSendingHarness(t)
	w.upstreams[0].stage = netio.Sending
	w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{{Address: "at-A", ListedHost: balancer.ListedHost{ID: "A", State: balancer.Draining}}}})
	w.expect("list 0 1", "end up dropped", "ended q 0 2 false")

	w = openWithKey(t)
	w.upstreams[1].stage = netio.Sending
	w.events = nil
	w.advance(210 * time.Millisecond)
	w.expect("end up ended", "ended q 1 7 false", "reject q 0")
}

// A proxy that shuts down rejects new requests, migrates open ones once the front sends no more, and is done when all have ended.
func TestShutdown(t *testing.T) {
	w := newHarness(t)
	w.serve("q")
	w.core.Admit("c")
	ended := w.shutDown()
	w.core.Shutdown(func() { t.Error("a second signal has a shutdown of its own") })
	w.open("new")
	w.expect("reject new 500")
	w.advance(400 * time.Millisecond)
	w.expect()
	w.advance(1700 * time.Millisecond)
	w.expect("migrate q", "end up ended", "ended q 0 6 true")
	w.core.DownstreamEnded()
	w.advance(100 * time.Millisecond)
	if !*ended {
		t.Fatal("the shutdown has not ended")
	}
}

// What no host can read goes to none, and no client keeps a request for longer than its class allows.
func TestInvalidOpenings(t *testing.T) {
	w := newHarness(t)
	open := func(o Opening) { w.core.Open(&fakeDownstream{w, o.ID}, &o, nil) }
	open(Opening{ID: "class", Class: "x", Tenant: "t"})
	open(Opening{ID: "tenant", Class: "c", Tenant: "x"})
	open(Opening{ID: "none", Class: "c"})
	w.expect("fail class", "fail tenant", "fail none")
	open(Opening{ID: "long", Class: "c", Tenant: "t", Wait: 500 * time.Hour, HasWait: true})
	open(Opening{ID: "long", Class: "c", Tenant: "t"})
	w.expect("request long", "fail long")
	w.advance(4900 * time.Millisecond)
	w.expect("fail long", "left long")
}

// A suspended host gets nothing more: dials end, later lists change nothing, and what has reached it goes on.
func TestSuspendedHost(t *testing.T) {
	w := newHarness(t)
	_, open := w.serve("r0")
	w.onEvent = func(e string) {
		switch e {
		case "request r1":
			w.effects.StartAttempt("r1", "A", 0)
		case "ended r1 0 2 false":
			w.effects.StartAttempt("r1", "A", 0) // a balancer at fault
		case "ended r1 1 2 false":
			w.effects.Reject("r1", 0)
		}
	}
	w.open("r1")
	w.events = nil
	known := ""
	w.core.SetSuspended("Z", true, func(k bool) { known += fmt.Sprint(k, " ") })
	w.core.SetSuspended("A", true, func(k bool) { known += fmt.Sprint(k, " ") })
	w.core.SetSuspended("A", true, func(k bool) { known += fmt.Sprint(k) })
	if known != "false true true" {
		t.Errorf("Z, A and A again are known: %s", known)
	}
	w.expect("list 4 1", "end up dropped", "ended r1 0 2 false", "ended r1 1 2 false", "reject r1 0")
	open.events.FromUpstream(Message{Kind: PlainMessage, Text: []byte("x\r\n")})
	w.expect()
	e := HostEntry{Address: "elsewhere", ListedHost: balancer.ListedHost{ID: "A"}}
	w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{e}})
	if h := w.core.hosts.byID["A"]; h.state != balancer.Suspended {
		t.Errorf("listed again it is %s", hostStateName(h.state))
	}
	if got := string(w.core.Metrics()); !strings.Contains(got, "concurrent=1\ntargets=2\ntargets_disabled=1\n") {
		t.Errorf("metrics %s", got)
	}
	w.advance(time.Second)
	w.expect("list 0 1", "migrate r0", "end up ended", "ended r0 0 6 true")
	w.core.SetSuspended("A", false, func(bool) {})
	if h := w.core.hosts.byID["A"]; h.state != balancer.Ready {
		t.Errorf("resumed it is %s", hostStateName(h.state))
	}
}

// Metrics count each end where it happens.
func TestMetricsOfMixedEnds(t *testing.T) {
	w := newHarness(t)
	w.core.admission.limit = 100
	w.serve("up")
	fail := func(e string) {
		w.effects.Fail(strings.TrimPrefix(e, "request "))
	}
	w.onEvent = fail
	w.open("failed")
	w.onEvent = nil
	w.open("late") // the balancer never answers
	gone := w.open("gone")
	gone.DownstreamEnded(&netio.Error{Cause: netio.Ended})
	w.open("up") // an id in use
	w.core.Open(&fakeDownstream{w, "x"}, &Opening{ID: "x", Class: "none", Tenant: "t"}, nil)
	w.onEvent = func(e string) {
		if strings.HasPrefix(e, "request") {
			w.effects.StartAttempt("sent", "B", 0)
		}
	}
	w.open("sent")
	w.upstreams[len(w.upstreams)-1].events.UpstreamSent()
	w.onEvent = nil
	w.advance(2 * time.Second)
	w.core.admission.limit = 0
	w.core.Admit("c")
	w.core.shuttingDown = true
	w.open("shutting down")
	want := "replies.c.success=1\nreplies.c.overload=2\nreplies.c.error=4\ndispatches=2\nconcurrent=1\ntargets=2\ntargets_disabled=0\n"
	if got := string(w.core.Metrics()); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
