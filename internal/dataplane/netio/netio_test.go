package netio

import (
	"bytes"
	"io"
	"math/rand"
	"net"
	"testing"
	"time"
)

// peer is a handler that passes on what happens; every call comes on the loop.
type peer struct {
	data   func(c *Conn)
	closed chan *Error
}

func (p *peer) Data(c *Conn)               { p.data(c) }
func (p *peer) Writable(c *Conn)           { p.data(c) }
func (p *peer) Closed(c *Conn, err *Error) { p.closed <- err }

// attachedLoop is a loop with its sockets that nothing runs yet.
func attachedLoop(t *testing.T) *Loop {
	t.Helper()
	l := NewLoop()
	if err := Attach(l); err != nil {
		t.Fatal(err)
	}
	return l
}

// runningLoop runs a loop with its sockets until the test ends.
func runningLoop(t *testing.T) *Loop {
	t.Helper()
	l := attachedLoop(t)
	start(t, l)
	return l
}

// start runs a loop until the test ends, and waits for its end then: netpoll has one poller for the process, which two loops must not use.
func start(t *testing.T, l *Loop) {
	t.Helper()
	go l.Run()
	t.Cleanup(func() {
		l.Stop()
		select {
		case <-l.ended:
		case <-time.After(20 * time.Second):
			t.Error("the loop has not ended")
		}
	})
}

