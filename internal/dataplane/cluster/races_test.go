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
	"croftlock/internal/dataplane/proxy"
)

// asked is a call that a scripted discovery has read. It stays without an answer until the test gives one.
type asked struct {
	target string
	conn   net.Conn
}

func (a asked) answer(body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// script is a discovery whose answers the test gives, and a client of it that holds version 40, on a clock that the test moves.
type script struct {
	calls  chan asked
	told   chan proxy.Change
	loop   *netio.Loop
	client *Client
	now    atomic.Int64
}

// pass moves the client's clock.
func (s *script) pass(d time.Duration) {
	s.now.Add(int64(d))
	s.loop.Post(func() {})
}

// settle waits until the loop has done what is due.
func (s *script) settle() {
	done := make(chan struct{})
	s.loop.Post(func() {})
	s.loop.Post(func() { close(done) })
	<-done
}

func scripted(t *testing.T) *script {
	s := &script{calls: make(chan asked, 64), told: make(chan proxy.Change, 64)}
	s.now.Store(1e18)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			t.Cleanup(func() { conn.Close() })
			go func() {
				for in := bufio.NewScanner(conn); in.Scan(); {
					if words := strings.Fields(in.Text()); len(words) > 1 && words[0] == "GET" {
						s.calls <- asked{words[1], conn}
					}
				}
			}()
		}
	}()
	s.loop = netio.NewLoopAt(s.now.Load)
	if err := netio.Attach(s.loop); err != nil {
		t.Fatal(err)
	}
	go s.loop.Run()
	t.Cleanup(s.loop.Stop)
	s.client = NewClient(s.loop, netio.NewDialer(s.loop, 4), Options{Address: ln.Addr().String(), Sharing: 3, Revision: 40, Notify: func(ch proxy.Change) { s.told <- ch }})
	return s
}

// A watch that had fallen silent was told as a failure, and asked for again after the module's pause, which grows with the fleet: in one
// of thirty proxies what the watch had missed was heard 0.7 s after it counted as told.
func TestASilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	s := scripted(t)
	s.loop.Post(func() { s.client.WatchList(true) })
	silent := <-s.calls
	s.pass(minWatchTimeout + watchAnswerTimeout)
	again := <-s.calls
	if silent.target != again.target || silent.conn == again.conn {
		t.Errorf("called %s, then %s (same connection: %t)", silent.target, again.target, silent.conn == again.conn)
	}
	again.answer(`{"rev":41,"all":false,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.told; ch.Kind != balancer.ListDelta || ch.Version != 41 {
		t.Fatalf("told %+v", ch)
	}
	// Silence twice in a row is a failure; the module decides when to ask again.
	for range 2 {
		<-s.calls
		s.pass(minWatchTimeout + watchAnswerTimeout)
	}
	if ch := <-s.told; ch.Kind != balancer.ListFailed || len(s.calls) > 0 {
		t.Errorf("told %+v, %d calls more", ch, len(s.calls))
	}
}

// Two calls are out at once, and the answer that is older comes last: it must not undo the newer one.
func TestAnOlderAnswerThatComesLastTellsNothing(t *testing.T) {
	s := scripted(t)
	s.loop.Post(func() { s.client.WatchList(true); s.client.FetchList() })
	watch, fetch := <-s.calls, <-s.calls
	if !strings.Contains(watch.target, "from=") {
		watch, fetch = fetch, watch
	}
	watch.answer(`{"rev":43,"all":false,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.told; ch.Version != 43 || len(ch.Hosts) != 1 {
		t.Fatalf("told %+v", ch)
	}
	fetch.answer(`{"rev":41,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"up"}]}`)
	if ch := <-s.told; ch.Kind != balancer.ListDelta || len(ch.Hosts) != 0 {
		t.Errorf("told %+v", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=43") {
		t.Errorf("then called %s", next.target)
	}
}

// A service that begins its versions anew is believed; a difference from a version that it never gave is no list to go on from.
func TestAVersionThatGoesBackwards(t *testing.T) {
	s := scripted(t)
	s.loop.Post(func() { s.client.WatchList(true) })
	(<-s.calls).answer(`{"rev":2,"all":false,"targets":[]}`)
	whole := <-s.calls
	if whole.target != hostsPath {
		t.Fatalf("called %s", whole.target)
	}
	whole.answer(`{"rev":3,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"up"}]}`)
	<-s.told // the first answer of a watch is told even if it is empty
	if ch := <-s.told; ch.Kind != balancer.ListFull || ch.Version != 3 {
		t.Errorf("told %+v", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=3") {
		t.Errorf("then called %s", next.target)
	}
}

// A new discovery that takes 1.9 s for each call is asked once. Given up after 1.2 s and made anew, the calls of six proxies kept such a
// service busy with what nobody waited for, and their lists came 9 s after the redirect, when hosts had drained for 7 s.
func TestASlowDiscoveryIsNotAskedAgain(t *testing.T) {
	s := scripted(t)
	addr := s.client.address
	s.loop.Post(func() { s.client.address = "127.0.0.1:1"; s.client.Redirect(addr) })
	whole := <-s.calls
	s.pass(1900 * time.Millisecond)
	whole.answer(`{"rev":5,"all":true,"targets":[{"uid":"s","endpoint":"h:1","state":"draining"}]}`)
	if ch := <-s.told; ch.Kind != balancer.ListFull || ch.Version != 5 {
		t.Fatalf("told %+v", ch)
	}
	if next := <-s.calls; !strings.Contains(next.target, "from=5") {
		t.Errorf("called %s before the answer had come", next.target)
	}
	// One that never answers is asked again, sooner than what it has to tell counts as told.
	s.loop.Post(func() { s.client.address = "127.0.0.1:1"; s.client.Redirect(addr) })
	<-s.calls
	s.pass(fullListTimeout)
	s.settle()
	s.pass(redirectRetryPause)
	if again := <-s.calls; again.target != hostsPath {
		t.Errorf("called %s", again.target)
	}
}
