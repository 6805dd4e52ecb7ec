package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// harness is a core between fake clients, hosts and balancer, on a clock that the test advances.
// events lists the calls that the core makes to the fakes: "start ADDRESS MS" for an attempt, where
// MS is the time until its deadline in milliseconds; "end up CAUSE" when the core ends an upstream;
// "accept REQUEST", "reject REQUEST MS" (with the Retry-After), "fail REQUEST", "migrate REQUEST"
// and "end REQUEST CAUSE" for what happens to a downstream; and the events of fakeBalancer.
type harness struct {
	test      *testing.T
	now       int64 // the clock's Unix time in nanoseconds
	loop      *netio.Loop
	core      *Core
	effects   balancer.Effects
	events    []string
	upstreams []*fakeUpstream
	onEvent   func(event string) // how the balancer handles an event; nil to ignore it
	ejected   string             // the host that the balancer reports as ejected; "" for none
}

// newHarnessWithoutCore returns a harness without a core. t may be nil if expect is not called.
func newHarnessWithoutCore(t *testing.T) *harness {
	w := &harness{test: t, now: 1e18}
	w.loop = netio.NewLoopAt(func() int64 { return w.now })
	return w
}

// newHarness returns a harness whose core has class c (deadline 4.8 s, message latency objective
// 150 ms) and tenant t, the ready hosts A and B, and capacity for 2 downstreams. events is empty.
func newHarness(t *testing.T) *harness {
	t.Helper()
	w := newHarnessWithoutCore(t)
	w.core = New(w.loop, w, Options{MaxDownstreams: 2, DelayInLoad: true, Settings: balancer.Config{MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9,
		ConnectTimeout: 250e6, Classes: []balancer.Class{{Name: "c", Deadline: 4800e6, MessageLatencyObjective: 150e6}},
		Tenants: []balancer.Tenant{{Name: "t"}}}})
	ready := func(id string) HostEntry {
		return HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id}}
	}
	err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { w.effects = fx; return (*fakeBalancer)(w), nil }, nil,
		WatchEvent{Kind: balancer.ListCached, Hosts: []HostEntry{ready("A"), ready("B")}})
	if err != nil {
		t.Fatal(err)
	}
	w.events = nil
	return w
}

// logEvent appends to events.
func (w *harness) logEvent(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf(format, args...))
}

// expect checks that the events since the last call are want, in this order, and clears them.
func (w *harness) expect(want ...string) {
	w.test.Helper()
	if got := strings.Join(w.events, "; "); got != strings.Join(want, "; ") {
		w.test.Fatalf("events\n got %s\nwant %s", got, strings.Join(want, "; "))
	}
	w.events = nil
}

// advance moves the clock forward in steps of at most 10 ms, and runs what is due after each.
func (w *harness) advance(d time.Duration) {
	for end := w.now + int64(d); w.now < end; {
		w.now = min(end, w.now+int64(10*time.Millisecond))
		w.loop.RunPending()
	}
}

// open returns the result of Core.Open for a request of class c and tenant t with a wait of 1 s.
func (w *harness) open(id string) *Request {
	return w.core.Open(&fakeDownstream{w, id}, &Opening{ID: id, Class: "c", Tenant: "t", Wait: time.Second, HasWait: true}, nil)
}

// shutDown begins a shutdown. *ended becomes true once the shutdown has ended.
func (w *harness) shutDown() (ended *bool) {
	ended = new(bool)
	w.core.Shutdown(func() { *ended = true })
	return ended
}

// expectMigratedAndEnded checks that the client of request q, and nothing else, has been migrated
// since the last call of expect, and that the shutdown has ended.
func (w *harness) expectMigratedAndEnded(ended *bool) {
	w.test.Helper()
	w.expect("migrate q", "end up ended", "ended q 0 6 true")
	if !*ended {
		w.test.Error("the shutdown has not ended after the last client was migrated")
	}
}

// serve opens a request that host A accepts, and returns the request and its upstream. It clears
// events, and onEvent stays as set here.
func (w *harness) serve(id string) (*Request, *fakeUpstream) {
	w.onEvent = func(e string) {
		if e == "request "+id {
			w.effects.StartAttempt(id, "A", 0)
		}
	}
	r := w.open(id)
	u := w.upstreams[len(w.upstreams)-1]
	u.sent()
	u.events.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
	w.events = nil
	return r, u
}

// Start records an attempt in events and upstreams.
func (w *harness) Start(to Target, _ RequestLine, until int64, _ time.Duration, ev UpstreamEvents) Upstream {
	w.logEvent("start %s %d", to.Address, (until-w.now)/1e6)
	u := &fakeUpstream{harness: w, events: ev}
	w.upstreams = append(w.upstreams, u)
	return u
}

// fakeUpstream is an Upstream that records what the core calls. The test calls the methods of events.
type fakeUpstream struct {
	harness  *harness
	events   UpstreamEvents
	stage    netio.Stage
	notReady bool // Relay accepts no messages
}

