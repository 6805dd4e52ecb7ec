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
	b        *Brain
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

func (f *fake) Send(r, s string, t Time) {
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

func (f *fake) Refuse(r string, after Time) {
	f.refused[r] = after
	f.answers[r]++
	f.say("%d refuse %s %d", f.now, r, after)
}

func (f *fake) Fail(r string) { f.failed[r] = true; f.answers[r]++; f.say("%d fail %s", f.now, r) }

func (f *fake) Cancel(r string, n int) { f.cancels = append(f.cancels, r); f.say("cancel %s %d", r, n) }

func (f *fake) Move(r string) { f.moves = append(f.moves, r); f.say("%d move %s", f.now, r) }

func (f *fake) Probe(s string) { f.say("probe %s", s) }

func (f *fake) Tell(p int, d []byte) { f.told = append(f.told, d); f.say("tell %d %x", p, d) }

func (f *fake) Watch(on bool) { f.watches = append(f.watches, f.now); f.say("watch %v", on) }

func (f *fake) Fetch() { f.say("fetch") }

func (f *fake) After(d Time, token string) {
	f.timers = append(f.timers, timer{f.now + d, token})
	f.say("after %d %s", d, token)
}

func (f *fake) Log(text string) { f.say("log %s", text) }

func settings() Config {
	return Config{Me: 0, Peers: 1, Zone: "a", Zones: []string{"a", "b"}, Tick: 5 * ms,
		Classes:     []Class{{Name: "x", Aim: 300 * ms, Deadline: 2 * sec, MessageAim: 100 * ms}},
		MaxAttempts: 4, ConnectTimeout: 200 * ms, MaxRetryAfter: sec, RetryAfter: true, MayCancel: true,
		ColdFrom: 0.2, WarmUp: 10 * sec, FallMultiple: 3, Fall: sec, AskWithin: 10 * sec, Pass: true,
		QuarantineInit: -1, QuarantineMax: -1}
}

func start(t testing.TB, cfg Config, servers ...Entry) *fake {
	t.Helper()
	f := &fake{t: t, now: 100 * sec, attempts: map[string]int{}, out: map[string]bool{},
		answers: map[string]int{}, refused: map[string]Time{}, failed: map[string]bool{}}
	b, err := New(cfg, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	f.b = b
	b.Members(f.now, ListCached, 1, servers)
	return f
}

func fleet(n int) []Entry {
	var es []Entry
	for i := 0; i < n; i++ {
		es = append(es, Entry{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1})
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
		f.b.Timer(f.now, t.token)
	}
	f.now = end
}

func (f *fake) request(id string) { f.b.Request(f.now, Request{ID: id, Tenant: -1, Left: 2 * sec}) }

// breaks is one failed connect to a server.
func (f *fake) breaks(s *server) {
	f.b.tick(f.now)
	f.b.failure(s, f.now, true)
}

func (f *fake) last() sent { return f.sends[len(f.sends)-1] }

func (f *fake) stands(id string) {
	f.b.First(f.now, id, f.attempts[id]-1, 10*ms)
}

func (f *fake) ends(id string, s Status) {
	f.out[id] = false
	if s == OK {
		f.answers[id]++
	}
	f.b.Outcome(f.now, id, f.attempts[id]-1, s, 10*ms, s == OK, nil)
}

// serve sends one request, lets it stand and end, and returns its server.
func (f *fake) serve(id string) string {
	f.request(id)
	s := f.last().server
	f.stands(id)
	f.ends(id, OK)
	return s
}
