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

// receivedCall is a call that a scripted discovery has read. It stays without an answer until the test gives one.
type receivedCall struct {
	target string
	conn   net.Conn
}

func (a receivedCall) answer(body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// scriptedDiscovery is a discovery whose answers the test gives, and a client of it that holds version 40, on a clock that the test moves.
type scriptedDiscovery struct {
	calls   chan receivedCall
	changes chan proxy.WatchEvent
	loop    *netio.Loop
	client  *Client
	now     atomic.Int64
}

// advanceClock moves the client's clock.
func (s *scriptedDiscovery) advanceClock(d time.Duration) {
	s.now.Add(int64(d))
	s.loop.Post(func() {})
}

// settle waits until the loop has done what is due.
func (s *scriptedDiscovery) settle() {
	done := make(chan struct{})
	s.loop.Post(func() {})
	s.loop.Post(func() { close(done) })
	<-done
}

// newScriptedDiscovery starts a newScriptedDiscovery discovery and its client.
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

// A watch that falls silent is reopened at once. Reported as a failure it would wait for the decision module's backoff, which grows with
// the fleet, and what it missed would come late.
func TestASilentWatchIsReopenedAtOnce(t *testing.T) {
	s := newScriptedDiscovery(t)
	s.loop.Post(func() { s.client.WatchList(true) })
	silent := <-s.calls
	s.advanceClock(minWatchTimeout + watchAnswerTimeout)
	again := <-s.calls
	if silent.target != again.target || silent.conn == again.conn {
		t.Errorf("called %s, then %s (same connection: %t)", silent.target, again.target, silent.conn == again.conn)
	}
	again.answer(`{"rev":41,"all":false,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.changes; ch.Kind != balancer.ListDelta || ch.Version != 41 {
		t.Fatalf("the client notifies of %+v", ch)
	}
	// Silence twice in a row is a failure; the decision module decides when to poll again.
	for range 2 {
		<-s.calls
		s.advanceClock(minWatchTimeout + watchAnswerTimeout)
	}
	if ch := <-s.changes; ch.Kind != balancer.ListFailed || len(s.calls) > 0 {
		t.Errorf("the client notifies of %+v, and makes %d more calls", ch, len(s.calls))
	}
}

// Two calls are out at once, and the answer that is older comes last: it must not undo the newer one.
func TestAnOlderAnswerThatComesLastChangesNothing(t *testing.T) {
	s := newScriptedDiscovery(t)
	s.loop.Post(func() { s.client.WatchList(true); s.client.FetchList() })
	watch, fetch := <-s.calls, <-s.calls
	if !strings.Contains(watch.target, "from=") {
		watch, fetch = fetch, watch
	}
	watch.answer(`{"rev":43,"all":false,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.changes; ch.Version != 43 || len(ch.Hosts) != 1 {
		t.Fatalf("the client notifies of %+v", ch)
	}
	fetch.answer(`{"rev":41,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"up"}]}`)
	if ch := <-s.changes; ch.Kind != balancer.ListDelta || len(ch.Hosts) != 0 {
		t.Errorf("the client notifies of %+v", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=43") {
		t.Errorf("then called %s", next.target)
	}
}

// A service that restarts its versions is believed; a difference from a version that it never gave is no list to go on from.
func TestAVersionThatGoesBackwards(t *testing.T) {
	s := newScriptedDiscovery(t)
	s.loop.Post(func() { s.client.WatchList(true) })
	(<-s.calls).answer(`{"rev":2,"all":false,"targets":[]}`)
	fullListCall := <-s.calls
	if fullListCall.target != hostsPath {
		t.Fatalf("called %s", fullListCall.target)
	}
	fullListCall.answer(`{"rev":3,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"up"}]}`)
	<-s.changes // the first answer of a watch is passed on even if it is empty
	if ch := <-s.changes; ch.Kind != balancer.ListFull || ch.Version != 3 {
		t.Errorf("the client notifies of %+v", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=3") {
		t.Errorf("then called %s", next.target)
	}
}

// A new discovery that takes 1.9 s for each call is called once: calls that are abandoned and repeated would keep it busy with answers that
// nobody waits for.
func TestASlowDiscoveryIsNotCalledAgain(t *testing.T) {
	s := newScriptedDiscovery(t)
	addr := s.client.address
	s.loop.Post(func() { s.client.address = "127.0.0.1:1"; s.client.Redirect(addr) })
	fullListCall := <-s.calls
	s.advanceClock(1900 * time.Millisecond)
	fullListCall.answer(`{"rev":5,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.changes; ch.Kind != balancer.ListFull || ch.Version != 5 {
		t.Fatalf("the client notifies of %+v", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=5") {
		t.Errorf("called %s before the answer had come", next.target)
	}
	// One that never answers is called again, before its list counts as received late.
	s.loop.Post(func() { s.client.address = "127.0.0.1:1"; s.client.Redirect(addr) })
	<-s.calls
	s.advanceClock(fullListTimeout)
	s.settle()
	s.advanceClock(redirectRetryPause)
	if again := <-s.calls; again.target != hostsPath {
		t.Errorf("called %s", again.target)
	}
}
