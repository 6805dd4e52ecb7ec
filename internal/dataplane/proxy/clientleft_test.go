package proxy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// leavingClients is a core with the real balancer, hosts that answer late, badly or not at all, and
// clients that leave at random times.
type leavingClients struct {
	*harness
	rng          *rand.Rand
	leftAt       map[string]int64 // ns, by request: when a client left before its answer
	attempts     int
	linesWritten int // first lines written
	quotaInUse   int // connections of account a that count against its quota
}

// Start checks that no attempt begins for a client that has left. The connection is established or
// refused at random, after a random delay.
func (w *leavingClients) Start(_ Target, _ RequestLine, _ int64, within time.Duration, ev UpstreamEvents) Upstream {
	id := ev.(*upstreamRequest).request.attributes.ID
	w.attempts++
	w.checkNotLeft(id, "an attempt begins")
	u := &randomUpstream{fakeUpstream: &fakeUpstream{harness: w.harness, events: ev}, clients: w, requestID: id}
	delay := w.randomDuration(120 * time.Millisecond)
	if delay >= within || w.rng.Intn(20) == 0 {
		u.after(min(delay, within), func() { ev.UpstreamEnded(&netio.Error{Stage: netio.Connecting, Cause: netio.Refused}) })
	} else {
		u.after(delay, u.connected)
	}
	return u
}

// randomDuration returns a random duration shorter than limit.
func (w *leavingClients) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(limit)))
}

// checkNotLeft checks that the client of request id has not left when an event happens.
func (w *leavingClients) checkNotLeft(id, event string) {
	if at, leftWhileWaiting := w.leftAt[id]; leftWhileWaiting {
		w.test.Errorf("%s for request %s, whose client left %v before", event, id, time.Duration(w.now-at))
	}
}

// randomUpstream is an upstream whose host answers at random, or never.
type randomUpstream struct {
	*fakeUpstream
	clients   *leavingClients // the test that the upstream belongs to
	requestID string
	ended     bool
}

func (u *randomUpstream) End(netio.Cause) { u.ended = true }

// after calls f after a delay, unless the upstream has ended by then.
func (u *randomUpstream) after(d time.Duration, f func()) {
	u.harness.loop.After(d, func() {
		if !u.ended {
			f()
		}
	})
}

// connected is called when the connection is established. It writes the first line, and the host
// answers at random.
func (u *randomUpstream) connected() {
	if !u.events.MaySend() {
		return
	}
	u.clients.checkNotLeft(u.requestID, "a first line is written")
	u.clients.linesWritten++
	u.sent()
	answer := u.clients.rng.Intn(20)
	u.after(u.clients.randomDuration(250*time.Millisecond), func() {
		switch answer {
		default:
			u.events.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
		case 1, 2:
			u.events.FromUpstream(Message{Kind: OverCapacity})
		case 3:
			u.events.FromUpstream(Message{Kind: Failed})
		case 4, 5:
			u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broken})
		case 6: // the host never answers
		}
	})
}

// newLeavingClients returns a core whose requests wait for another proxy's answer, which never
// comes. Those of tenant t1 also wait for quota.
func newLeavingClients(t *testing.T) *leavingClients {
	t.Helper()
	w := &leavingClients{harness: newHarnessWithoutCore(t), rng: rand.New(rand.NewSource(5)), leftAt: map[string]int64{}}
	cfg := balancer.Config{Instances: 3, Tick: 2e6, MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9, MayGossip: true, MayCancel: true, ConnectTimeout: 250e6, SlowStartFloor: 0.2, SlowStartDuration: 10e9,
		SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9, EjectionInitial: -1, EjectionMax: -1,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, MessageLatencyObjective: 150e6}}, Tenants: []balancer.Tenant{{Name: "t1"}, {Name: "t2"}}}
	w.core = New(w.loop, w, Options{MaxDownstreams: 5000, Settings: cfg})
	event := WatchEvent{Kind: balancer.ListFull}
	for i := range 6 {
		id := fmt.Sprintf("h%d", i)
		event.Hosts = append(event.Hosts, HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1}})
	}
	if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, event); err != nil {
		t.Fatal(err)
	}
	w.core.SetPeers(droppingPeers{})
	enforcer := &rules.Enforcer{Now: func() int64 { return w.now }}
	rules.SetActiveVersionForTest(enforcer, &rules.Version{Number: 1, Directory: &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t1"}}}}}, w.now+1e13)
	w.core.SetQuota(w)
	w.core.SetRules(enforcer)
	return w
}

// droppingPeers drops all messages to other proxies.
type droppingPeers struct{}

func (droppingPeers) SendToPeer(int, []byte) {}

// IsLimited, Acquire, CountExisting and Release implement a Quota that limits account a, and
// replies after a random delay.
func (w *leavingClients) IsLimited(account string) bool { return account == "a" }
func (w *leavingClients) Acquire(_ string, _ float64, done func(string, time.Duration)) {
	w.quotaInUse++
	w.loop.After(w.randomDuration(300*time.Millisecond), func() { done("", 0) })
}
func (w *leavingClients) CountExisting(string) { w.quotaInUse++ }
func (w *leavingClients) Release(string)       { w.quotaInUse-- }

// awaitedStep returns what a request waits for. hasQuota reports whether the request has its quota
// or needs none.
func awaitedStep(r *Request, hasQuota bool) string {
	switch {
	case r.attempt != nil && r.attempt.lineUnsent():
		return "a connection"
	case r.attempt != nil:
		return "a host's answer"
	case !hasQuota:
		return "its quota"
	case r.attempts > 0:
		return "a retry"
	}
	return "its placement"
}

// TestNothingBeginsForClientsThatLeft checks that no attempt begins and no first line is written
// for a request whose client has left, whatever the request waited for at that moment.
func TestNothingBeginsForClientsThatLeft(t *testing.T) {
	w := newLeavingClients(t)
	const clients = 8000
	leftDuring := map[string]int{}
	for n := range clients {
		id := fmt.Sprintf("%016x", n)
		tenant := []string{"t1", "t2"}[n%2]
		r := w.core.Open(&fakeDownstream{w.harness, id}, &Opening{ID: id, Class: "c", Tenant: tenant, Wait: 3 * time.Second, HasWait: true}, nil)
		w.loop.After(w.randomDuration(1500*time.Millisecond), func() {
			if r == nil || r.answered() {
				return
			}
			leftDuring[awaitedStep(r, tenant == "t2" || r.quotaAccount != "")]++
			w.leftAt[id] = w.now
			r.DownstreamEnded(&netio.Error{Cause: netio.Ended})
		})
		w.advance(10 * time.Millisecond)
	}
	w.advance(10 * time.Second)
	t.Logf("%d clients, %d attempts, %d first lines; left while they waited for: %v", clients, w.attempts, w.linesWritten, leftDuring)
	for _, step := range []string{"its quota", "its placement", "a connection", "a host's answer", "a retry"} {
		if leftDuring[step] < 10 {
			t.Errorf("%d clients left while they waited for %s, want at least 10 for the check", leftDuring[step], step)
		}
	}
	for id, r := range w.core.requests {
		if !r.answered() || r.attempt == nil {
			t.Errorf("request %s is still in the table: answered %t, has an attempt %t, want an answered request with an attempt", id, r.answered(), r.attempt != nil)
		}
	}
}