// sent marks the first line as completely written, and notifies the core if the attempt is still in
// flight.
func (u *fakeUpstream) sent() {
	a, isAttempt := u.events.(*upstreamRequest)
	firstTime := isAttempt && a.request.attempt == a && u.stage < netio.Sent
	u.stage = netio.Sent
	if firstTime {
		u.events.UpstreamSent()
	}
}

// endAtRandom makes the host read the first line and then, at random, reject it, accept it, or
// reset the connection at the given stage. It reports whether the connection was reset.
func (u *fakeUpstream) endAtRandom(t *rapid.T, stage netio.Stage) (reset bool) {
	u.sent()
	switch rapid.IntRange(0, 2).Draw(t, "end") {
	case 0:
		u.events.FromUpstream(Message{Kind: OverCapacity})
	case 1:
		u.events.FromUpstream(Message{Kind: Accepted})
	case 2:
		u.events.UpstreamEnded(&netio.Error{Stage: stage})
		return true
	}
	return false
}

func (u *fakeUpstream) Relay(m Message) bool { return !u.notReady }

func (u *fakeUpstream) RelayPending() { u.harness.logEvent("relay pending up") }

func (u *fakeUpstream) Stage() netio.Stage { return u.stage }

func (u *fakeUpstream) End(cause netio.Cause) { u.harness.logEvent("end up %s", cause) }

// fakeDownstream is a Downstream that records what the core calls.
type fakeDownstream struct {
	harness   *harness
	requestID string
}

func (d *fakeDownstream) Accept(Message) { d.harness.logEvent("accept %s", d.requestID) }

func (d *fakeDownstream) Reject(after time.Duration) {
	d.harness.logEvent("reject %s %d", d.requestID, after.Milliseconds())
}

func (d *fakeDownstream) Fail() { d.harness.logEvent("fail %s", d.requestID) }

func (d *fakeDownstream) Relay(Message) bool { return true }

func (d *fakeDownstream) MigrationLine() []byte { return nil }

func (d *fakeDownstream) RelayPending() { d.harness.logEvent("relay pending %s", d.requestID) }

func (d *fakeDownstream) Migrate() { d.harness.logEvent("migrate %s", d.requestID) }

func (d *fakeDownstream) End(cause netio.Cause) { d.harness.logEvent("end %s %s", d.requestID, cause) }

// fakeBalancer is a Balancer that records its events, and handles them with onEvent. Enums appear as
// numbers: "ended REQUEST ATTEMPT STATUS CLOSED" has the balancer.AttemptStatus (2 Full, 3 Timeout,
// 4 ConnectFailed, 5 Reset, 6 Cancelled, 7 TooLate), "observe REQUEST KIND VALUE" the
// balancer.Observation (1 load, 2 latency), and "list KIND ENTRIES" the balancer.ListChange (0 delta,
// 1 full, 4 local) and the number of entries.
type fakeBalancer harness

// event records an event and calls onEvent.
func (m *fakeBalancer) event(format string, args ...any) {
	e := fmt.Sprintf(format, args...)
	(*harness)(m).logEvent("%s", e)
	if m.onEvent != nil {
		m.onEvent(e)
	}
}

func (m *fakeBalancer) RequestArrived(_ balancer.Time, q balancer.Request) {
	m.event("request %s", q.ID)
}

func (m *fakeBalancer) ConnectionAdopted(_ balancer.Time, q balancer.Request, s string) {
	m.event("adopted %s %s", q.ID, s)
}

func (m *fakeBalancer) AttemptEstablished(_ balancer.Time, id string, n int, _ balancer.Time) {
	m.event("established %s %d", id, n)
}

func (m *fakeBalancer) AttemptEnded(_ balancer.Time, r balancer.AttemptResult) {
	m.event("ended %s %d %d %t", r.RequestID, r.Attempt, r.Status, r.Closed)
}

func (m *fakeBalancer) ClientLeft(_ balancer.Time, id string) { m.event("left %s", id) }

func (m *fakeBalancer) Observe(_ balancer.Time, id string, n int, k balancer.Observation, v float64) {
	m.event("observe %s %d %g", id, k, v)
}

func (m *fakeBalancer) ListReceived(_ balancer.Time, k balancer.ListChange, e []balancer.ListedHost) {
	m.event("list %d %d", k, len(e))
}

func (m *fakeBalancer) HealthCheckEnded(_ balancer.Time, id string, s balancer.AttemptStatus, load []float64) {
	m.event("checked %s %s %v", id, s, load)
}

func (m *fakeBalancer) PeerMessageReceived(_ balancer.Time, from int, data []byte) {
	m.event("peer %d %s", from, data)
}

func (m *fakeBalancer) Snapshot(bool) balancer.Snapshot { return balancer.Snapshot{} }

func (m *fakeBalancer) Restore(balancer.Time, balancer.Snapshot) {}

func (m *fakeBalancer) Ejected(_ balancer.Time, id string) bool { return id == m.ejected }

func (m *fakeBalancer) TimerFired(_ balancer.Time, token string) { m.event("timer %s", token) }
