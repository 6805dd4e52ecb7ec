package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"croftlock/brain"
	"croftlock/internal/netio"
)

// world is a core between fakes, on a clock that the test moves. Everything that the core does is noted in seen.
type world struct {
	t       *testing.T
	now     int64
	loop    *netio.Loop
	core    *Core
	fx      brain.Effects
	seen    []string
	ups     []*fakeUp
	on      func(event string) // what the module does about an event
	avoided string             // a host that the module keeps out
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: 1e18}
	w.loop = netio.NewLoopAt(func() int64 { return w.now })
	w.core = New(w.loop, w, Options{Sessions: 2, DelayInLoad: true, Settings: brain.Config{MaxAttempts: 5, RetryAfter: true, MaxRetryAfter: 2e9,
		ConnectTimeout: 250e6, Classes: []brain.Class{{Name: "c", Deadline: 4800e6, MessageAim: 150e6}},
		Tenants: []brain.Tenant{{Name: "t"}}}})
	up := func(id string) HostEntry { return HostEntry{Endpoint: "at-" + id, Entry: brain.Entry{ID: id}} }
	err := w.core.Run(func(fx brain.Effects) (Decider, error) { w.fx = fx; return (*fakeModule)(w), nil }, nil,
		Change{Kind: brain.ListCached, Hosts: []HostEntry{up("A"), up("B")}})
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
			w.fx.Send(id, "A", 0)
		}
	}
	r := w.open(id)
	u := w.ups[len(w.ups)-1]
	u.stage = netio.Sent
	u.ev.FromUpstream(Message{Kind: Receipt, Text: []byte("UP\r\n")})
	w.seen = nil
	return r, u
}

