package balancer

import (
	"fmt"
	"testing"
)

const (
	ms  = Time(1e6)
	sec = Time(1e9)
)

// attemptStart is one call of Effects.StartAttempt.
type attemptStart struct {
	request, host string
	timeout       Time
	at            Time
}

// fake takes the place of the proxy core of one balancer: it records the calls that the balancer
// makes to its Effects. Tests call its methods to pass events to the balancer. The maps are keyed
// by request ID.
type fake struct {
	t               testing.TB
	b               *Balancer
	now             Time            // the fake's clock, which only run and the tests advance
	attemptsStarted []attemptStart  // in the order in which they started
	attempts        map[string]int  // number of attempts started
	inFlight        map[string]bool // an attempt or its connection has not ended
	answers         map[string]int  // number of final answers
	rejected        map[string]Time // Retry-After of the rejection
	failed          map[string]bool
	migrations      []string // request IDs
	cancelled       []string // request IDs
	watches         []Time   // times of calls of WatchList
	timers          []timer  // not fired yet, in the order in which they were set
	peerMessages    [][]byte // messages that were sent to other balancers
	healthChecked   []string // host IDs
	trace           []string // all calls of Effects, one line each; only some start with the time
}

// timer is one call of Effects.Schedule.
type timer struct {
	at    Time
	token string
}

// record appends an effect to the trace.
func (f *fake) record(format string, a ...any) { f.trace = append(f.trace, fmt.Sprintf(format, a...)) }

func (f *fake) StartAttempt(request, host string, timeout Time) {
	if f.inFlight[request] {
		f.t.Errorf("%s: an attempt starts while another one is in flight", request)
	}
	if f.answers[request] > 0 {
		f.t.Errorf("%s: an attempt starts after the final answer", request)
	}
	f.inFlight[request] = true
	f.attempts[request]++
	f.attemptsStarted = append(f.attemptsStarted, attemptStart{request, host, timeout, f.now})
	f.record("%d start_attempt %s %s %d", f.now, request, host, timeout)
}

func (f *fake) Reject(request string, retryAfter Time) {
	f.rejected[request] = retryAfter
	f.answers[request]++
	f.record("%d reject %s %d", f.now, request, retryAfter)
}

func (f *fake) Fail(request string) {
	f.failed[request] = true
	f.answers[request]++
	f.record("%d fail %s", f.now, request)
}

func (f *fake) CancelAttempt(request string, attempt int) {
	f.cancelled = append(f.cancelled, request)
	f.record("cancel_attempt %s %d", request, attempt)
}

func (f *fake) Migrate(request string) {
	f.migrations = append(f.migrations, request)
	f.record("%d migrate %s", f.now, request)
}

func (f *fake) HealthCheck(host string) {
	f.healthChecked = append(f.healthChecked, host)
	f.record("health_check %s", host)
}

func (f *fake) SendToPeer(peer int, data []byte) {
	f.peerMessages = append(f.peerMessages, data)
	f.record("send_to_peer %d %x", peer, data)
}

func (f *fake) WatchList(on bool) {
	f.watches = append(f.watches, f.now)
	f.record("watch_list %v", on)
}

func (f *fake) FetchList() { f.record("fetch_list") }

func (f *fake) Schedule(delay Time, token string) {
	f.timers = append(f.timers, timer{f.now + delay, token})
	f.record("schedule %d %s", delay, token)
}

func (f *fake) Report(e Event) { f.record("report %T %+v", e, e) }

// settings returns the settings of a single balancer in zone a of the zones a and b, with one class.
// Its latency objective is 300 ms, its deadline 2 s. There are no tenants, load reports or gossip.
func settings() Config {
	return Config{Instance: 0, Instances: 1, Zone: "a", Zones: []string{"a", "b"}, Tick: 5 * ms,
		Classes:     []Class{classWith(300*ms, 2*sec, 100*ms)},
		MaxAttempts: 4, ConnectTimeout: 200 * ms, MaxRetryAfter: sec, SendsRetryAfter: true, MayCancel: true,
		SlowStartFloor: 0.2, SlowStartDuration: 10 * sec, SlowStartOverloadFactor: 3,
		SlowStartOverloadWindow: sec, PollInterval: 10 * sec, PassThrough: true,
		EjectionInitial: -1, EjectionMax: -1} // derived from the deadline
}

