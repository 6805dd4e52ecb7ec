package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// TestOneAnswer checks that a client gets exactly one answer: soon after its deadline if the
// balancer does not answer, none after that, and at once if the balancer panics.
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
		t.Fatalf("%d requests are left in the table, want 0", len(w.core.requests))
	}
}

// TestAttempts checks that an attempt's connection is closed before the next attempt begins, and
// that the stage it had reached determines the status reported to the balancer.
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
	w.upstreams[1].events.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broken})
	w.expect("end up ended", "ended q 1 4 false", "reject q 1000")
	_, u := w.serve("s")
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Broken})
	w.expect("end s broke", "ended s 0 5 true")
}

// TestListStopsDials checks that a dial in progress is repeated at a host's changed address, and
// ends when the host begins to drain.
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
	w.effects.StartAttempt("q", "A", 0) // blocked, although the balancer requests it
	w.core.decisions.submit(nil, nil, func(int64, Balancer) {})
	w.expect("ended q 1 2 false")
}

// TestListStopsUnsentLines checks that a first line that the kernel has not accepted yet is not
// sent to a host that has begun to drain, nor as a retry after the dedup window.
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

// TestShutdown checks that a proxy that is shutting down rejects new requests, migrates open
// connections once no more clients are routed to it, and ends when all have ended. A client that is
// migrated earlier could come back to the same proxy.
func TestShutdown(t *testing.T) {
	w := newHarness(t)
	w.serve("q")
	w.core.Admit("c")
	ended := w.shutDown()
	w.core.Shutdown(func() { t.Error("a second Shutdown called its own done function") })
	w.open("new")
	w.expect("reject new 500")
	w.advance(400 * time.Millisecond)
	w.expect()
	w.advance(1700 * time.Millisecond)
	w.expect("migrate q", "end up ended", "ended q 0 6 true")
	w.core.DownstreamEnded()
	w.advance(100 * time.Millisecond)
	if !*ended {
		t.Fatal("the shutdown has not ended 100 ms after the last downstream")
	}
}

// TestInvalidOpenings checks that openings with an unknown class or tenant or an ID in use fail,
// and that a client cannot wait longer than the deadline of its class.
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

// TestSuspendedHost checks that a suspended host gets no new requests: dials end, and later lists
// do not make it ready. Its open connections go on until they are migrated.
func TestSuspendedHost(t *testing.T) {
	w := newHarness(t)
	_, open := w.serve("r0")
	w.onEvent = func(e string) {
		switch e {
		case "request r1":
			w.effects.StartAttempt("r1", "A", 0)
		case "ended r1 0 2 false":
			w.effects.StartAttempt("r1", "A", 0) // as a faulty balancer might
		case "ended r1 1 2 false":
			w.effects.Reject("r1", 0)
		}
	}
	w.open("r1")
	w.events = nil
	known := ""
	w.core.SetSuspended("Z", true, func(isKnown bool) { known += fmt.Sprint(isKnown, " ") })
	w.core.SetSuspended("A", true, func(isKnown bool) { known += fmt.Sprint(isKnown, " ") })
	w.core.SetSuspended("A", true, func(isKnown bool) { known += fmt.Sprint(isKnown) })
	if known != "false true true" {
		t.Errorf("SetSuspended of Z, A and A again: known = %q, want %q", known, "false true true")
	}
	w.expect("list 4 1", "end up dropped", "ended r1 0 2 false", "ended r1 1 2 false", "reject r1 0")
	open.events.FromUpstream(Message{Kind: PlainMessage, Text: []byte("x\r\n")})
	w.expect()
	e := HostEntry{Address: "elsewhere", ListedHost: balancer.ListedHost{ID: "A"}}
	w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{e}})
	if h := w.core.hosts.byID["A"]; h.state != balancer.Suspended {
		t.Errorf("listed again, the suspended host is %s, want suspended", hostStateName(h.state))
	}
	if got := string(w.core.Metrics()); !strings.Contains(got, "concurrent=1\ntargets=2\ntargets_disabled=1\n") {
		t.Errorf("metrics lack concurrent=1, targets=2, targets_disabled=1:\n%s", got)
	}
	w.advance(time.Second)
	w.expect("list 0 1", "migrate r0", "end up ended", "ended r0 0 6 true")
	w.core.SetSuspended("A", false, func(bool) {})
	if h := w.core.hosts.byID["A"]; h.state != balancer.Ready {
		t.Errorf("resumed, the host is %s, want ready", hostStateName(h.state))
	}
}

// TestMetricsOfMixedEnds checks that the metrics count each way in which a request ends.
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
	w.open("up") // an ID in use
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
		t.Errorf("Metrics() =\n%swant\n%s", got, want)
	}
}

// TestBrokenProtocolMigratesClient guards against a client that is cut off without MOVE, because the proxy
// ends its connection to a host that breaks the protocol.
func TestBrokenProtocolMigratesClient(t *testing.T) {
	w := newHarness(t)
	_, u := w.serve("q")
	u.events.UpstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.EndedLocally})
	if len(w.events) == 0 || w.events[0] != "migrate q" {
		t.Errorf("events %v, want migrate q first", w.events)
	}
}
