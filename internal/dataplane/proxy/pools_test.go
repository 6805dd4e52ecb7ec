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

// Random sequences of rules versions, lists, requests and ends of attempts. A pool is the subset of
// hosts that the rules assign to a tenant. Each request must go only to hosts of its tenant's pool
// and get one answer, and each open connection must belong to the pool of its host.
func TestRequestsStayInTheirPool(t *testing.T) {
	open, poolSwaps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newPoolHarness(t)
		for n := range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				w.swapPools(t)
				poolSwaps++
			case 1, 2, 3:
				id := fmt.Sprint(n)
				w.tenantByRequest[id] = rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "tenant")
				w.core.Open(&fakeDownstream{w.harness, id}, &Opening{ID: id, Class: "c", Tenant: w.tenantByRequest[id], Wait: time.Second, HasWait: true}, nil)
			case 4:
				w.core.ListReceived(w.fullList())
			case 5, 6:
				w.endAttempt(t)
			case 7, 8: // the host has the first line and has not answered yet
				if n := len(w.upstreams); n > 0 {
					w.upstreams[n-1].sent()
				}
			}
			w.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		w.core.ReassignPools()
		open += w.checkOpenConnections(t)
		w.advance(6 * time.Second)
		w.checkAnswers(t)
	})
	if open < 20 || poolSwaps < 20 {
		t.Errorf("%d connections were open at the end and hosts changed pools %d times, want at least 20 each for a meaningful test", open, poolSwaps)
	}
}

// A request whose host resets the connection may have run. If the request must not run twice, the
// balancer of another pool must not place it again, because that balancer does not know of the
// earlier attempt.
func TestRequestThatMayHaveRunIsNotPlacedAgain(t *testing.T) {
	for idempotency, want := range map[balancer.Idempotency]string{balancer.IdempotentWithKey: "fail r", balancer.Idempotent: "start at-B"} {
		w := newHarnessWithoutCore(t)
		enforcer := &rules.Enforcer{Now: func() int64 { return w.now }}
		cfg := balancer.Config{Instances: 1, Tick: 2e6, MaxAttempts: 5, ConnectTimeout: 250e6, SlowStartDuration: 10e9, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9, EjectionInitial: -1, EjectionMax: -1,
			Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, Idempotency: idempotency, DedupWindow: 9e9}}, Tenants: []balancer.Tenant{{Name: "t"}}}
		w.core = New(w.loop, w, Options{MaxDownstreams: 10, Settings: cfg})
		host := func(id, kind string) HostEntry {
			return HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1, Kind: kind}}
		}
		if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, WatchEvent{Kind: balancer.ListFull, Hosts: []HostEntry{host("A", "m1"), host("C", "m1")}}); err != nil {
			t.Fatal(err)
		}
		rules.SetActiveVersionForTest(enforcer, &rules.Version{Number: 1}, w.now+1e12)
		w.core.SetRules(enforcer)
		w.open("r")
		w.upstreams[0].sent()
		rules.SetActiveVersionForTest(enforcer, &rules.Version{Number: 2, Directory: &namespace.Directory{Pools: []namespace.Pool{{Name: "p", Kinds: []string{"m2"}}}, Accounts: []namespace.Account{{Name: "a", Tenants: []string{"t"}, Pools: []string{"p"}}}}}, w.now+1e12)
		w.core.ReassignPools()
		w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{host("B", "m2")}})
		w.events = nil
		w.upstreams[0].events.UpstreamEnded(&netio.Error{Stage: netio.Sent})
		if got := strings.Join(w.events, "; "); !strings.Contains(got, want) {
			t.Errorf("with idempotency %d, events are %q, want %q among them", idempotency, got, want)
		}
	}
}

// A host changes pools while an attempt at it waits for the answer. The connection must be reported
// to the balancer of the host's new pool and ended at that of the old one.
func TestConnectionFollowsItsHost(t *testing.T) {
	w := &poolHarness{harness: newHarnessWithoutCore(t), hosts: map[string]HostEntry{"A": {ListedHost: balancer.ListedHost{ID: "A", Kind: "m1", Weight: 1}, Address: "at-A"}},
		poolByHost: map[string]string{}, tenantByRequest: map[string]string{"r": "t1"}, startsByRequest: map[string]int{}}
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
	}, noDiscovery{}, WatchEvent{Kind: balancer.ListFull, Hosts: []HostEntry{w.hosts["A"]}})
	if err != nil {
		t.Fatal(err)
	}
	w.setRules(1, "m1", false)
	w.core.SetRules(w.enforcer) // A is now in p, which has the second balancer
	r := w.core.Open(&fakeDownstream{w.harness, "r"}, &Opening{ID: "r", Class: "c", Tenant: "t1", Wait: time.Second, HasWait: true}, nil)
	w.upstreams[0].sent()
	w.setRules(3, "m2", false)
	w.core.ReassignPools()
	w.events = nil
	w.upstreams[0].events.FromUpstream(Message{Kind: Accepted})
	w.expect("accept r", "established r 0", "ended r 0 6 true", "balancer 1 adopted r")
	if r.pool != w.core.pools.main {
		t.Errorf("request r belongs to pool %+v, want main", r.pool)
	}
}

// namedBalancer is a fakeBalancer that records its name with each adopted connection.
type namedBalancer struct {
	*fakeBalancer
	name string
}

func (m *namedBalancer) ConnectionAdopted(_ balancer.Time, q balancer.Request, _ string) {
	m.event("%s adopted %s", m.name, q.ID)
}