func (w *world) Start(to Target, _ First, until int64, _ time.Duration, ev UpstreamEvents) Upstream {
	w.note("start %s %d", to.Endpoint, (until-w.now)/1e6)
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

func (u *fakeUp) Pass(m Message) bool   { return !u.full }
func (u *fakeUp) Pump()                 { u.w.note("pump up") }
func (u *fakeUp) Stage() netio.Stage    { return u.stage }
func (u *fakeUp) End(cause netio.Cause) { u.w.note("end up %s", cause) }

type fakeDown struct {
	w  *world
	id string
}

func (d *fakeDown) Serve(Message)              { d.w.note("serve %s", d.id) }
func (d *fakeDown) Refuse(after time.Duration) { d.w.note("refuse %s %d", d.id, after.Milliseconds()) }
func (d *fakeDown) Fail()                      { d.w.note("fail %s", d.id) }
func (d *fakeDown) Pass(Message) bool          { return true }
func (d *fakeDown) Goodbye() []byte            { return nil }
func (d *fakeDown) Pump()                      { d.w.note("pump %s", d.id) }
func (d *fakeDown) Move()                      { d.w.note("move %s", d.id) }
func (d *fakeDown) End(cause netio.Cause)      { d.w.note("end %s %s", d.id, cause) }

type fakeModule world

func (m *fakeModule) event(format string, args ...any) {
	e := fmt.Sprintf(format, args...)
	(*world)(m).note("%s", e)
	if m.on != nil {
		m.on(e)
	}
}
func (m *fakeModule) Request(_ brain.Time, q brain.Request)        { m.event("request %s", q.ID) }
func (m *fakeModule) Open(_ brain.Time, q brain.Request, s string) { m.event("open %s %s", q.ID, s) }
func (m *fakeModule) First(_ brain.Time, id string, n int, _ brain.Time) {
	m.event("first %s %d", id, n)
}
func (m *fakeModule) Outcome(_ brain.Time, id string, n int, s brain.Status, _ brain.Time, closed bool, _ []float64) {
	m.event("outcome %s %d %d %t", id, n, s, closed)
}
func (m *fakeModule) Gone(_ brain.Time, id string) { m.event("gone %s", id) }
func (m *fakeModule) Note(_ brain.Time, id string, n int, k brain.NoteKind, v float64) {
	m.event("note %s %d %g", id, k, v)
}
func (m *fakeModule) Members(_ brain.Time, k brain.ListKind, _ int64, e []brain.Entry) {
	m.event("members %d %d", k, len(e))
}
func (m *fakeModule) Probed(_ brain.Time, id string, s brain.Status, _ brain.Time, load []float64) {
	m.event("probed %s %s %v", id, s, load)
}

func (m *fakeModule) Peer(_ brain.Time, from int, data []byte) { m.event("peer %d %s", from, data) }
func (m *fakeModule) Remember(bool) brain.Memory               { return brain.Memory{} }
func (m *fakeModule) Recall(brain.Time, brain.Memory)          {}
func (m *fakeModule) Avoids(_ brain.Time, id string) bool      { return id == m.avoided }
func (m *fakeModule) Timer(_ brain.Time, token string)         { m.event("timer %s", token) }

// A host told its delay in the form of a load: taken for one, it drew clients to the fullest host (G 0.41 for 0.90).
func TestDelayToldAsLoad(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	tell := func(x float64) { u.ev.FromUpstream(Message{Kind: LoadTold, Load: x}) }
	for _, x := range []float64{1800, 60000, 65, 1100, 2900, 4100, 3000, 1500, 20} {
		tell(x)
		w.pass(time.Second)
	}
	w.pass(time.Second)
	tell(3800)
	w.expect("note q 1 1800", "note q 1 60000", "note q 2 65", "note q 2 1100", "note q 2 2900", "note q 2 4100",
		"note q 2 3000", "note q 2 1500", "note q 2 20", "note q 1 3800")
}

// With one connection at a host a proxy hears of its trouble on that one, before any load of it: of 879 delays on one day 314
// were taken for loads, and thirty connections stayed for ten seconds on a host that answered after two.
func TestFirstFigureIsADelay(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	for _, x := range []float64{679, 1064, 1668} {
		u.ev.FromUpstream(Message{Kind: LoadTold, Load: x})
		w.pass(time.Second)
	}
	w.expect("note q 2 679", "note q 2 1064", "note q 2 1668")
	// One that could be a load shows by the steady second that it was none.
	w.pass(2 * time.Second)
	_, u = w.serve("p")
	for _, x := range []float64{1702, 2318, 2400, 51000} {
		u.ev.FromUpstream(Message{Kind: LoadTold, Load: x})
		w.pass(time.Second)
	}
	w.expect("note p 1 1702", "note p 2 2318", "note p 2 2400", "note p 1 51000")
}

// A client gets one answer: by its deadline though the module stays silent, and none after that.
func TestOneAnswer(t *testing.T) {
	w := newWorld(t)
	w.open("q")
	w.pass(time.Second)
	w.expect("request q")
	w.pass(50 * time.Millisecond)
	w.expect("fail q", "gone q")
	w.fx.Refuse("q", 0)
	w.fx.Send("q", "A", 0)
	w.pass(time.Second)
	w.expect()
	w.on = func(e string) {
		if e == "request p" {
			panic("on purpose")
		}
	}
	w.open("p")
	w.expect("request p", "fail p", "gone p")
	if len(w.core.requests) != 0 {
		t.Fatal("requests are left")
	}
}

// The old attempt is closed before the next begins, and how far it had come decides what the module hears.
func TestAttempts(t *testing.T) {
	w := newWorld(t)
	w.on = func(e string) {
		switch {
		case e == "request q":
			w.fx.Send("q", "A", 300e6)
		case strings.HasPrefix(e, "outcome q 0"):
			w.fx.Send("q", "B", 0)
		case strings.HasPrefix(e, "outcome q 1"):
			w.fx.Refuse("q", 1e9)
		}
	}
	w.open("q")
	w.expect("request q", "start at-A 300")
	w.ups[0].stage = netio.Sent
	w.pass(300 * time.Millisecond)
	w.expect("end up ended", "outcome q 0 3 false", "start at-B 700")
	w.ups[1].ev.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broke})
	w.expect("end up ended", "outcome q 1 4 false", "refuse q 1000")
	_, u := w.serve("s")
	u.ev.UpstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Broke})
	w.expect("end s broke", "outcome s 0 5 true")
}

