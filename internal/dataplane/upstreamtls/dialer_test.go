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

// openLine opens a request at a fake server, which answers with upLine.
const openLine = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=c,d=2000\r\n"

// TestLinesAndReuse checks that lines pass in both directions and that later connections resume the session.
func TestLinesAndReuse(t *testing.T) {
	e := newEnv(t, nil)
	s := e.newServer(nil)
	for i := range 3 {
		c := e.openRequest(s.Addr())
		c.write("M 1\r\n")
		c.read("GOT M 1\r\n")
		e.onLoop(func() {
			if l := c.netConn.Layer().(*session); l.resumed != (i > 0) || l.Buffered() != 0 || time.Until(l.Expires()) < 50*time.Minute {
				t.Errorf("connection %d: resumed %t, %d bytes buffered, expires %v; want resumed %t, 0 bytes, more than 50 min from now", i, l.resumed, l.Buffered(), l.Expires(), i > 0)
			}
			c.netConn.Close()
		})
	}
	if h := s.Handshakes(); len(h) != 3 || h[0].Resumed || !h[2].Resumed {
		t.Errorf("the server saw handshakes %v, want 3, of which the last is resumed and the first is not", h)
	}
}

// TestEnds checks that only TLS's own end, which only the peer can send, counts as an orderly end. Anyone
// on the path can end the TCP connection.
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
	for i, x := range []struct {
		end      func(raw net.Conn, s *tls.Conn)
		want     netio.Cause
		lastLine string // received before the end
	}{
		{func(raw net.Conn, s *tls.Conn) { io.WriteString(s, "BYE\r\n"); s.Close() }, netio.Ended, "BYE\r\n"},
		{func(raw net.Conn, s *tls.Conn) { io.WriteString(s, "BYE\r\n"); raw.Close() }, netio.Broken, "BYE\r\n"},
		{func(raw net.Conn, s *tls.Conn) { raw.(*net.TCPConn).SetLinger(0); raw.Close() }, netio.Broken, ""},
		{func(raw net.Conn, s *tls.Conn) {
			raw.Write([]byte("\x17\x03\x03\x00\x20 this is no record of this connection"))
		}, netio.Broken, ""},
	} {
		endings <- x.end
		c := e.dial(l.Addr().String(), 5*time.Second)
		if c.err != nil {
			t.Fatal(c.err)
		}
		c.write(openLine)
		c.read(x.lastLine)
		if err := c.ended(); err.Cause != x.want || err.Stage != netio.Up {
			t.Errorf("ending %d: connection ended by %v, want cause %v at stage %v", i, err, x.want, netio.Up)
		}
	}
}

// TestCancel checks that a dial cancelled during its handshake leaves nothing behind, and that done is not
// called.
func TestCancel(t *testing.T) {
	e := newEnv(t, nil)
	bad, err := fake.NewBadServer(fake.Fault{Kind: "silent", Serve: func(c net.Conn, _ *tls.Config) { io.Copy(io.Discard, c) }}, e.pki)
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	var cancels []func()
	e.onLoop(func() {
		for range 30 {
			cancels = append(cancels, e.dialer.Dial(Host{"s1", "a", bad.Addr()}, time.Hour, 4096, &conn{},
				func(*netio.Conn, *netio.Error) { t.Error("done was called after the dial was cancelled") }))
		}
	})
	for end := time.Now().Add(5 * time.Second); bad.Connections.Load() < int64(e.options.Handshakes.MaxInFlightPerHost) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	e.onLoop(func() {
		for _, cancel := range cancels {
			cancel()
		}
	})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		left := 0
		e.onLoop(func() { left = e.dialer.budget.InFlight() + e.dialer.budget.Waiting() + len(e.dialer.dials) })
		if left == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d dials and handshakes are left 5 s after they were cancelled, want 0", left)
		}
	}
}

// TestNoBudget checks that a dial for which the handshake budget has no capacity in time fails at once,
// and not at its deadline.
func TestNoBudget(t *testing.T) {
	e := newEnv(t, func(e *env) {
		e.options.Handshakes = handshake.Limits{HostRate: 1, MaxInFlight: 2, Burst: time.Millisecond, MaxQueued: 100}
	})
	s := e.newServer(nil)
	if c := e.dial(s.Addr(), 5*time.Second); c.err != nil {
		t.Fatal(c.err)
	}
	e.onLoop(func() { e.dialer.cache.removeOtherEpochs(0) }) // removes all sessions: the files have epoch 1
	began := time.Now()
	if c := e.dial(s.Addr(), 500*time.Millisecond); c.reason() != NoBudget || time.Since(began) > 400*time.Millisecond {
		t.Errorf("dial without budget failed with %v after %v, want %q within 400 ms", c.err, time.Since(began), NoBudget)
	}
}
