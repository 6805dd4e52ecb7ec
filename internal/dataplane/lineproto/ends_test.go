package lineproto

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// queueingBalancer answers no request, and passes on which came and whose client has left.
type queueingBalancer struct {
	rejectingBalancer
	arrived, left chan string
}

func newQueueingBalancer() *queueingBalancer {
	return &queueingBalancer{arrived: make(chan string, 8), left: make(chan string, 8)}
}

func (m *queueingBalancer) RequestArrived(_ balancer.Time, q balancer.Request) { m.arrived <- q.ID }
func (m *queueingBalancer) ClientLeft(_ balancer.Time, id string)              { m.left <- id }

const openingID = "9b1f03aa5c7e2d41"

// A client that sends much before its answer fills its buffer and is read no further, so that its end behind that would not be seen: its
// request ends at once, else attempts would go on for it.
func TestMuchSentBeforeTheAnswer(t *testing.T) {
	m := newQueueingBalancer()
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return m })
	much := strings.Repeat("M\r\n", inputLimit/3+1)

	sentAlong := r.dial()
	io.WriteString(sentAlong, opening+much)
	expect(t, sentAlong, "ERR\r\n")
	if arrived, left := <-m.arrived, <-m.left; arrived != left {
		t.Errorf("%q arrived, and the client of %q has left", arrived, left)
	}

	sentLater := r.dial()
	io.WriteString(sentLater, opening)
	<-m.arrived
	io.WriteString(sentLater, much)
	expect(t, sentLater, "ERR\r\n")
	if id := <-m.left; id != openingID {
		t.Errorf("the client of %q has left, want %q", id, openingID)
	}
}

// An idle connection is closed in the moment in which its client sends a request: that request needs an answer all the same.
func TestIdleClientIsRejected(t *testing.T) {
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return newQueueingBalancer() })
	idle := r.dial()
	exchange(t, r.dial(), "PING\r\n", "PONG\r\n") // by now both are accepted
	r.runOnLoop(func() { r.front.EndIdle(false) })
	io.WriteString(idle, opening) // it has not read yet that it is rejected
	expect(t, idle, "BUSY 500\r\n")
}

// A shutdown with nothing else left waits for a first line that has come in part.
func TestShutdownWaitsForAFirstLine(t *testing.T) {
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return newQueueingBalancer() })
	half, pinging := r.dial(), r.dial()
	io.WriteString(half, opening[:20])
	exchange(t, pinging, "PING\r\n", "PONG\r\n")
	ended := make(chan struct{})
	r.runOnLoop(func() { r.core.Shutdown(func() { close(ended) }) })
	for range 20 {
		r.advanceClock(50 * time.Millisecond)
		r.runOnLoop(func() {})
	}
	select {
	case <-ended:
		t.Fatal("it has ended before a request was answered")
	default:
	}
	expect(t, pinging, "")
	io.WriteString(half, opening[20:])
	expect(t, half, "BUSY 500\r\n")
	half.Close()
	pinging.Close()
	for {
		r.advanceClock(50 * time.Millisecond)
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// A client that ends its side counts as one that has left, since from here the two look alike.
func TestAHalfClosedClientHasLeft(t *testing.T) {
	m := newQueueingBalancer()
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return m })
	c := r.dial()
	io.WriteString(c, opening)
	arrived := <-m.arrived
	c.(*net.TCPConn).CloseWrite()
	if left := <-m.left; left != arrived {
		t.Errorf("%q arrived, and the client of %q has left", arrived, left)
	}
}
