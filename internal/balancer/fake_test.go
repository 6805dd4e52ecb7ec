package balancer

import (
	"fmt"
	"testing"
)

type attemptStart struct {
	request, host string
	timeout       Time
	at            Time
}

// fake records the actions of one balancer and lets a test answer them.
type fake struct {
	t               testing.TB
	b               *Balancer
	now             Time
	attemptsStarted []attemptStart
	attempts        map[string]int
	inFlight        map[string]bool
	answers         map[string]int
	rejected        map[string]Time
	failed          map[string]bool
	migrations      []string
	cancelled       []string
	watches         []Time
	timers          []timer
	peerMessages    [][]byte
	trace           []string
}

type timer struct {
	at    Time
	token string
}

func (f *fake) record(format string, a ...any) { f.trace = append(f.trace, fmt.Sprintf(format, a...)) }

func (f *fake) StartAttempt(r, s string, t Time) {
	if f.inFlight[r] {
		f.t.Errorf("two attempts of %s out at once", r)
	}
	if f.answers[r] > 0 {
		f.t.Errorf("%s sent after its final answer", r)
	}
	f.inFlight[r] = true
	f.attempts[r]++
	f.attemptsStarted = append(f.attemptsStarted, attemptStart{r, s, t, f.now})
	f.record("%d send %s %s %d", f.now, r, s, t)
}

func (f *fake) Reject(r string, after Time) {
	f.rejected[r] = after
	f.answers[r]++
	f.record("%d refuse %s %d", f.now, r, after)
}

func (f *fake) Fail(r string) { f.failed[r] = true; f.answers[r]++; f.record("%d fail %s", f.now, r) }

func (f *fake) CancelAttempt(r string, n int) {
	f.cancelled = append(f.cancelled, r)
	f.record("cancel %s %d", r, n)
}

func (f *fake) Migrate(r string) {
	f.migrations = append(f.migrations, r)
	f.record("%d move %s", f.now, r)
}

func (f *fake) HealthCheck(s string) { f.record("probe %s", s) }

func (f *fake) SendToPeer(p int, d []byte) {
	f.peerMessages = append(f.peerMessages, d)
	f.record("tell %d %x", p, d)
}

func (f *fake) WatchList(on bool) { f.watches = append(f.watches, f.now); f.record("watch %v", on) }

func (f *fake) FetchList() { f.record("fetch") }

func (f *fake) Schedule(d Time, token string) {
	f.timers = append(f.timers, timer{f.now + d, token})
	f.record("after %d %s", d, token)
}

func (f *fake) Report(e Event) { f.record("report %T %+v", e, e) }

func settings() Config {
	return Config{Instance: 0, Instances: 1, Zone: "a", Zones: []string{"a", "b"}, Tick: 5 * ms,
		Classes:     []Class{{Name: "x", LatencyObjective: 300 * ms, Deadline: 2 * sec, MessageLatencyObjective: 100 * ms}},
		MaxAttempts: 4, ConnectTimeout: 200 * ms, MaxRetryAfter: sec, SendsRetryAfter: true, MayCancel: true,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * sec, SlowStartOverloadFactor: 3, SlowStartOverloadWindow: sec, PollInterval: 10 * sec, PassThrough: true,
		EjectionInitial: -1, EjectionMax: -1}
}

func start(t testing.TB, cfg Config, servers ...ListedHost) *fake {
	t.Helper()
	f := &fake{t: t, now: 100 * sec, attempts: map[string]int{}, inFlight: map[string]bool{},
		answers: map[string]int{}, rejected: map[string]Time{}, failed: map[string]bool{}}
	b, err := New(cfg, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	f.b = b
	b.ListReceived(f.now, ListCached, servers)
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

// failConnect is one failed connect to a host.
func (f *fake) failConnect(s *host) {
	f.b.tick(f.now)
	f.b.hostFailed(s, f.now, true)
}

func (f *fake) last() attemptStart { return f.attemptsStarted[len(f.attemptsStarted)-1] }

func (f *fake) establish(id string) {
	f.b.AttemptEstablished(f.now, id, f.attempts[id]-1, 10*ms)
}

func (f *fake) end(id string, s AttemptStatus) {
	f.inFlight[id] = false
	if s == OK {
		f.answers[id]++
	}
	f.b.AttemptEnded(f.now, AttemptResult{RequestID: id, Attempt: f.attempts[id] - 1, Status: s, Elapsed: 10 * ms, Closed: s == OK})
}

// serve sends one request, lets it stand and end, and returns its host.
func (f *fake) serve(id string) string {
	f.request(id)
	s := f.last().host
	f.establish(id)
	f.end(id, OK)
	return s
}
