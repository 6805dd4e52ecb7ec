package balancer

import (
	"fmt"
	"testing"
)

type sent struct {
	req, server string
	timeout     Time
	at          Time
}

// fake records the actions of one brain and lets a test answer them.
type fake struct {
	t        testing.TB
	b        *Balancer
	now      Time
	sends    []sent
	attempts map[string]int
	out      map[string]bool
	answers  map[string]int
	refused  map[string]Time
	failed   map[string]bool
	moves    []string
	cancels  []string
	watches  []Time
	timers   []timer
	told     [][]byte
	trace    []string
}

type timer struct {
	at    Time
	token string
}

func (f *fake) say(format string, a ...any) { f.trace = append(f.trace, fmt.Sprintf(format, a...)) }

func (f *fake) StartAttempt(r, s string, t Time) {
	if f.out[r] {
		f.t.Errorf("two attempts of %s out at once", r)
	}
	if f.answers[r] > 0 {
		f.t.Errorf("%s sent after its final answer", r)
	}
	f.out[r] = true
	f.attempts[r]++
	f.sends = append(f.sends, sent{r, s, t, f.now})
	f.say("%d send %s %s %d", f.now, r, s, t)
}

func (f *fake) Reject(r string, after Time) {
	f.refused[r] = after
	f.answers[r]++
	f.say("%d refuse %s %d", f.now, r, after)
}

func (f *fake) Fail(r string) { f.failed[r] = true; f.answers[r]++; f.say("%d fail %s", f.now, r) }

func (f *fake) CancelAttempt(r string, n int) {
	f.cancels = append(f.cancels, r)
	f.say("cancel %s %d", r, n)
}

func (f *fake) Migrate(r string) { f.moves = append(f.moves, r); f.say("%d move %s", f.now, r) }

func (f *fake) HealthCheck(s string) { f.say("probe %s", s) }

func (f *fake) SendToPeer(p int, d []byte) { f.told = append(f.told, d); f.say("tell %d %x", p, d) }

func (f *fake) WatchList(on bool) { f.watches = append(f.watches, f.now); f.say("watch %v", on) }

func (f *fake) FetchList() { f.say("fetch") }

func (f *fake) Schedule(d Time, token string) {
	f.timers = append(f.timers, timer{f.now + d, token})
	f.say("after %d %s", d, token)
}

func (f *fake) Report(e Event) { f.say("report %T %+v", e, e) }

func settings() Config {
	return Config{Instance: 0, Instances: 1, Zone: "a", Zones: []string{"a", "b"}, Tick: 5 * ms,
		Classes:     []Class{{Name: "x", LatencyObjective: 300 * ms, Deadline: 2 * sec, MessageLatencyObjective: 100 * ms}},
		MaxAttempts: 4, ConnectTimeout: 200 * ms, MaxRetryAfter: sec, SendsRetryAfter: true, MayCancel: true,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * sec, SlowStartOverloadFactor: 3, SlowStartOverloadWindow: sec, PollInterval: 10 * sec, PassThrough: true,
		EjectionInitial: -1, EjectionMax: -1}
}

func start(t testing.TB, cfg Config, servers ...ListedHost) *fake {
	t.Helper()
	f := &fake{t: t, now: 100 * sec, attempts: map[string]int{}, out: map[string]bool{},
		answers: map[string]int{}, refused: map[string]Time{}, failed: map[string]bool{}}
	b, err := New(cfg, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	f.b = b
	b.ListReceived(f.now, ListCached, 1, servers)
	return f
}

func fleet(n int) []ListedHost {
	var es []ListedHost
	for i := 0; i < n; i++ {
		es = append(es, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1})
	}
	return es
}

// run advances the clock, firing timers in order.
func (f *fake) run(d Time) {
	end := f.now + d
	for {
		first := -1
		for i, t := range f.timers {
			if t.at <= end && (first < 0 || t.at < f.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		t := f.timers[first]
		f.timers = append(f.timers[:first], f.timers[first+1:]...)
		f.now = max(f.now, t.at)
		f.b.TimerFired(f.now, t.token)
	}
	f.now = end
}

func (f *fake) request(id string) {
	f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 2 * sec})
}

// breaks is one failed connect to a server.
func (f *fake) breaks(s *host) {
	f.b.tick(f.now)
	f.b.hostFailed(s, f.now, true)
}

func (f *fake) last() sent { return f.sends[len(f.sends)-1] }

func (f *fake) stands(id string) {
	f.b.AttemptEstablished(f.now, id, f.attempts[id]-1, 10*ms)
}

func (f *fake) ends(id string, s AttemptStatus) {
	f.out[id] = false
	if s == OK {
		f.answers[id]++
	}
	f.b.AttemptEnded(f.now, id, f.attempts[id]-1, s, 10*ms, s == OK, nil)
}

// serve sends one request, lets it stand and end, and returns its server.
func (f *fake) serve(id string) string {
	f.request(id)
	s := f.last().server
	f.stands(id)
	f.ends(id, OK)
	return s
}
