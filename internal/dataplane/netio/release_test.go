package netio

import (
	"bytes"
	"io"
	"math/rand"
	"testing"
	"time"
)

// echo sends back what has come, as far as the peer takes it.
func echo(c *Conn) {
	for len(c.Input()) > 0 && c.Write(c.Input()[:min(512, len(c.Input()))]) {
		c.Consume(min(512, len(c.Input())))
	}
}

// releaseLoop is a connection that is released and resumed over and over, until it ends.
type releaseLoop struct {
	t        *testing.T
	loop     *Loop
	handler  *peer
	released int
	over     chan ReleasedConn // its last parts
}

// releaseAndResume releases the connection in a moment, and resumes it.
func (r *releaseLoop) releaseAndResume(c *Conn) {
	r.loop.After(time.Millisecond, func() {
		c.Release(func(p ReleasedConn) {
			if p.FD < 0 {
				r.over <- p
				return
			}
			r.released++
			err := Resume(r.loop, p, 4096, r.handler, func(c *Conn) {
				r.releaseAndResume(c)
				r.loop.Post(func() { echo(c) })
			})
			if err != nil {
				r.t.Error(err)
			}
		})
	})
}

// A connection that is released and resumed over and over while bytes go both ways loses none and changes none.
func TestReleaseLosesNothing(t *testing.T) {
	r := &releaseLoop{t: t, loop: attachedLoop(t), handler: &peer{data: echo, closed: make(chan *Error, 8)}, over: make(chan ReleasedConn, 1)}
	addr, err := Listen(r.loop, "127.0.0.1:0", 4096, func(c *Conn) Handler {
		r.releaseAndResume(c)
		return r.handler
	})
	if err != nil {
		t.Fatal(err)
	}
	start(t, r.loop)
	// As much is under way as a connection may hold, and no more: who sends without end may be cut off meanwhile.
	sent, got := make([]byte, 16<<10), make([]byte, 16<<10)
	rng := rand.New(rand.NewSource(2))
	c := dial(t, addr.String())
	for round := range 300 {
		rng.Read(sent)
		if _, err := c.Write(sent); err != nil {
			t.Fatal(err)
		}
		if n, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, sent) {
			t.Fatalf("round %d: %d of %d bytes came back: %v", round, n, len(sent), err)
		}
	}
	select {
	case err := <-r.handler.closed:
		t.Errorf("the connection ended: %v", err)
	default:
	}
	c.Close()
	if p := <-r.over; p.FD >= 0 {
		t.Error("a connection that has ended gives its parts")
	}
	if r.released == 0 {
		t.Error("it was never released")
	}
}

// Accepting stops at once and begins again; what came meanwhile waits in the queue.
func TestListenerStopsAndGoesOn(t *testing.T) {
	l := attachedLoop(t)
	n, err := Bind("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan bool, 9)
	serve := func() {
		err := Serve(l, n, 4096, func(*Conn) Handler {
			accepted <- true
			return discardingHandler{}
		})
		if err != nil {
			t.Error(err)
		}
	}
	start(t, l)
	for round := range 20 {
		l.Post(serve)
		dial(t, n.Addr().String())
		<-accepted
		n.Stop()
		dial(t, n.Addr().String()) // waits in the queue
		if round%2 == 0 {
			time.Sleep(time.Millisecond) // netpoll has stopped by now, or not
		}
		l.Post(serve)
		<-accepted
	}
	select {
	case <-accepted:
		t.Error("more came than were dialled")
	default:
	}
}
