package cluster

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/dataplane/proxy"
)

// receivedCall is a call that a scriptedDiscovery has read. It gets no answer until the test sends one.
type receivedCall struct {
	target string // the path and the query
	conn   net.Conn
}

// answer sends a response with status 200 and the given body.
func (a receivedCall) answer(body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// scriptedDiscovery is a discovery service whose answers the test sends, and a client of the service. The
// client has version 40 of the list, and its clock is advanced by advanceClock.
type scriptedDiscovery struct {
	calls   chan receivedCall
	changes chan proxy.WatchEvent
	loop    *netio.Loop
	client  *Client
	now     atomic.Int64
}

// advanceClock advances the client's clock by d.
func (s *scriptedDiscovery) advanceClock(d time.Duration) {
	s.now.Add(int64(d))
	s.loop.Post(func() {})
}

// settle waits until the loop has run the tasks and timers that are due.
func (s *scriptedDiscovery) settle() {
	done := make(chan struct{})
	s.loop.Post(func() {})
	s.loop.Post(func() { close(done) })
	<-done
}

// newScriptedDiscovery starts a scripted discovery service and its client. The client makes no call until
// the test makes it watch or fetch the list. The client's clock starts at 1e18 ns.
func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	s := &scriptedDiscovery{calls: make(chan receivedCall, 64), changes: make(chan proxy.WatchEvent, 64)}
	s.now.Store(1e18)
	ln := listen(t)
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			t.Cleanup(func() { conn.Close() })
			go func() {
				for in := bufio.NewScanner(conn); in.Scan(); {
					if fields := strings.Fields(in.Text()); len(fields) > 1 && fields[0] == "GET" {
						s.calls <- receivedCall{fields[1], conn}
					}
				}
			}()
		}
	}()
	s.loop = netio.NewLoopAt(s.now.Load)
	netiotest.Run(t, s.loop)
	s.client = NewClient(s.loop, netio.NewDialer(s.loop, 4), Options{Address: ln.Addr().String(), ProxyCount: 3, Revision: 40, Notify: func(ch proxy.WatchEvent) { s.changes <- ch }})
	return s
}

// A watch that falls silent is reopened at once. If it were reported as a failure, it would wait for the
// decision module's backoff, which grows with the number of proxies, and changes would arrive late.
func TestASilentWatchIsReopenedAtOnce(t *testing.T) {
	s := newScriptedDiscovery(t)
	s.loop.Post(func() { s.client.WatchList(true) })
	silent := <-s.calls
	s.advanceClock(minWatchTimeout + watchAnswerTimeout)
	again := <-s.calls
	if silent.target != again.target || silent.conn == again.conn {
		t.Errorf("the client called %s, then %s, on the same connection: %t; want the same target on another connection",
			silent.target, again.target, silent.conn == again.conn)
	}
	again.answer(`{"rev":41,"all":false,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.changes; ch.Kind != balancer.ListDelta || ch.Version != 41 {
		t.Fatalf("the client reported %+v, want a change with version 41", ch)
	}
	// A second consecutive silence is a failure, after which the decision module decides when to watch again.
	for range 2 {
		<-s.calls
		s.advanceClock(minWatchTimeout + watchAnswerTimeout)
	}
	if ch := <-s.changes; ch.Kind != balancer.ListFailed || len(s.calls) > 0 {
		t.Errorf("the client reported %+v and made %d more calls, want a failure and no more calls", ch, len(s.calls))
	}
}

// Two calls are in flight, and the older answer arrives last. The older answer must not undo the newer one.
func TestAnOlderAnswerThatComesLastChangesNothing(t *testing.T) {
	s := newScriptedDiscovery(t)
	s.loop.Post(func() { s.client.WatchList(true); s.client.FetchList() })
	watch, fetch := <-s.calls, <-s.calls
	if !strings.Contains(watch.target, "from=") {
		watch, fetch = fetch, watch
	}
	watch.answer(`{"rev":43,"all":false,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.changes; ch.Version != 43 || len(ch.Hosts) != 1 {
		t.Fatalf("the client reported %+v, want version 43 with one host", ch)
	}
	fetch.answer(`{"rev":41,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"up"}]}`)
	if ch := <-s.changes; ch.Kind != balancer.ListDelta || len(ch.Hosts) != 0 {
		t.Errorf("the client reported %+v after the older answer, want an empty change", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=43") {
		t.Errorf("the next call is %s, want one with from=43", next.target)
	}
}

// A service restarts its versions and answers with a change only. The client accepts the lower version, and
// fetches the complete list, since it has no list to which that change applies.
func TestAVersionThatGoesBackwards(t *testing.T) {
	s := newScriptedDiscovery(t)
	s.loop.Post(func() { s.client.WatchList(true) })
	(<-s.calls).answer(`{"rev":2,"all":false,"targets":[]}`)
	fullListCall := <-s.calls
	if fullListCall.target != hostsPath {
		t.Fatalf("the client called %s, want %s", fullListCall.target, hostsPath)
	}
	fullListCall.answer(`{"rev":3,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"up"}]}`)
	<-s.changes // the first answer of a watch is passed on even if it is empty
	if ch := <-s.changes; ch.Kind != balancer.ListFull || ch.Version != 3 {
		t.Errorf("the client reported %+v, want the complete list with version 3", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=3") {
		t.Errorf("the next call is %s, want one with from=3", next.target)
	}
}

// A new discovery service that takes 1.9 s for each call is called once. Calls that time out and are repeated
// would keep it busy with answers that the client discards.
func TestASlowDiscoveryIsNotCalledAgain(t *testing.T) {
	s := newScriptedDiscovery(t)
	addr := s.client.address
	s.loop.Post(func() { s.client.address = "127.0.0.1:1"; s.client.Redirect(addr) })
	fullListCall := <-s.calls
	s.advanceClock(1900 * time.Millisecond)
	fullListCall.answer(`{"rev":5,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.changes; ch.Kind != balancer.ListFull || ch.Version != 5 {
		t.Fatalf("the client reported %+v, want the complete list with version 5", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=5") {
		t.Errorf("the next call is %s, want one with from=5: the client repeated the call before the answer", next.target)
	}
	// A discovery service that never answers is called again before its list counts as received late.
	s.loop.Post(func() { s.client.address = "127.0.0.1:1"; s.client.Redirect(addr) })
	<-s.calls
	s.advanceClock(fullListTimeout)
	s.settle()
	s.advanceClock(redirectRetryPause)
	if again := <-s.calls; again.target != hostsPath {
		t.Errorf("the client called %s, want %s", again.target, hostsPath)
	}
}
