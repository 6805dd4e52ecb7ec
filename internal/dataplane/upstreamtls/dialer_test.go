package upstreamtls

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/testbed/fake"
)

const openLine = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=c,d=2000\r\n"

func TestLinesAndReuse(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	for i := range 3 {
		c := e.openRequest(s.Addr())
		c.write("M 1\r\n")
		c.read("GOT M 1\r\n")
		e.onLoop(func() {
			if l := c.c.Layer().(*session); l.resumed != (i > 0) || l.Buffered() != 0 || time.Until(l.Expires()) < 50*time.Minute {
				t.Errorf("connection %d: resumed %t, buffers %d, ends %v", i, l.resumed, l.Buffered(), l.Expires())
			}
			c.c.Close()
		})
	}
	if h := s.Handshakes(); len(h) != 3 || h[0].Resumed || !h[2].Resumed {
		t.Errorf("the server saw %v", h)
	}
}

// The layer's own end can only come from the peer; the end of the socket alone can come from anybody.
func TestEnds(t *testing.T) {
	e := newEnv(t, nil)
	config, _ := e.pki.Trusted.NewServerTLSConfig(hostName)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	endings := make(chan func(raw net.Conn, s *tls.Conn), 1)
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			s := tls.Server(raw, config)
			io.ReadFull(s, make([]byte, len(openLine)))
			(<-endings)(raw, s)
		}
	}()
	for _, w := range []struct {
		how  func(raw net.Conn, s *tls.Conn)
		want netio.Cause
		last string
	}{
		{func(raw net.Conn, s *tls.Conn) { io.WriteString(s, "BYE\r\n"); s.Close() }, netio.Ended, "BYE\r\n"},
		{func(raw net.Conn, s *tls.Conn) { io.WriteString(s, "BYE\r\n"); raw.Close() }, netio.Broken, "BYE\r\n"},
		{func(raw net.Conn, s *tls.Conn) { raw.(*net.TCPConn).SetLinger(0); raw.Close() }, netio.Broken, ""},
		{func(raw net.Conn, s *tls.Conn) {
			raw.Write([]byte("\x17\x03\x03\x00\x20 this is no record of this connection"))
		}, netio.Broken, ""},
	} {
		endings <- w.how
		c := e.dial(l.Addr().String(), 5*time.Second)
		if c.err != nil {
			t.Fatal(c.err)
		}
		c.write(openLine)
		c.read(w.last)
		if err := c.ended(); err.Cause != w.want || err.Stage != netio.Up {
			t.Errorf("got %v, want %v", err, w.want)
		}
	}
}

// A drop while the handshake is in flight leaves nothing behind, and done is not called.
func TestDrop(t *testing.T) {
	e := newEnv(t, nil)
	bad, err := fake.NewBadServer(fake.Fault{Kind: "silent", Serve: func(c net.Conn, _ *tls.Config) { io.Copy(io.Discard, c) }}, e.pki)
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	var drops []func()
	e.onLoop(func() {
		for range 30 {
			drops = append(drops, e.dialer.Dial(Host{"s1", "a", bad.Addr()}, time.Hour, 4096, &conn{},
				func(*netio.Conn, *netio.Error) { t.Error("done was called") }))
		}
	})
	for end := time.Now().Add(5 * time.Second); bad.Connections.Load() < int64(e.opt.Handshakes.MaxInFlightPerHost) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	e.onLoop(func() {
		for _, d := range drops {
			d()
		}
	})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		left := 0
		e.onLoop(func() { left = e.dialer.budget.InFlight() + e.dialer.budget.Waiting() + len(e.dialer.dials) })
		if left == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d handshakes are left", left)
		}
	}
}

// What the budget has no capacity for fails at once, not when its time is up.
func TestNoBudget(t *testing.T) {
	e := newEnv(t, func(e *env) {
		e.opt.Handshakes = handshake.Limits{HostRate: 1, MaxInFlight: 2, Burst: time.Millisecond, MaxQueued: 100}
	})
	s := e.newServer(nil)
	if c := e.dial(s.Addr(), 5*time.Second); c.err != nil {
		t.Fatal(c.err)
	}
	e.onLoop(func() { e.dialer.cache.removeOtherEpochs(0) })
	began := time.Now()
	if c := e.dial(s.Addr(), 500*time.Millisecond); c.reason() != NoBudget || time.Since(began) > 400*time.Millisecond {
		t.Errorf("%v after %v", c.err, time.Since(began))
	}
}