// classWith returns an idempotent class with the given latency objective, deadline and message
// latency objective.
func classWith(objective, deadline, messageObjective Time) Class {
	return Class{Name: "x", LatencyObjective: objective, Deadline: deadline,
		MessageLatencyObjective: messageObjective}
}

// start returns a fake with a new balancer that has received the hosts as its cached endpoint list.
// The fake's clock is at 100 s, so that hosts can have started before.
func start(t testing.TB, cfg Config, hosts ...ListedHost) *fake {
	t.Helper()
	f := &fake{t: t, now: 100 * sec, attempts: map[string]int{}, inFlight: map[string]bool{},
		answers: map[string]int{}, rejected: map[string]Time{}, failed: map[string]bool{}}
	b, err := New(cfg, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	f.b = b
	b.ListReceived(f.now, ListCached, hosts)
	return f
}

// listed returns a host of zone a and weight 1 that started long ago, as an entry of an endpoint
// list.
func listed(id string, state HostState) ListedHost {
	return ListedHost{ID: id, Zone: "a", Weight: 1, State: state}
}

// warming returns a ready host that started at startedAt. It is warming (in slow start) for
// Config.SlowStartDuration after that.
func warming(id string, startedAt Time) ListedHost {
	h := listed(id, Ready)
	h.StartedAt = startedAt
	return h
}

// hostID returns the ID of host i (from 0) of those that the function fleet returns: s00, s01 and
// so on.
func hostID(i int) string { return fmt.Sprintf("s%02d", i) }

// fleet returns n ready hosts of zone a and weight 1, with the IDs hostID(0) to hostID(n-1).
func fleet(n int) []ListedHost {
	var hosts []ListedHost
	for i := range n {
		hosts = append(hosts, listed(hostID(i), Ready))
	}
	return hosts
}

// listChanged passes the given changed hosts to the balancer, as a change of the endpoint list.
func (f *fake) listChanged(hosts ...ListedHost) { f.b.ListReceived(f.now, ListDelta, hosts) }

// run advances the clock by d, and fires the timers that are due in the order of their times.
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

// request passes a new request with the given ID to the balancer. The request has no tenant, and its
// client waits for 2 s.
func (f *fake) request(id string) {
	f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 2 * sec})
}

// failConnect records a failure to connect to a host that belongs to no request.
func (f *fake) failConnect(h *host) {
	f.b.beginEvent(f.now)
	f.b.hostFailed(h, f.now, true)
}

// lastAttempt returns the newest attempt of all requests. There must be one.
func (f *fake) lastAttempt() attemptStart { return f.attemptsStarted[len(f.attemptsStarted)-1] }

// establish reports that the newest attempt of a request has set up its connection, in 10 ms. The
// clock does not advance.
func (f *fake) establish(id string) {
	f.b.AttemptEstablished(f.now, id, f.attempts[id]-1, 10*ms)
}

// end ends the newest attempt of a request, or the connection that the attempt established. Status OK
// means that the request has its final answer.
func (f *fake) end(id string, status AttemptStatus) {
	f.inFlight[id] = false
	if status == OK {
		f.answers[id]++
	}
	f.attemptEnded(id, status, status == OK)
}

// attemptEnded reports the end of the newest attempt of a request to the balancer. closed is the
// field Closed of the result: it means that the client has got its final answer.
func (f *fake) attemptEnded(id string, status AttemptStatus, closed bool) {
	f.b.AttemptEnded(f.now, AttemptResult{RequestID: id, Attempt: f.attempts[id] - 1, Status: status,
		Elapsed: 10 * ms, Closed: closed})
}

// serve passes a new request to the balancer, establishes and ends its connection at once, and returns
// the ID of its host.
func (f *fake) serve(id string) string {
	f.request(id)
	host := f.lastAttempt().host
	f.establish(id)
	f.end(id, OK)
	return host
}

// attemptsAt returns the number of attempts at a host among f.attemptsStarted[from:].
func (f *fake) attemptsAt(host string, from int) (n int) {
	for _, a := range f.attemptsStarted[from:] {
		if a.host == host {
			n++
		}
	}
	return n
}
