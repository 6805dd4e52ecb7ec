package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// poolHarness is a core with the real balancer, hosts of two kinds, and rules that a test changes.
type poolHarness struct {
	*harness
	test     *rapid.T
	enforcer *rules.Enforcer
	hosts    map[string]HostEntry
	owner    map[string]string // pool by host, as the rules have it now
	pools    map[string]string // by tenant
	tenant   map[string]string // by request
	starts   map[string]int
}

// Start is where the checks are: an attempt goes to a host of its tenant's pool alone.
func (w *poolHarness) Start(to Target, first RequestLine, until int64, within time.Duration, ev UpstreamEvents) Upstream {
	id := ev.(*upstreamRequest).request.attributes.ID
	w.starts[id]++
	if got, want := w.owner[to.ID], w.pools[w.tenant[id]]; got != want {
		w.test.Fatalf("%s of tenant %s goes to %s of pool %q, expected one of %q", id, w.tenant[id], to.ID, got, want)
	}
	return w.harness.Start(to, first, until, within, ev)
}

// rule has the core act by a book. kind is which kind of host pool p has; t1 is the tenant of p, t2 has the rest.
func (w *poolHarness) rule(number uint64, kind string, moving map[string]bool) {
	b := &namespace.Directory{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t1"}, Pools: []string{"p"}}}, Pools: []namespace.Pool{{Name: "p", Kinds: []string{kind}}}}
	if moving != nil {
		b.Previous = &namespace.Assignment{Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t1"}}}, Pools: []namespace.Pool{{Name: "p", Kinds: []string{map[string]string{"m1": "m2", "m2": "m1"}[kind]}}}}
	}
	rules.SetActiveVersionForTest(w.enforcer, &rules.Version{Number: number, Directory: b}, w.now+1e12)
	w.pools = map[string]string{"t1": "p", "t2": namespace.Main}
	for id, h := range w.hosts {
		w.owner[id] = namespace.Main
		if h.Kind == kind {
			w.owner[id] = "p"
		}
		if moving != nil {
			w.owner[id] = ""
		}
	}
}

// However versions, lists, ends of attempts and time come together, each request goes to its own pool's hosts alone, gets one answer, and an open
// connection is known to the balancer of the pool that its host is in.
func TestEachPoolHasItsOwn(t *testing.T) {
	stood, moved := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &poolHarness{harness: &harness{now: 1e18}, test: t, hosts: map[string]HostEntry{}, owner: map[string]string{}, tenant: map[string]string{}, starts: map[string]int{}}
		w.loop = netio.NewLoopAt(func() int64 { return w.now })
		w.enforcer = &rules.Enforcer{Now: func() int64 { return w.now }, GraceAfterLapse: true}
		for i, id := range []string{"A", "B", "C", "D"} {
			w.hosts[id] = HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1, Kind: []string{"m1", "m2"}[i%2]}}
		}
		cfg := balancer.Config{Instances: 1, Tick: 2e6, MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9, ConnectTimeout: 250e6, SlowStartFloor: 0.2, SlowStartDuration: 10e9, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9,
			EjectionInitial: -1, EjectionMax: -1, Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, MessageLatencyObjective: 150e6, Idempotency: balancer.NotIdempotent}}, Tenants: []balancer.Tenant{{Name: "t1"}, {Name: "t2"}}}
		w.core = New(w.loop, w, Options{MaxDownstreams: 1000, Settings: cfg})
		ch := Change{Kind: balancer.ListFull}
		for _, id := range []string{"A", "B", "C", "D"} {
			ch.Hosts = append(ch.Hosts, w.hosts[id])
		}
		if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, ch); err != nil {
			t.Fatal(err)
		}
		w.rule(1, "m1", nil)
		w.core.SetRules(w.enforcer)
		kind, number := "m1", uint64(1)
		for n := range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				kind = map[string]string{"m1": "m2", "m2": "m1"}[kind]
				number += 2
				w.rule(number-1, kind, map[string]bool{"p": true})
				if rapid.Bool().Draw(t, "between") {
					w.core.ReassignPools()
				}
				w.pass(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				w.rule(number, kind, nil)
				if rapid.Bool().Draw(t, "at once") { // else requests come before the hosts are put into their pools
					w.core.ReassignPools()
				}
				moved++
			case 1, 2, 3:
				id := fmt.Sprint(n)
				w.tenant[id] = rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "tenant")
				w.core.Open(&fakeDownstream{w.harness, id}, &Opening{ID: id, Class: "c", Tenant: w.tenant[id], Wait: time.Second, HasWait: true}, nil)
			case 4:
				w.core.ListReceived(ch)
			case 7, 8: // its first line is with the host, which is yet to answer
				if n := len(w.upstreams); n > 0 {
					w.upstreams[n-1].sent()
				}
			case 5, 6:
				if len(w.upstreams) == 0 {
					break
				}
				u := w.upstreams[rapid.IntRange(max(0, len(w.upstreams)-2), len(w.upstreams)-1).Draw(t, "attempt")]
				a := u.events.(*upstreamRequest)
				before := w.starts[a.request.attributes.ID]
				u.sent()
				switch rapid.IntRange(0, 2).Draw(t, "end") {
				case 0:
					u.events.FromUpstream(Message{Kind: OverCapacity})
				case 1:
					u.events.FromUpstream(Message{Kind: Accepted})
				case 2:
					u.events.UpstreamEnded(&netio.Error{Stage: netio.Sent}) // it may have run, and must not run twice
					if !a.established && w.starts[a.request.attributes.ID] > before {
						t.Fatalf("%s may have run and is tried again", a.request.attributes.ID)
					}
				}
			}
			w.pass(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		w.core.ReassignPools()
		for id, r := range w.core.requests {
			if a := r.attempt; a != nil && a.established {
				stood++
				if r.pool != a.host.pool || a.host.pool.name != w.owner[a.host.hostID] {
					t.Fatalf("%s is open at %s of %q and is known to %v", id, a.host.hostID, w.owner[a.host.hostID], r.pool)
				}
			}
		}
		w.pass(6 * time.Second)
		answers := map[string]int{}
		for _, s := range w.events {
			var id string
			for _, f := range []string{"accept %s", "reject %s", "fail %s"} {
				if n, _ := fmt.Sscanf(s, f, &id); n == 1 {
					answers[id]++
				}
			}
		}
		for id := range w.tenant {
			if answers[id] != 1 {
				t.Fatalf("%s has %d answers: %v", id, answers[id], w.events)
			}
		}
	})
	if stood < 20 || moved < 20 {
		t.Errorf("%d connections stood and hosts changed pools %d times: too little to show anything", stood, moved)
	}
}