// Draining and removed hosts get nothing new, and a dial in the queue is something new; a changed address is followed.
func TestListActsOnDials(t *testing.T) {
	w := newWorld(t)
	w.on = func(e string) {
		if e == "request q" {
			w.fx.Send("q", "A", 0)
		}
	}
	w.open("q")
	a := HostEntry{Endpoint: "new", Entry: brain.Entry{ID: "A"}}
	w.core.Listed(Change{Kind: brain.ListDelta, Hosts: []HostEntry{a}})
	w.expect("request q", "start at-A 1000", "end up dropped", "start new 1000", "members 0 1")
	a.State = brain.Draining
	w.core.Listed(Change{Kind: brain.ListDelta, Hosts: []HostEntry{a}})
	w.expect("members 0 1", "end up dropped", "outcome q 0 2 false")
	w.fx.Send("q", "A", 0) // the rule holds should the module err
	w.core.decide(nil, func(int64) {})
	w.expect("outcome q 1 2 false")
}

// A host that answers none of its client's lines is left in time, and its client sent away politely.
func TestSilentHost(t *testing.T) {
	w := newWorld(t)
	r, u := w.serve("q")
	for range 2 {
		r.FromDownstream(Message{Text: []byte("M\r\n")})
		u.ev.FromUpstream(Message{Text: []byte("M\r\n")})
		w.pass(2 * time.Second)
	}
	w.expect()
	r.FromDownstream(Message{Text: []byte("M\r\n")})
	w.pass(5 * time.Second)
	if got := w.seen[len(w.seen)-3:]; strings.Join(got, "; ") != "move q; end up ended; outcome q 0 5 true" {
		t.Fatal(w.seen)
	}
}

// A leaving proxy refuses newcomers, moves those it serves once the front sends no more, and is done when all are gone.
func TestLeave(t *testing.T) {
	w := newWorld(t)
	w.serve("q")
	w.core.Admit("c")
	left := false
	w.core.Leave(func() { left = true })
	w.open("new")
	w.expect("refuse new 500")
	w.pass(400 * time.Millisecond)
	w.expect()
	w.pass(1700 * time.Millisecond)
	w.expect("move q", "end up ended", "outcome q 0 6 true")
	w.core.Left()
	w.pass(100 * time.Millisecond)
	if !left {
		t.Fatal("it does not end")
	}
}

// What no host can read goes to none, and no client keeps a request for longer than its class allows.
func TestOddOpenings(t *testing.T) {
	w := newWorld(t)
	ask := func(o Opening) { w.core.Open(&fakeDown{w, o.ID}, &o, nil) }
	ask(Opening{ID: "class", Class: "x", Tenant: "t"})
	ask(Opening{ID: "tenant", Class: "c", Tenant: "x"})
	ask(Opening{ID: "none", Class: "c"})
	w.expect("fail class", "fail tenant", "fail none")
	ask(Opening{ID: "long", Class: "c", Tenant: "t", Wait: 500 * time.Hour, HasWait: true})
	ask(Opening{ID: "long", Class: "c", Tenant: "t"})
	w.expect("request long", "fail long")
	w.pass(4900 * time.Millisecond)
	w.expect("fail long", "gone long")
}

// Small loads of idle connections were taken for delays of two seconds, and a fleet that was well refused most of what
// came. The figures are those of one day.
func TestSmallLoadIsNoDelay(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	for _, x := range []float64{2674, 2506, 216, 21, 2475, 1937} {
		u.ev.FromUpstream(Message{Kind: LoadTold, Load: x})
		w.pass(1200 * time.Millisecond)
	}
	w.expect("note q 1 2674", "note q 1 2506", "note q 2 216", "note q 2 21", "note q 1 2475", "note q 1 1937")
	_, u = w.serve("p") // its host said nothing at first
	u.ev.FromUpstream(Message{Kind: LoadTold, Load: 62})
	u.ev.FromUpstream(Message{Kind: LoadTold, Load: 56})
	w.expect("note p 2 62", "note p 2 56")
}

