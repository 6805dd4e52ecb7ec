package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// world is a core between fakes, on a clock that the test moves. Everything that the core does is noted in seen.
type world struct {
	t       *testing.T
	now     int64
	loop    *netio.Loop
	core    *Core
	fx      balancer.Effects
	seen    []string
	ups     []*fakeUp
	on      func(event string) // what the module does about an event
	avoided string             // a host that the module keeps out
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: 1e18}
	w.loop = netio.NewLoopAt(func() int64 { return w.now })
	w.core = New(w.loop, w, Options{Sessions: 2, DelayInLoad: true, Settings: balancer.Config{MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9,
		ConnectTimeout: 250e6, Classes: []balancer.Class{{Name: "c", Deadline: 4800e6, MessageLatencyObjective: 150e6}},
		Tenants: []balancer.Tenant{{Name: "t"}}}})
	up := func(id string) HostEntry {
		return HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id}}
	}
	err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { w.fx = fx; return (*fakeModule)(w), nil }, nil,
		Change{Kind: balancer.ListCached, Hosts: []HostEntry{up("A"), up("B")}})
	if err != nil {
		t.Fatal(err)
	}
	w.seen = nil
	return w
}

func (w *world) note(format string, args ...any) {
	w.seen = append(w.seen, fmt.Sprintf(format, args...))
}

// expect compares what has happened since the last call.
func (w *world) expect(want ...string) {
	w.t.Helper()
	if got := strings.Join(w.seen, "; "); got != strings.Join(want, "; ") {
		w.t.Fatalf("\n got %s\nwant %s", got, strings.Join(want, "; "))
	}
	w.seen = nil
}

func (w *world) pass(d time.Duration) {
	for end := w.now + int64(d); w.now < end; {
		w.now = min(end, w.now+int64(10*time.Millisecond))
		w.loop.RunPending()
	}
}

// open sends a request whose module answers with a send to server A.
func (w *world) open(id string) *Request {
	return w.core.Open(&fakeDown{w, id}, &Opening{ID: id, Class: "c", Tenant: "t", Wait: time.Second, HasWait: true}, nil)
}

// serve brings a request up at A.
func (w *world) serve(id string) (*Request, *fakeUp) {
	w.on = func(e string) {
		if e == "request "+id {
			w.fx.StartAttempt(id, "A", 0)
		}
	}
	r := w.open(id)
	u := w.ups[len(w.ups)-1]
	u.sent()
	u.ev.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.seen = nil
	return r, u
}

func (w *world) Start(to Target, _ RequestLine, until int64, _ time.Duration, ev UpstreamEvents) Upstream {
	w.note("start %s %d", to.Address, (until-w.now)/1e6)
	u := &fakeUp{w: w, ev: ev}
	w.ups = append(w.ups, u)
	return u
}

type fakeUp struct {
	w     *world
	ev    UpstreamEvents
	stage netio.Stage
	full  bool
}

// sent has the host's machine take the last byte of the first line.
func (u *fakeUp) sent() {
	a, attempt := u.ev.(*upstreamRequest)
	fresh := attempt && a.request.attempt == a && u.stage < netio.Sent
	u.stage = netio.Sent
	if fresh {
		u.ev.UpstreamSent()
	}
}

func (u *fakeUp) Pass(m Message) bool { return !u.full }

func (u *fakeUp) Pump() { u.w.note("pump up") }

func (u *fakeUp) Stage() netio.Stage { return u.stage }

func (u *fakeUp) End(cause netio.Cause) { u.w.note("end up %s", cause) }

type fakeDown struct {
	w  *world
	id string
}

func (d *fakeDown) Accept(Message) { d.w.note("serve %s", d.id) }

func (d *fakeDown) Reject(after time.Duration) { d.w.note("refuse %s %d", d.id, after.Milliseconds()) }

func (d *fakeDown) Fail() { d.w.note("fail %s", d.id) }

func (d *fakeDown) Pass(Message) bool { return true }

func (d *fakeDown) MigrationLine() []byte { return nil }

func (d *fakeDown) Pump() { d.w.note("pump %s", d.id) }

func (d *fakeDown) Migrate() { d.w.note("move %s", d.id) }

func (d *fakeDown) End(cause netio.Cause) { d.w.note("end %s %s", d.id, cause) }

type fakeModule world

func (m *fakeModule) event(format string, args ...any) {
	e := fmt.Sprintf(format, args...)
	(*world)(m).note("%s", e)
	if m.on != nil {
		m.on(e)
	}
}

func (m *fakeModule) RequestArrived(_ balancer.Time, q balancer.Request) { m.event("request %s", q.ID) }

func (m *fakeModule) ConnectionAdopted(_ balancer.Time, q balancer.Request, s string) {
	m.event("open %s %s", q.ID, s)
}

func (m *fakeModule) AttemptEstablished(_ balancer.Time, id string, n int, _ balancer.Time) {
	m.event("first %s %d", id, n)
}

func (m *fakeModule) AttemptEnded(_ balancer.Time, id string, n int, s balancer.AttemptStatus, _ balancer.Time, closed bool, _ []float64) {
	m.event("outcome %s %d %d %t", id, n, s, closed)
}

func (m *fakeModule) ClientLeft(_ balancer.Time, id string) { m.event("gone %s", id) }

func (m *fakeModule) Observe(_ balancer.Time, id string, n int, k balancer.Observation, v float64) {
	m.event("note %s %d %g", id, k, v)
}

func (m *fakeModule) ListReceived(_ balancer.Time, k balancer.ListChange, _ int64, e []balancer.ListedHost) {
	m.event("members %d %d", k, len(e))
}

func (m *fakeModule) HealthCheckEnded(_ balancer.Time, id string, s balancer.AttemptStatus, _ balancer.Time, load []float64) {
	m.event("probed %s %s %v", id, s, load)
}

func (m *fakeModule) PeerMessageReceived(_ balancer.Time, from int, data []byte) {
	m.event("peer %d %s", from, data)
}

func (m *fakeModule) Snapshot(bool) balancer.Snapshot { return balancer.Snapshot{} }

func (m *fakeModule) Restore(balancer.Time, balancer.Snapshot) {}

func (m *fakeModule) Ejected(_ balancer.Time, id string) bool { return id == m.avoided }

func (m *fakeModule) TimerFired(_ balancer.Time, token string) { m.event("timer %s", token) }
