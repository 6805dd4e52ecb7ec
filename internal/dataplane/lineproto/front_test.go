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
	"croftlock/internal/dataplane/proxy"
)

// refuser is a module that refuses what it is asked.
type refuser struct{ fx balancer.Effects }

func (m refuser) RequestArrived(_ balancer.Time, q balancer.Request)                          { m.fx.Reject(q.ID, 7e6) }
func (refuser) ConnectionAdopted(balancer.Time, balancer.Request, string)                     {}
func (refuser) AttemptEstablished(balancer.Time, string, int, balancer.Time)                  {}
func (refuser) ClientLeft(balancer.Time, string)                                              {}
func (refuser) Observe(balancer.Time, string, int, balancer.Observation, float64)             {}
func (refuser) ListReceived(balancer.Time, balancer.ListChange, int64, []balancer.ListedHost) {}
func (refuser) TimerFired(balancer.Time, string)                                              {}
func (refuser) HealthCheckEnded(balancer.Time, string, balancer.AttemptStatus, balancer.Time, []float64) {
}
func (refuser) PeerMessageReceived(balancer.Time, int, []byte)     {}
func (refuser) Snapshot(bool) balancer.Snapshot                    { return balancer.Snapshot{} }
func (refuser) Restore(balancer.Time, balancer.Snapshot)           {}
func (refuser) Ejected(balancer.Time, string) bool                 { return false }
func (refuser) AttemptEnded(balancer.Time, balancer.AttemptResult) {}

// front serves clients with room for two that have no request and none for requests beyond the given number. pass
// moves its clock.
func front(t *testing.T, maxDownstreams int) (dial func() net.Conn, pass func(time.Duration)) {
	t.Helper()
	r := newFrontRig(t, maxDownstreams, func(fx balancer.Effects) proxy.Balancer { return refuser{fx} })
	return r.dial, r.pass
}

// frontRig is a front on a loop whose clock the test moves.
type frontRig struct {
	loop  *netio.Loop
	core  *proxy.Core
	front *Front
	dial  func() net.Conn
	pass  func(time.Duration)
}

// do runs f on the loop and waits for it.
func (r *frontRig) do(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

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
	core.Run(func(fx balancer.Effects) (proxy.Balancer, error) { return module(fx), nil }, nil, proxy.Change{})
	on, err := netio.Bind("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	f := NewFront(l, core, on, 2)
	core.SetNewcomers(f)
	if err = f.Serve(); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(l.Stop)
	r := &frontRig{loop: l, core: core, front: f}
	r.dial = func() net.Conn {
		c, err := net.Dial("tcp", f.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	r.pass = func(d time.Duration) {
		now.Add(int64(d))
		l.Post(func() {})
	}
	return r
}

// expect reads what a client gets up to its end.
func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	if got, err := io.ReadAll(c); string(got) != want || err != nil {
		t.Errorf("got %q and %v, want %q", got, err, want)
	}
}

func ask(t *testing.T, c net.Conn, send, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if io.WriteString(c, send); want != "" {
		if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
			t.Fatalf("got %q and %v, want %q", got, err, want)
		}
	}
}

const opening = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=c,t=t,d=2000\r\n"

// Hundreds that say nothing took the room of those with a request, which waited 14 s to get in.
func TestSilentClientsMakeRoom(t *testing.T) {
	dial, _ := front(t, 2)
	silent, half := dial(), dial()
	ask(t, half, "PING\r\nOP", "PONG\r\n")
	usual := dial()
	expect(t, silent, "BUSY 500\r\n")
	ask(t, usual, opening, "BUSY 7\r\n")
	dial()
	next := dial()
	expect(t, half, "ERR\r\n")
	ask(t, next, opening, "BUSY 7\r\n")
}

// A client gets so long for its first line however it cuts it; a PING gives it more.
func TestFirstLineInTime(t *testing.T) {
	dial, pass := front(t, 1)
	silent := dial()
	ask(t, silent, "PING\r\n", "PONG\r\n")
	half := dial()
	ask(t, half, "PING\r\nOPEN 9b", "PONG\r\n")
	pass(firstLineTimeout)
	ask(t, silent, "PING\r\n", "PONG\r\n")
	pass(pingIdleTimeout - firstLineTimeout)
	expect(t, half, "ERR\r\n")
	pass(firstLineTimeout)
	expect(t, silent, "")
	fresh := dial()
	ask(t, dial(), "PING\r\n", "PONG\r\n") // by now the loop has accepted both
	pass(firstLineTimeout)
	expect(t, fresh, "BUSY 500\r\n")
}

// A close with bytes unread is a reset, and that took the answer with it.
func TestAnswerBeforeTheEnd(t *testing.T) {
	dial, _ := front(t, 1)
	c := dial()
	for range 100 {
		io.WriteString(c, strings.Repeat("x", MaxLine))
	}
	expect(t, c, "ERR\r\n")
}

// The same holds for a client that there is no room for, which is told when to come back.
func TestNoRoom(t *testing.T) {
	dial, _ := front(t, 0)
	c := dial()
	io.WriteString(c, opening+strings.Repeat("M\r\n", 50000))
	expect(t, c, "BUSY 500\r\n")
}
