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

// silentBalancer answers no request. It sends the ID of each request that arrives to the channel arrived, and
// the ID of each request whose client has left to the channel left.
type silentBalancer struct {
	rejectingBalancer
	arrived, left chan string
}

func newSilentBalancer() *silentBalancer {
	return &silentBalancer{arrived: make(chan string, 8), left: make(chan string, 8)}
}

func (m *silentBalancer) RequestArrived(_ balancer.Time, q balancer.Request) { m.arrived <- q.ID }
func (m *silentBalancer) ClientLeft(_ balancer.Time, id string)              { m.left <- id }

// openingID is the request ID in opening.
const openingID = "9b1f03aa5c7e2d41"

// A request must end at once if its client fills the input buffer before the answer: reading pauses then, so
// that the end of the client would not be noticed and attempts would continue.
func TestMuchSentBeforeTheAnswer(t *testing.T) {
	m := newSilentBalancer()
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return m })
	much := strings.Repeat("M\r\n", inputLimit/3+1)

	sentAlong := r.dial()
	io.WriteString(sentAlong, opening+much)
	expect(t, sentAlong, "ERR\r\n")
	if arrived, left := <-m.arrived, <-m.left; arrived != left {
		t.Errorf("the client of request %q left, want that of %q", left, arrived)
	}

	sentLater := r.dial()
	io.WriteString(sentLater, opening)
	<-m.arrived
	io.WriteString(sentLater, much)
	expect(t, sentLater, "ERR\r\n")
	if id := <-m.left; id != openingID {
		t.Errorf("the client of request %q left, want that of %q", id, openingID)
	}
}

// A client sends a request while its idle connection is being ended. The request must still be answered.
func TestIdleClientIsRejected(t *testing.T) {
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return newSilentBalancer() })
	idle := r.dial()
	exchange(t, r.dial(), "PING\r\n", "PONG\r\n") // the loop has accepted both connections after this
	r.runOnLoop(func() { r.front.EndIdle(false) })
	io.WriteString(idle, opening) // the client has not read the rejection yet
	expect(t, idle, "BUSY 500\r\n")
}

// A shutdown with no other connection left waits for a client that has sent part of its first line.
func TestShutdownWaitsForAFirstLine(t *testing.T) {
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return newSilentBalancer() })
	partial, pinging := r.dial(), r.dial()
	io.WriteString(partial, opening[:20])
	exchange(t, pinging, "PING\r\n", "PONG\r\n")
	ended := make(chan struct{})
	r.runOnLoop(func() { r.core.Shutdown(func() { close(ended) }) })
	for range 20 {
		r.advanceClock(50 * time.Millisecond)
		r.runOnLoop(func() {})
	}
	select {
	case <-ended:
		t.Fatal("the shutdown ended before the partly sent request was answered")
	default:
	}
	expect(t, pinging, "")
	io.WriteString(partial, opening[20:])
	expect(t, partial, "BUSY 500\r\n")
	partial.Close()
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

// A client that closes its direction counts as one that has left, since the proxy cannot distinguish the two.
func TestAHalfClosedClientHasLeft(t *testing.T) {
	m := newSilentBalancer()
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return m })
	c := r.dial()
	io.WriteString(c, opening)
	arrived := <-m.arrived
	c.(*net.TCPConn).CloseWrite()
	if left := <-m.left; left != arrived {
		t.Errorf("the client of request %q left, want that of %q", left, arrived)
	}
}
