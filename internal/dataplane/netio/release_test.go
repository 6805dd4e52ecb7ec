package netio

import (
	"bytes"
	"io"
	"math/rand"
	"testing"
	"time"
)

// echo sends the input back until Write accepts no more.
func echo(c *Conn) {
	for len(c.Input()) > 0 && c.Write(c.Input()[:min(512, len(c.Input()))]) {
		c.Consume(min(512, len(c.Input())))
	}
}

// repeatedReleaser releases and resumes a connection repeatedly until the connection ends.
type repeatedReleaser struct {
	t        *testing.T
	loop     *Loop
	handler  *funcHandler
	released int               // number of releases that succeeded
	final    chan ReleasedConn // receives the result of the release that failed
}

// releaseAndResume releases the connection after 1 ms and resumes it. If the release fails, it sends the
// result to final.
func (r *repeatedReleaser) releaseAndResume(c *Conn) {
	r.loop.After(time.Millisecond, func() {
		c.Release(func(p ReleasedConn) {
			if p.FD < 0 {
				r.final <- p
				return
			}
			r.released++
			err := Resume(r.loop, p, 4096, r.handler, func(c *Conn) {
				r.releaseAndResume(c)
				r.loop.Post(func() { echo(c) })
			})
			if err != nil {
				r.t.Errorf("Resume: %v", err)
			}
		})
	})
}

// A connection that is released and resumed repeatedly while bytes flow in both directions must neither lose
// nor change any of the bytes.
func TestReleaseLosesNothing(t *testing.T) {
	r := &repeatedReleaser{t: t, loop: attachedLoop(t), handler: &funcHandler{data: echo, closed: make(chan *Error, 8)}, final: make(chan ReleasedConn, 1)}
	addr, err := Listen(r.loop, "127.0.0.1:0", 4096, func(c *Conn) Handler {
		r.releaseAndResume(c)
		return r.handler
	})
	if err != nil {
		t.Fatal(err)
	}
	start(t, r.loop)
	// No more is in flight than a connection may hold: a peer that sends more may be cut off during a release.
	sent, got := make([]byte, 16<<10), make([]byte, 16<<10)
	rng := rand.New(rand.NewSource(2))
	c := dial(t, addr.String())
	for round := range 300 {
		rng.Read(sent)
		if _, err := c.Write(sent); err != nil {
			t.Fatal(err)
		}
		if n, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, sent) {
			t.Fatalf("round %d: the echo has %d bytes and the error %v; want the %d bytes sent", round, n, err, len(sent))
		}
	}
	select {
	case err := <-r.handler.closed:
		t.Errorf("the connection ended with %v, want it open", err)
	default:
	}
	c.Close()
	if p := <-r.final; p.FD >= 0 {
		t.Errorf("Release of an ended connection returned FD %d, want a negative one", p.FD)
	}
	if r.released == 0 {
		t.Error("the connection was never released")
	}
}

// After Stop, connections wait in the queue until Serve is called again.
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
		dial(t, n.Addr().String()) // stays in the queue
		if round%2 == 0 {
			time.Sleep(time.Millisecond) // netpoll may or may not have stopped by now
		}
		l.Post(serve)
		<-accepted
	}
	select {
	case <-accepted:
		t.Error("more connections were accepted than were dialled")
	default:
	}
}
