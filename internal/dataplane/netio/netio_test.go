package netio

import (
	"bytes"
	"io"
	"math/rand"
	"net"
	"testing"
	"time"
)

// funcHandler is a handler that calls data for Data and Writable, and sends the error of Closed to closed.
type funcHandler struct {
	data   func(c *Conn)
	closed chan *Error
}

func (p *funcHandler) Data(c *Conn)               { p.data(c) }
func (p *funcHandler) Writable(c *Conn)           { p.data(c) }
func (p *funcHandler) Closed(c *Conn, err *Error) { p.closed <- err }

// attachedLoop returns a loop that is attached to the poller and does not run yet.
func attachedLoop(t *testing.T) *Loop {
	t.Helper()
	l := NewLoop()
	if err := Attach(l); err != nil {
		t.Fatal(err)
	}
	return l
}

// runningLoop returns a loop that is attached to the poller and runs until the test ends.
func runningLoop(t *testing.T) *Loop {
	t.Helper()
	l := attachedLoop(t)
	start(t, l)
	return l
}

// start runs l until the test ends, then awaits l's stop: no two loops may use the process's one poller.
func start(t *testing.T, l *Loop) {
	t.Helper()
	go l.Run()
	t.Cleanup(func() {
		l.Stop()
		select {
		case <-l.ended:
		case <-time.After(20 * time.Second):
			t.Error("the loop has not stopped within 20 s")
		}
	})
}

// bindListener returns a listener on a free port.
func bindListener(t *testing.T) *Listener {
	t.Helper()
	n, err := Bind("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// greet sends the line "here" on each accepted connection and finishes the connection.
func greet(c *Conn) Handler {
	c.FinishWith([]byte("here\r\n"))
	return discardingHandler{}
}

// serve listens on a new running loop and calls data for the input of each connection. It returns the loop,
// the address, and a channel that receives the errors with which connections end.
func serve(t *testing.T, data func(c *Conn)) (*Loop, string, chan *Error) {
	t.Helper()
	return serveOn(t, NewLoop(), data)
}

// serveOn does what serve does, on the loop l, which it starts.
func serveOn(t *testing.T, l *Loop, data func(c *Conn)) (*Loop, string, chan *Error) {
	t.Helper()
	if err := Attach(l); err != nil {
		t.Fatal(err)
	}
	closed := make(chan *Error, 8)
	addr, err := Listen(l, "127.0.0.1:0", 4096, func(*Conn) Handler { return &funcHandler{data, closed} })
	if err != nil {
		t.Fatal(err)
	}
	start(t, l)
	return l, addr.String(), closed
}

// dial connects to addr. The connection is closed when the test ends.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// A client that sends without reading must not fill the memory, and none of its bytes may be lost.
func TestBackPressure(t *testing.T) {
	stopped := make(chan struct{}, 1000)
	maxBuffered := 0
	_, addr, closed := serve(t, func(c *Conn) {
		for len(c.Input()) > 0 && c.Write(c.Input()[:min(1024, len(c.Input()))]) {
			c.Consume(min(1024, len(c.Input())))
		}
		maxBuffered = max(maxBuffered, len(c.Input()))
		if c.Blocked() && len(c.Input()) >= c.inputLimit/2 { // reading stays paused from here on
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
		t.Errorf("the echo has %d bytes and the error %v; want the %d bytes sent", len(got), err, len(sent))
	}
	c.Close()
	if err := <-closed; err.Cause != Ended {
		t.Errorf("the connection ended with %v, want cause %v", err, Ended)
	}
	if maxBuffered > 4096+inputOvershoot {
		t.Fatalf("up to %d bytes of input were buffered, want at most %d", maxBuffered, 4096+inputOvershoot)
	}
}

// netpoll does not distinguish an orderly end from a reset. Closed must get the cause nevertheless.
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
			t.Errorf("the connection ended with %v, want cause %v", err, want)
		}
	}
}

// A panic of a handler ends its own connection and no other.
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
		t.Fatalf("the connection ended with %v, want cause %v", err, EndedLocally)
	}
	other.Write([]byte("g"))
	if _, err := io.ReadFull(other, make([]byte, 1)); err != nil {
		t.Fatal("another connection ended:", err)
	}
}

// A cancelled dial does not call done, a refused one reports the refusal, an established one delivers input.
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
	handler := &funcHandler{data: func(c *Conn) { results <- string(c.Input()); c.Close() }}
	l.Post(func() {
		d.Dial(addr, time.Minute, 4096, handler, func(*Conn, *Error) { results <- "done called after Cancel" }).Cancel()
		d.Dial(refusing, time.Minute, 4096, handler, func(c *Conn, err *Error) {
			results <- err.Error()[:len("refused while connecting")]
			d.Dial(addr, time.Minute, 4096, handler, func(c *Conn, err *Error) { c.Write([]byte("hello")) })
		})
	})
	for _, want := range []string{"refused while connecting", "hello"} {
		if got := <-results; got != want {
			t.Errorf("next result is %q, want %q", got, want)
		}
	}
}

// Dials to an address that does not answer must leave goroutines of the dialer to dials to other addresses.
func TestVanishedHostLeavesDialers(t *testing.T) {
	d := &Dialer{loop: NewLoop(), dialsPerAddress: map[string]int{"vanished": 1}, maxPerAddress: 1}
	for _, addr := range []string{"vanished", "vanished", "alive"} {
		d.waiting = append(d.waiting, &Dial{dialer: d, addr: addr})
	}
	if q := d.nextDial(); q.addr != "alive" || len(d.waiting) != 2 {
		t.Fatalf("nextDial returned a dial to %q and left %d waiting, want \"alive\" and 2", q.addr, len(d.waiting))
	}
}

// Timers run in the order in which they are due, posted tasks before later timers, and stopped timers never.
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
		t.Fatalf("calls ran in the order %q, want \"abc\"", got)
	}
}

// FuzzBuffer compares a Buffer with a plain slice over random steps.
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
				t.Fatalf("the buffer holds %d bytes with capacity %d, want the %d expected bytes and at most 2000", b.Len(), cap(b.data), len(want))
			}
		}
	})
}
