package lineproto

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/dataplane/proxy"
)

// rejectingBalancer rejects every request, with a Retry-After of 7 ms.
type rejectingBalancer struct{ fx balancer.Effects }

func (m rejectingBalancer) RequestArrived(_ balancer.Time, q balancer.Request) {
	m.fx.Reject(q.ID, 7e6)
}
func (rejectingBalancer) ConnectionAdopted(balancer.Time, balancer.Request, string)         {}
func (rejectingBalancer) AttemptEstablished(balancer.Time, string, int, balancer.Time)      {}
func (rejectingBalancer) ClientLeft(balancer.Time, string)                                  {}
func (rejectingBalancer) Observe(balancer.Time, string, int, balancer.Observation, float64) {}
func (rejectingBalancer) ListReceived(balancer.Time, balancer.ListChange, []balancer.ListedHost) {
}
func (rejectingBalancer) TimerFired(balancer.Time, string) {}
func (rejectingBalancer) HealthCheckEnded(balancer.Time, string, balancer.AttemptStatus, []float64) {
}
func (rejectingBalancer) PeerMessageReceived(balancer.Time, int, []byte)     {}
func (rejectingBalancer) Snapshot(bool) balancer.Snapshot                    { return balancer.Snapshot{} }
func (rejectingBalancer) Restore(balancer.Time, balancer.Snapshot)           {}
func (rejectingBalancer) Ejected(balancer.Time, string) bool                 { return false }
func (rejectingBalancer) AttemptEnded(balancer.Time, balancer.AttemptResult) {}

// startFront starts a Front, which accepts clients, with capacity for two connections without a request and
// maxDownstreams with a request. The Front rejects every request with "BUSY 7". dial opens a client's connection; advanceClock advances the Front's clock.
func startFront(t *testing.T, maxDownstreams int) (dial func() net.Conn, advanceClock func(time.Duration)) {
	t.Helper()
	r := newFrontRig(t, maxDownstreams, func(fx balancer.Effects) proxy.Balancer { return rejectingBalancer{fx} })
	return r.dial, r.advanceClock
}

// frontRig is a running Front and its core on a loop whose clock advanceClock advances. The core has class c
// and tenant t, and no hosts.
type frontRig struct {
	loop         *netio.Loop
	core         *proxy.Core
	front        *Front
	dial         func() net.Conn
	advanceClock func(time.Duration)
}

// runOnLoop runs f on the loop and waits for it.
func (r *frontRig) runOnLoop(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// newFrontRig starts a Front whose core uses the decision module that module returns. The Front has capacity
// for two connections without a request and maxDownstreams with a request. Its clock starts at 1e18 ns.
func newFrontRig(t *testing.T, maxDownstreams int, module func(balancer.Effects) proxy.Balancer) *frontRig {
	t.Helper()
	var now atomic.Int64
	now.Store(1e18)
	l := netio.NewLoopAt(now.Load)
	if err := netio.Attach(l); err != nil {
		t.Fatal(err)
	}
	core := proxy.New(l, nil, proxy.Options{MaxDownstreams: maxDownstreams, Settings: balancer.Config{SendsRetryAfter: true,
		MaxRetryAfter: 2e9, Classes: []balancer.Class{{Name: "c", Deadline: 4800e6}}, Tenants: []balancer.Tenant{{Name: "t"}}}})
	core.Run(func(fx balancer.Effects) (proxy.Balancer, error) { return module(fx), nil }, nil, proxy.WatchEvent{})
	listener, err := netio.Bind("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	f := NewFront(l, core, listener, 2)
	core.SetIdleDownstreams(f)
	if err = f.Serve(); err != nil {
		t.Fatal(err)
	}
	netiotest.Start(t, l)
	r := &frontRig{loop: l, core: core, front: f}
	r.dial = func() net.Conn {
		c, err := net.Dial("tcp", f.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	r.advanceClock = func(d time.Duration) {
		now.Add(int64(d))
		l.Post(func() {})
	}
	return r
}

// expect checks that a client reads exactly want before the orderly end of the client's connection.
func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	if got, err := io.ReadAll(c); string(got) != want || err != nil {
		t.Errorf("the client read %q and the error %v; want %q", got, err, want)
	}
}

// exchange sends a text, which may be several lines or a part of a line, and checks that the answer is want.
// It reads nothing if want is empty.
func exchange(t *testing.T, c net.Conn, send, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if io.WriteString(c, send); want != "" {
		if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
			t.Fatalf("the answer to %q is %q and the error %v; want %q", send, got, err, want)
		}
	}
}

// opening is a valid request line.
const opening = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=c,t=t,d=2000\r\n"

// Clients that send no request are evicted, so that they use no capacity of those with a request.
func TestSilentClientsAreEvicted(t *testing.T) {
	dial, _ := startFront(t, 2)
	silent, partial := dial(), dial()
	exchange(t, partial, "PING\r\nOP", "PONG\r\n")
	withRequest := dial()
	expect(t, silent, "BUSY 500\r\n")
	exchange(t, withRequest, opening, "BUSY 7\r\n")
	dial()
	next := dial()
	expect(t, partial, "ERR\r\n")
	exchange(t, next, opening, "BUSY 7\r\n")
}

// The time for a first line does not depend on the number of pieces in which the line arrives. A PING
// extends the time until the next line begins to arrive.
func TestFirstLineInTime(t *testing.T) {
	dial, advanceClock := startFront(t, 1)
	silent := dial()
	exchange(t, silent, "PING\r\n", "PONG\r\n")
	partial := dial()
	exchange(t, partial, "PING\r\nOPEN 9b", "PONG\r\n")
	exchange(t, silent, "PING\r\n", "PONG\r\n") // the loop has set the partial line's timer after this
	advanceClock(firstLineTimeout)
	expect(t, partial, "ERR\r\n")
	exchange(t, silent, "PING\r\n", "PONG\r\n")
	advanceClock(pingIdleTimeout)
	expect(t, silent, "")
	fresh := dial()
	exchange(t, dial(), "PING\r\n", "PONG\r\n") // the loop has accepted both connections after this
	advanceClock(firstLineTimeout)
	expect(t, fresh, "BUSY 500\r\n")
}

// Closing a socket with unread bytes sends a reset, which must not overtake the answer.
func TestAnswerBeforeTheEnd(t *testing.T) {
	dial, _ := startFront(t, 1)
	c := dial()
	for range 100 {
		io.WriteString(c, strings.Repeat("x", MaxLineBytes))
	}
	expect(t, c, "ERR\r\n")
}

// A client beyond the capacity reads a rejection with a Retry-After, also if it has sent more than was read.
func TestOverCapacity(t *testing.T) {
	dial, _ := startFront(t, 0)
	c := dial()
	io.WriteString(c, opening+strings.Repeat("M\r\n", 50000))
	expect(t, c, "BUSY 500\r\n")
}
