package netio

import (
	"bytes"
	"io"
	"math/rand"
	"testing"
	"time"
)

// A connection that is let go of and taken up again, over and over while bytes go both ways, loses none and changes none.
func TestReleaseLosesNothing(t *testing.T) {
	var l *Loop
	var h *peer
	count := 0
	echo := func(c *Conn) {
		for len(c.Input()) > 0 && c.Write(c.Input()[:min(512, len(c.Input()))]) {
			c.Consume(min(512, len(c.Input())))
		}
	}
	over := make(chan Parts, 1)
	l = NewLoop()
	if err := Attach(l); err != nil {
		t.Fatal(err)
	}
	h = &peer{closed: make(chan *Error, 8)}
	var again func(c *Conn)
	again = func(c *Conn) {
		l.After(time.Millisecond, func() {
			c.Release(func(p Parts) {
				if p.FD < 0 {
					over <- p
					return
				}
				count++
				if err := Resume(l, p, 4096, h, func(c *Conn) {
					again(c)
					l.Post(func() { echo(c) })
				}); err != nil {
					t.Error(err)
				}
			})
		})
	}
	h.data = echo
	addr, err := Listen(l, "127.0.0.1:0", 4096, func(c *Conn) Handler {
		again(c)
		return h
	})
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Stop)
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
	case err := <-h.closed:
		t.Errorf("it ended by itself: %v", err)
	default:
	}
	c.Close()
	if p := <-over; p.FD >= 0 {
		t.Error("a connection that has ended gave its parts")
	}
	if count == 0 {
		t.Error("it was never let go of")
	}
}

// Accepting stops at once and begins again; what came meanwhile waits in the queue.
func TestListenerStopsAndGoesOn(t *testing.T) {
	l := NewLoop()
	if err := Attach(l); err != nil {
		t.Fatal(err)
	}
	n, err := Bind("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	came := make(chan bool, 9)
	serve := func() {
		err := Serve(l, n, 4096, func(*Conn) Handler {
			came <- true
			return discardingHandler{}
		})
		if err != nil {
			t.Error(err)
		}
	}
	go l.Run()
	t.Cleanup(l.Stop)
	for round := range 20 {
		l.Post(serve)
		dial(t, n.Addr().String())
		<-came
		n.Stop()
		dial(t, n.Addr().String()) // it waits
		if round%2 == 0 {
			time.Sleep(time.Millisecond) // netpoll has let go by now, or not
		}
		l.Post(serve)
		<-came
	}
	select {
	case <-came:
		t.Error("more came than were dialled")
	default:
	}
}