// A request that may have run, and must not run twice, is not placed anew in another pool, whose balancer knows nothing of that.
func TestRequestThatMayHaveRunIsNotPlacedAnew(t *testing.T) {
	for effect, want := range map[balancer.Idempotency]string{balancer.IdempotentWithKey: "fail r", balancer.Idempotent: "start at-B"} {
		w := &harness{test: t, now: 1e18}
		w.loop = netio.NewLoopAt(func() int64 { return w.now })
		gate := &rules.Enforcer{Now: func() int64 { return w.now }}
		cfg := balancer.Config{Instances: 1, Tick: 2e6, MaxAttempts: 5, ConnectTimeout: 250e6, SlowStartDuration: 10e9, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9, EjectionInitial: -1, EjectionMax: -1,
			Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, Idempotency: effect, DedupWindow: 9e9}}, Tenants: []balancer.Tenant{{Name: "t"}}}
		w.core = New(w.loop, w, Options{MaxDownstreams: 10, Settings: cfg})
		host := func(id, kind string) HostEntry {
			return HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1, Kind: kind}}
		}
		if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, Change{Kind: balancer.ListFull, Hosts: []HostEntry{host("A", "m1"), host("C", "m1")}}); err != nil {
			t.Fatal(err)
		}
		rules.SetActiveVersionForTest(gate, &rules.Version{Number: 1}, w.now+1e12)
		w.core.SetRules(gate)
		w.open("r")
		w.upstreams[0].sent()
		rules.SetActiveVersionForTest(gate, &rules.Version{Number: 2, Directory: &namespace.Directory{Pools: []namespace.Pool{{Name: "p", Kinds: []string{"m2"}}}, Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}, Pools: []string{"p"}}}}}, w.now+1e12)
		w.core.ReassignPools()
		w.core.ListReceived(Change{Kind: balancer.ListDelta, Hosts: []HostEntry{host("B", "m2")}})
		w.events = nil
		w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
		if got := strings.Join(w.events, "; "); !strings.Contains(got, want) {
			t.Errorf("effect %d: %s, expected %q", effect, got, want)
		}
	}
}

// A connection that comes up at a host that has changed pools meanwhile is known to the balancer of its new pool, and to no other.
func TestConnectionFollowsItsHost(t *testing.T) {
	w := &poolHarness{harness: &harness{test: t, now: 1e18}, hosts: map[string]HostEntry{"A": {ListedHost: balancer.ListedHost{ID: "A", Kind: "m1", Weight: 1}, Address: "at-A"}}, owner: map[string]string{}, tenant: map[string]string{"r": "t1"}, starts: map[string]int{}}
	w.loop = netio.NewLoopAt(func() int64 { return w.now })
	w.enforcer = &rules.Enforcer{Now: func() int64 { return w.now }}
	balancers := 0
	w.core = New(w.loop, w, Options{MaxDownstreams: 10, Settings: balancer.Config{MaxAttempts: 5, ConnectTimeout: 250e6, Classes: []balancer.Class{{Name: "c", Deadline: 4800e6}}, Tenants: []balancer.Tenant{{Name: "t1"}}}})
	w.onEvent = func(e string) {
		if e == "request r" {
			w.effects.StartAttempt("r", "A", 0)
		}
	}
	err := w.core.Run(func(fx balancer.Effects) (Balancer, error) {
		balancers++
		w.effects = fx
		return &namedBalancer{(*fakeBalancer)(w.harness), fmt.Sprint("balancer ", balancers)}, nil
	}, noDiscovery{}, Change{Kind: balancer.ListFull, Hosts: []HostEntry{w.hosts["A"]}})
	if err != nil {
		t.Fatal(err)
	}
	w.rule(1, "m1", nil)
	w.core.SetRules(w.enforcer) // A is in p, whose balancer is the second
	r := w.core.Open(&fakeDownstream{w.harness, "r"}, &Opening{ID: "r", Class: "c", Tenant: "t1", Wait: time.Second, HasWait: true}, nil)
	w.upstreams[0].sent()
	w.rule(3, "m2", nil)
	w.core.ReassignPools()
	w.events = nil
	w.upstreams[0].events.FromUpstream(Message{Kind: Accepted})
	w.expect("accept r", "established r 0", "ended r 0 6 true", "balancer 1 adopted r")
	if r.pool != w.core.pools.main {
		t.Errorf("%+v", r.pool)
	}
}

// namedBalancer is one of several, and says which.
type namedBalancer struct {
	*fakeBalancer
	name string
}

func (m *namedBalancer) ConnectionAdopted(_ balancer.Time, q balancer.Request, _ string) {
	m.event("%s adopted %s", m.name, q.ID)
}
