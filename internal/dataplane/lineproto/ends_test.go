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

// holder is a module that keeps what it is asked, and tells which clients have left.
type holder struct {
	refuser
	asked, gone chan string
}

func newHolder() *holder { return &holder{asked: make(chan string, 8), gone: make(chan string, 8)} }

func (m *holder) RequestArrived(_ balancer.Time, q balancer.Request) { m.asked <- q.ID }
func (m *holder) ClientLeft(_ balancer.Time, id string)              { m.gone <- id }

const idOfOpening = "9b1f03aa5c7e2d41"

// A client that sends much before its answer fills what may wait for it, is read no further, and could leave without anybody seeing
// its end behind that: attempts went on for it.
func TestMuchSentBeforeTheAnswer(t *testing.T) {
	m := newHolder()
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return m })
	much := strings.Repeat("M\r\n", inputLimit/3+1)

	along := r.dial()
	io.WriteString(along, opening+much)
	expect(t, along, "ERR\r\n")
	if asked, gone := <-m.asked, <-m.gone; asked != gone {
		t.Errorf("asked for %q, and %q has left", asked, gone)
	}

	later := r.dial()
	io.WriteString(later, opening)
	<-m.asked
	io.WriteString(later, much)
	expect(t, later, "ERR\r\n")
	if id := <-m.gone; id != idOfOpening {
		t.Errorf("%q has left", id)
	}
}

// A connection that rests is closed in the moment in which its client sends a request: that request needs an answer all the same.
func TestARestingClientIsToldToComeAgain(t *testing.T) {
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return newHolder() })
	resting := r.dial()
	ask(t, r.dial(), "PING\r\n", "PONG\r\n") // by now both are accepted
	r.do(func() { r.front.EndIdle(false) })
	io.WriteString(resting, opening) // it has not read yet that it has been dismissed
	expect(t, resting, "BUSY 500\r\n")
}

// A process that leaves and carries nothing else ended half a second after its signal, whatever was on its way to it.
func TestLeavingWaitsForAFirstLineThatIsHalfRead(t *testing.T) {
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return newHolder() })
	half, pinging := r.dial(), r.dial()
	io.WriteString(half, opening[:20])
	ask(t, pinging, "PING\r\n", "PONG\r\n")
	left := make(chan struct{})
	r.do(func() { r.core.Shutdown(func() { close(left) }) })
	for range 20 {
		r.pass(50 * time.Millisecond)
		r.do(func() {})
	}
	select {
	case <-left:
		t.Fatal("it has left a request behind")
	default:
	}
	expect(t, pinging, "")
	io.WriteString(half, opening[20:])
	expect(t, half, "BUSY 500\r\n")
	half.Close()
	pinging.Close()
	for {
		r.pass(50 * time.Millisecond)
		select {
		case <-left:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// A client that ends its side has left: from here the two can't be told apart, and nothing may begin for one that has.
func TestAHalfClosedClientHasLeft(t *testing.T) {
	m := newHolder()
	r := newFrontRig(t, 2, func(balancer.Effects) proxy.Balancer { return m })
	c := r.dial()
	io.WriteString(c, opening)
	asked := <-m.asked
	c.(*net.TCPConn).CloseWrite()
	if gone := <-m.gone; gone != asked {
		t.Errorf("asked for %q, and %q has left", asked, gone)
	}
}
