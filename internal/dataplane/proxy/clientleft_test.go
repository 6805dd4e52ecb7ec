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

// leaving is a core with the real module among hosts that answer late, badly or not at all, and clients that leave at drawn moments.
type leaving struct {
	*world
	rng     *rand.Rand
	left    map[string]int64 // when a client has left
	begun   int              // attempts
	wrote   int              // first lines
	permits int              // held
}

// Start checks that no attempt begins for a client that has left, and draws what becomes of it.
func (w *leaving) Start(_ Target, _ RequestLine, _ int64, within time.Duration, ev UpstreamEvents) Upstream {
	id := ev.(*upstreamRequest).request.attributes.ID
	w.begun++
	w.checkThere(id, "an attempt begins")
	u := &drawnUp{fakeUp: &fakeUp{w: w.world, ev: ev}, at: w, id: id}
	took := w.draw(120 * time.Millisecond)
	if took >= within || w.rng.Intn(20) == 0 {
		u.after(min(took, within), func() { ev.UpstreamEnded(&netio.Error{Stage: netio.Connecting, Cause: netio.Refused}) })
	} else {
		u.after(took, u.stands)
	}
	return u
}

func (w *leaving) draw(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(most)))
}

func (w *leaving) checkThere(id, what string) {
	if at, gone := w.left[id]; gone {
		w.t.Errorf("%s for %s, whose client left %v before", what, id, time.Duration(w.now-at))
	}
}

// drawnUp is an attempt whose course is drawn.
type drawnUp struct {
	*fakeUp
	at   *leaving
	id   string
	over bool
}

func (u *drawnUp) End(netio.Cause) { u.over = true }

func (u *drawnUp) after(d time.Duration, f func()) {
	u.w.loop.After(d, func() {
		if !u.over {
			f()
		}
	})
}

// stands is the moment in which the connection has come up.
func (u *drawnUp) stands() {
	if !u.ev.MaySend() {
		return
	}
	u.at.checkThere(u.id, "a first line is written")
	u.at.wrote++
	u.sent()
	answer := u.at.rng.Intn(20)
	u.after(u.at.draw(250*time.Millisecond), func() {
		switch answer {
		default:
			u.ev.FromUpstream(Message{Kind: Accepted, Text: []byte("UP\r\n")})
		case 1, 2:
			u.ev.FromUpstream(Message{Kind: OverCapacity})
		case 3:
			u.ev.FromUpstream(Message{Kind: Failed})
		case 4, 5:
			u.ev.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broke})
		case 6: // nothing comes
		}
	})
}

// newLeaving has half of the clients wait for a permit over the fleet, and all for another proxy's answer, which never comes.
func newLeaving(t *testing.T) *leaving {
	w := &leaving{world: &world{t: t, now: 1e18}, rng: rand.New(rand.NewSource(5)), left: map[string]int64{}}
	w.loop = netio.NewLoopAt(func() int64 { return w.now })
	cfg := balancer.Config{Instances: 3, Tick: 2e6, MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9, MayGossip: true, MayCancel: true, ConnectTimeout: 250e6, SlowStartFloor: 0.2, SlowStartDuration: 10e9,
		SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9, EjectionInitial: -1, EjectionMax: -1,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, MessageLatencyObjective: 150e6}}, Tenants: []balancer.Tenant{{Name: "t1"}, {Name: "t2"}}}
	w.core = New(w.loop, w, Options{Sessions: 5000, Settings: cfg})
	ch := Change{Kind: balancer.ListFull}
	for i := range 6 {
		id := fmt.Sprintf("h%d", i)
		ch.Hosts = append(ch.Hosts, HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1}})
	}
	if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, ch); err != nil {
		t.Fatal(err)
	}
	w.core.SetPeers(deaf{})
	gate := &rules.Enforcer{Now: func() int64 { return w.now }}
	rules.ActByForTest(gate, &rules.Version{Number: 1, Book: &namespace.Book{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t1"}}}}}, w.now+1e13)
	w.core.SetQuota(w)
	w.core.SetRules(gate)
	return w
}

// deaf are peers that hear nothing.
type deaf struct{}

func (deaf) SendToPeer(int, []byte) {}

// IsLimited, Take, Hold and Release are limits over the fleet whose word takes a drawn time.
func (w *leaving) IsLimited(account string) bool { return account == "a" }
func (w *leaving) Acquire(_ string, _ float64, then func(string, time.Duration)) {
	w.permits++
	w.loop.After(w.draw(300*time.Millisecond), func() { then("", 0) })
}
func (w *leaving) CountExisting(string) { w.permits++ }
func (w *leaving) Release(string)       { w.permits-- }

// state names what a request waits for.
func state(r *Request, permitted bool) string {
	switch {
	case r.attempt != nil && r.attempt.lineUnsent():
		return "a connection"
	case r.attempt != nil:
		return "a host's answer"
	case !permitted:
		return "a permit"
	case r.attempts > 0:
		return "a retry"
	}
	return "a choice"
}

// Whatever a request waits for as its client leaves, nothing begins for it any more.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	w := newLeaving(t)
	const clients = 4000
	gone := map[string]int{}
	for n := range clients {
		id := fmt.Sprintf("%016x", n)
		tenant := []string{"t1", "t2"}[n%2]
		r := w.core.Open(&fakeDown{w.world, id}, &Opening{ID: id, Class: "c", Tenant: tenant, Wait: 3 * time.Second, HasWait: true}, nil)
		w.loop.After(w.draw(1500*time.Millisecond), func() {
			if r == nil || r.answered() {
				return
			}
			gone[state(r, tenant == "t2" || r.quotaAccount != "")]++
			w.left[id] = w.now
			r.DownstreamEnded(&netio.Error{Cause: netio.Ended})
		})
		w.pass(10 * time.Millisecond)
	}
	w.pass(10 * time.Second)
	t.Logf("%d clients, %d attempts, %d first lines; left while they waited for: %v", clients, w.begun, w.wrote, gone)
	for _, what := range []string{"a permit", "a choice", "a connection", "a host's answer", "a retry"} {
		if gone[what] < 10 {
			t.Errorf("%d clients left while they waited for %s: too few to tell", gone[what], what)
		}
	}
	for id, r := range w.core.requests {
		if !r.answered() || r.attempt == nil {
			t.Errorf("%s is still there", id)
		}
	}
}