// bindListener is a listener on a free port.
func bindListener(t *testing.T) *Listener {
	t.Helper()
	n, err := Bind("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// greet answers each connection with a line and finishes it.
func greet(c *Conn) Handler {
	c.FinishWith([]byte("here\r\n"))
	return discardingHandler{}
}

// serve listens on a running loop; connections are handled by data.
func serve(t *testing.T, data func(c *Conn)) (*Loop, string, chan *Error) {
	t.Helper()
	return serveOn(t, NewLoop(), data)
}

// serveOn is serve on a loop of the test's.
func serveOn(t *testing.T, l *Loop, data func(c *Conn)) (*Loop, string, chan *Error) {
	t.Helper()
	if err := Attach(l); err != nil {
		t.Fatal(err)
	}
	closed := make(chan *Error, 8)
	addr, err := Listen(l, "127.0.0.1:0", 4096, func(*Conn) Handler { return &peer{data, closed} })
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)
	return l, addr.String(), closed
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// A client that sends and does not read is stopped and not buffered without limit, and loses nothing when it reads at last.
func TestBackPressure(t *testing.T) {
	stopped := make(chan struct{}, 1000)
	maxBuffered := 0
	_, addr, closed := serve(t, func(c *Conn) {
		for len(c.Input()) > 0 && c.Write(c.Input()[:min(1024, len(c.Input()))]) {
			c.Consume(min(1024, len(c.Input())))
		}
		maxBuffered = max(maxBuffered, len(c.Input()))
		if c.Blocked() && len(c.Input()) >= c.inputLimit/2 { // from here on a pause lasts
			select {
			case stopped <- struct{}{}:
			default:
			}
		}
	})
	sent := make([]byte, 16<<20)
	rand.New(rand.NewSource(1)).Read(sent)
	c := dial(t, addr)
	go c.Write(sent)
	<-stopped
	got, err := io.ReadAll(io.LimitReader(c, int64(len(sent))))
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("%d of %d bytes came back: %v", len(got), len(sent), err)
	}
	c.Close()
	if err := <-closed; err.Cause != Ended {
		t.Errorf("ended by %v", err)
	}
	if maxBuffered > 4096+inputOvershoot {
		t.Fatalf("%d bytes were buffered", maxBuffered)
	}
}

// netpoll reports an end and a reset alike; they are passed on as what they are.
func TestHowPeersEnd(t *testing.T) {
	_, addr, closed := serve(t, func(c *Conn) { c.Write(c.Input()); c.Consume(len(c.Input())) })
	for _, want := range []Cause{Ended, Broken} {
		c := dial(t, addr)
		c.Write([]byte("x"))
		io.ReadFull(c, make([]byte, 1))
		if want == Broken {
			c.SetLinger(0)
		}
		c.Close()
		if err := <-closed; err.Cause != want {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}

func TestPanicStopsAtItsConnection(t *testing.T) {
	_, addr, closed := serve(t, func(c *Conn) {
		if string(c.Input()) == "p" {
			panic("on purpose")
		}
		c.Write(c.Input())
	})
	panicking, other := dial(t, addr), dial(t, addr)
	panicking.Write([]byte("p"))
	if err := <-closed; err.Cause != EndedLocally {
		t.Fatal(err)
	}
	other.Write([]byte("g"))
	if _, err := io.ReadFull(other, make([]byte, 1)); err != nil {
		t.Fatal("another connection ended:", err)
	}
}

func TestDial(t *testing.T) {
	l, addr, _ := serve(t, func(c *Conn) { c.Write(c.Input()); c.Consume(len(c.Input())) })
	d := NewDialer(l, 4)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closedListener.Addr().String()
	closedListener.Close()
	results := make(chan string, 8)
	handler := &peer{data: func(c *Conn) { results <- string(c.Input()); c.Close() }}
	l.Post(func() {
		d.Dial(addr, time.Minute, 4096, handler, func(*Conn, *Error) { results <- "dropped, yet notified" }).Cancel()
		d.Dial(refusing, time.Minute, 4096, handler, func(c *Conn, err *Error) {
			results <- err.Error()[:len("refused while connecting")]
			d.Dial(addr, time.Minute, 4096, handler, func(c *Conn, err *Error) { c.Write([]byte("hello")) })
		})
	})
	for _, want := range []string{"refused while connecting", "hello"} {
		if got := <-results; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Dials to an address that does not answer leave dialers to the others.
func TestVanishedHostLeavesDialers(t *testing.T) {
	d := &Dialer{loop: NewLoop(), dialsPerAddress: map[string]int{"vanished": 1}, maxPerAddress: 1}
	for _, addr := range []string{"vanished", "vanished", "alive"} {
		d.waiting = append(d.waiting, &Dial{dialer: d, addr: addr})
	}
	if q := d.nextDial(); q.addr != "alive" || len(d.waiting) != 2 {
		t.Fatalf("next is %s, %d wait", q.addr, len(d.waiting))
	}
}

func TestLoopOrder(t *testing.T) {
	now := int64(0)
	l := NewLoopAt(func() int64 { return now })
	got := ""
	l.After(2, func() { got += "c" })
	l.After(1, func() { got += "a"; l.Post(func() { got += "b" }) })
	l.After(1, func() { got += "x" }).Stop()
	now = 1
	l.RunPending()
	now = 2
	if l.RunPending(); got != "abc" {
		t.Fatal(got)
	}
}

// FuzzBuffer compares the buffer with a plain slice over random steps.
func FuzzBuffer(f *testing.F) {
	f.Add([]byte{1, 200, 0, 30, 255, 0, 9}, int64(1))
	f.Add(bytes.Repeat([]byte{250, 3}, 50), int64(2))
	f.Fuzz(func(t *testing.T, steps []byte, seed int64) {
		rng := rand.New(rand.NewSource(seed))
		b := NewBuffer(2000)
		var want []byte
		for _, s := range steps {
			if s%2 == 0 {
				n := min(int(s)*3, len(want))
				want = want[n:]
				b.Consume(n)
			} else {
				p := make([]byte, int(s)*3)
				rng.Read(p)
				want = append(want, p[:b.Append(p)]...)
			}
			if !bytes.Equal(b.Bytes(), want) || len(want) > 2000 || cap(b.data) > 2000 {
				t.Fatalf("buffers %d bytes in %d, want %d", b.Len(), cap(b.data), len(want))
			}
		}
	})
}