// A host that operators take out gets nothing more: what is being dialled is taken back, later lists change nothing, and
// what has reached it goes on.
func TestHostOutByHand(t *testing.T) {
	w := newWorld(t)
	_, standing := w.serve("r0")
	w.on = func(e string) {
		switch e {
		case "request r1":
			w.fx.Send("r1", "A", 0)
		case "outcome r1 0 2 false":
			w.fx.Send("r1", "A", 0) // a module that does not listen
		case "outcome r1 1 2 false":
			w.fx.Refuse("r1", 0)
		}
	}
	w.open("r1")
	w.seen = nil
	told := ""
	w.core.Suspend("Z", true, func(known bool) { told += fmt.Sprint(known, " ") })
	w.core.Suspend("A", true, func(known bool) { told += fmt.Sprint(known, " ") })
	w.core.Suspend("A", true, func(known bool) { told += fmt.Sprint(known) })
	if told != "false true true" {
		t.Errorf("told %s", told)
	}
	w.expect("members 4 1", "end up dropped", "outcome r1 0 2 false", "outcome r1 1 2 false", "refuse r1 0")
	standing.ev.FromUpstream(Message{Kind: Plain, Text: []byte("x\r\n")})
	w.expect()
	e := HostEntry{Endpoint: "elsewhere", Entry: brain.Entry{ID: "A"}}
	w.core.Listed(Change{Kind: brain.ListDelta, Hosts: []HostEntry{e}})
	if h := w.core.hosts["A"]; h.state != brain.Suspended {
		t.Errorf("listed anew it has state %d", h.state)
	}
	if got := string(w.core.Figures()); !strings.Contains(got, "concurrent=1\ntargets=2\ntargets_disabled=1\n") {
		t.Errorf("figures %s", got)
	}
	w.pass(time.Second)
	w.expect("members 0 1", "move r0", "end up ended", "outcome r0 0 6 true")
	w.core.Suspend("A", false, func(bool) {})
	if h := w.core.hosts["A"]; h.state != brain.Ready {
		t.Errorf("called back it has state %d", h.state)
	}
}

// Figures count each end where it happens.
func TestFiguresOfMixedEnds(t *testing.T) {
	w := newWorld(t)
	w.core.opt.Sessions = 100
	w.serve("up")
	fail := func(e string) {
		w.fx.Fail(strings.TrimPrefix(e, "request "))
	}
	w.on = fail
	w.open("failed")
	w.on = nil
	w.open("late") // the module never answers
	gone := w.open("gone")
	gone.DownstreamEnded(&netio.Error{Cause: netio.Ended})
	w.open("up") // an id in use
	w.core.Open(&fakeDown{w, "x"}, &Opening{ID: "x", Class: "none", Tenant: "t"}, nil)
	w.on = func(e string) {
		if strings.HasPrefix(e, "request") {
			w.fx.Send("sent", "B", 0)
		}
	}
	w.open("sent")
	w.ups[len(w.ups)-1].ev.UpstreamSent()
	w.on = nil
	w.pass(2 * time.Second)
	w.core.opt.Sessions = 0
	w.core.Admit("c")
	w.core.leaving = true
	w.open("leaving")
	want := "replies.c.success=1\nreplies.c.overload=2\nreplies.c.error=4\ndispatches=1\nconcurrent=1\ntargets=2\ntargets_disabled=0\n"
	if got := string(w.core.Figures()); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// Where a host tells how loaded it is, small loads stay loads while it has room: taken for delays, they made a proxy refuse most
// of what came to a fleet at two fifths. Delays that do come, on a steady second, are found out with the second one, and the load
// that the first one was taken for is put right.
func TestLoadTellsWhatIsADelay(t *testing.T) {
	w := newWorld(t)
	_, u := w.serve("q")
	h := w.core.hosts["A"]
	tell := func(loaded float64, x ...float64) {
		for _, x := range x {
			h.loaded, h.loadedAt = loaded, w.now
			u.ev.FromUpstream(Message{Kind: LoadTold, Load: x})
			w.pass(time.Second)
		}
	}
	tell(0.4, 1167.7)
	w.pass(300 * time.Millisecond)
	tell(0.4, 20710)
	w.pass(300 * time.Millisecond)
	tell(0.4, 390.4)
	w.pass(300 * time.Millisecond)
	tell(0.4, 22000)
	w.expect("note q 1 1167.7", "note q 1 20710", "note q 1 390.4", "note q 1 22000")
	tell(0.7, 77.7, 415.9, 60)
	w.expect("note q 1 77.7", "note q 1 22000", "note q 2 415.9", "note q 2 60")
	w.pass(5 * time.Second)
	tell(1.1, 120)
	w.expect("note q 2 120")
}
