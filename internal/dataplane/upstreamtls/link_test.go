package upstreamtls

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/testbed/fake"
)

const open = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=c,d=2000\r\n"

func TestLinesAndReuse(t *testing.T) {
	b := newBench(t, nil)
	s := b.server(nil)
	for i := range 3 {
		c := b.dial(s.Addr(), 5*time.Second)
		if c.err != nil {
			t.Fatal(c.err)
		}
		c.write(open)
		c.read(up)
		c.write("M 1\r\n")
		c.read("GOT M 1\r\n")
		b.on(func() {
			if l := c.c.Layer().(*session); l.resumed != (i > 0) || l.Buffered() != 0 || time.Until(l.Expires()) < 50*time.Minute {
				t.Errorf("connection %d: resumed %t, holds %d, ends %v", i, l.resumed, l.Buffered(), l.Expires())
			}
			c.c.Close()
		})
	}
	if h := s.Handshakes(); len(h) != 3 || h[0].Resumed || !h[2].Resumed {
		t.Errorf("the server saw %v", h)
	}
}

// The end of the layer is the peer's; the end of the socket alone can be anybody's.
func TestEnds(t *testing.T) {
	b := newBench(t, nil)
	config, _ := b.pki.Trusted.NewServerTLSConfig(name)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	ways := make(chan func(raw net.Conn, s *tls.Conn), 1)
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			s := tls.Server(raw, config)
			io.ReadFull(s, make([]byte, len(open)))
			(<-ways)(raw, s)
		}
	}()
	for _, w := range []struct {
		how  func(raw net.Conn, s *tls.Conn)
		want netio.Cause
		last string
	}{
		{func(raw net.Conn, s *tls.Conn) { io.WriteString(s, "BYE\r\n"); s.Close() }, netio.Ended, "BYE\r\n"},
		{func(raw net.Conn, s *tls.Conn) { io.WriteString(s, "BYE\r\n"); raw.Close() }, netio.Broke, "BYE\r\n"},
		{func(raw net.Conn, s *tls.Conn) { raw.(*net.TCPConn).SetLinger(0); raw.Close() }, netio.Broke, ""},
		{func(raw net.Conn, s *tls.Conn) {
			raw.Write([]byte("\x17\x03\x03\x00\x20 this is no record of this connection"))
		}, netio.Broke, ""},
	} {
		ways <- w.how
		c := b.dial(l.Addr().String(), 5*time.Second)
		if c.err != nil {
			t.Fatal(c.err)
		}
		c.write(open)
		c.read(w.last)
		if err := c.ended(); err.Cause != w.want || err.Stage != netio.Up {
			t.Errorf("got %v, want %v", err, w.want)
		}
	}
}

// More lines than the client takes must wait at the server, not in the memory, sealed or opened.
func TestBackPressureBehindTLS(t *testing.T) {
	b := newBench(t, nil)
	config, _ := b.pki.Trusted.NewServerTLSConfig(name)
	l, _ := tls.Listen("tcp", "127.0.0.1:0", config)
	defer l.Close()
	sent := make([]byte, 8<<20)
	rand.New(rand.NewSource(1)).Read(sent)
	var wrote atomic.Int64
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.(*tls.Conn).NetConn().(*net.TCPConn).SetWriteBuffer(16 << 10) // else the kernel takes megabytes by itself
		for p := sent; len(p) > 0; {
			n := min(len(p), 1000+len(p)%20000)
			m, err := c.Write(p[:n])
			wrote.Add(int64(m))
			if err != nil {
				return
			}
			p = p[n:]
		}
		c.Close()
	}()
	var got []byte
	taking := false
	most := 0
	c := b.dialEating(l.Addr().String(), 5*time.Second, func(n *netio.Conn) {
		most = max(most, len(n.Input())+n.Layer().Buffered())
		if taking {
			k := min(3000, len(n.Input()))
			got = append(got, n.Input()[:k]...)
			n.Consume(k)
		}
	})
	if c.err != nil {
		t.Fatal(c.err)
	}
	last := int64(-1)
	for last != wrote.Load() { // it stands still once everything is full
		last = wrote.Load()
		time.Sleep(150 * time.Millisecond)
	}
	if last > 1<<20 {
		t.Errorf("%d bytes were taken from a server whose lines nobody wants", last)
	}
	var step func()
	step = func() {
		if !c.c.Over() {
			c.eat(c.c)
			b.loop.Post(step)
		}
	}
	b.loop.Post(func() { taking = true; step() })
	if err := c.ended(); err.Cause != netio.Ended {
		t.Errorf("ended by %v", err)
	}
	b.on(func() {
		if !bytes.Equal(got, sent[:len(got)]) || len(sent)-len(got) > 8192 {
			t.Errorf("%d of %d bytes came, equal as far: %t", len(got), len(sent), bytes.Equal(got, sent[:len(got)]))
		}
		if most > 4096+maxSealedBytes+8*kernelBuffer {
			t.Errorf("%d bytes were held", most)
		}
	})
}

// Lines to a server that reads nothing wait in a bounded place, and come whole and in order once it reads.
func TestSlowServer(t *testing.T) {
	b := newBench(t, nil)
	config, _ := b.pki.Trusted.NewServerTLSConfig(name)
	l, _ := tls.Listen("tcp", "127.0.0.1:0", config)
	defer l.Close()
	read := make(chan struct{})
	all := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.(*tls.Conn).Handshake()
		<-read
		text, _ := io.ReadAll(c)
		all <- string(text)
	}()
	c := b.dial(l.Addr().String(), 5*time.Second)
	var want strings.Builder
	refused := false
	b.on(func() {
		for i := 0; !refused && i < 100000; i++ {
			line := fmt.Sprintf("%05d %s\r\n", i, strings.Repeat("x", 1000))
			if refused = !c.c.Write([]byte(line)); !refused {
				want.WriteString(line)
			}
		}
	})
	if !refused || want.Len() > 8<<20 {
		t.Errorf("%d bytes went to a server that reads nothing", want.Len())
	}
	close(read)
	b.on(func() { c.c.Close() })
	if got := <-all; got != want.String() {
		t.Errorf("%d of %d bytes came", len(got), want.Len())
	}
}

// A drop while the handshake is out leaves nothing behind, and done is not called.
func TestDrop(t *testing.T) {
	b := newBench(t, nil)
	bad, err := fake.NewBadServer(fake.Fault{Kind: "silent", Serve: func(c net.Conn, _ *tls.Config) { io.Copy(io.Discard, c) }}, b.pki)
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	var drops []func()
	b.on(func() {
		for range 30 {
			drops = append(drops, b.link.Dial(Host{"s1", "a", bad.Addr()}, time.Hour, 4096, &conn{},
				func(*netio.Conn, *netio.Error) { t.Error("done was called") }))
		}
	})
	for end := time.Now().Add(5 * time.Second); bad.Connections.Load() < int64(b.opt.Handshakes.HostAtOnce) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	b.on(func() {
		for _, d := range drops {
			d()
		}
	})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		left := 0
		b.on(func() { left = b.link.budget.InFlight() + b.link.budget.Waiting() + len(b.link.dials) })
		if left == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d are left", left)
		}
	}
}

// What the budget has no room for fails at once, not when its time is up.
func TestNoBudget(t *testing.T) {
	b := newBench(t, func(b *bench) {
		b.opt.Handshakes = handshake.Limits{HostRate: 1, AtOnce: 2, Burst: time.Millisecond, Queue: 100}
	})
	s := b.server(nil)
	if c := b.dial(s.Addr(), 5*time.Second); c.err != nil {
		t.Fatal(c.err)
	}
	b.on(func() { b.link.cache.keepOnly(0) })
	began := time.Now()
	if c := b.dial(s.Addr(), 500*time.Millisecond); c.reason() != NoBudget || time.Since(began) > 400*time.Millisecond {
		t.Errorf("%v after %v", c.err, time.Since(began))
	}
}
