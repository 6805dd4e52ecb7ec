package balancer

import (
	"fmt"
	"testing"
)

func TestWarmingHostGetsItsBudgetOnly(t *testing.T) {
	cfg := settings()
	cfg.Instances = 4
	es := fleet(10)
	f := start(t, cfg, es...)
	for i := 0; i < 400; i++ { // 20 a second, 2 a host and second
		f.serve(fmt.Sprint("w", i))
		f.now += 50 * ms
	}
	f.b.ListReceived(f.now, ListDelta, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, StartedAt: f.now}})
	from := len(f.attemptsStarted)
	for i := 0; i < 400; i++ { // a wave of returning clients, all in one second
		f.b.RequestArrived(f.now, Request{ID: fmt.Sprint("v", i), Returned: true, Remaining: 2 * sec})
		f.establish(fmt.Sprint("v", i))
		f.now += sec / 400
	}
	n := 0
	for _, x := range f.attemptsStarted[from:] {
		if x.host == "s03" {
			n++
		}
	}
	if limit := slowStartSafety * 3 * 0.3 * 2; float64(n) > limit+1 {
		t.Fatalf("%d connections in a second to a warming host that bears %.1f from here", n, limit)
	}
}

func TestWholeFleetWarmingQueuesAndRejects(t *testing.T) {
	es := fleet(4)
	for i := range es {
		es[i].StartedAt = 100 * sec
	}
	f := start(t, settings(), es...)
	for i := 0; i < 100; i++ {
		f.request(fmt.Sprint(i))
	}
	if len(f.attemptsStarted) > 4*3 {
		t.Fatalf("%d sent at once to 4 warming hosts", len(f.attemptsStarted))
	}
	n := len(f.attemptsStarted)
	f.run(3 * sec)
	if len(f.attemptsStarted) < n {
		t.Fatal("impossible")
	}
	for i := 0; i < 100; i++ {
		id := fmt.Sprint(i)
		if f.attempts[id] == 0 && f.answers[id] != 1 {
			t.Fatalf("request %s held without an answer", id)
		}
	}
}

// Many balancers with little traffic each: their unused slow start budget must not lie in wait for a wave.
func TestSlowStartTokensOfSparseBalancersExpire(t *testing.T) {
	const peers = 60
	var all []*fake
	for me := 0; me < peers; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances = me, peers
		f := start(t, cfg, fleet(10)...)
		for i := 0; i < 60; i++ { // one connection each 0.5 s and balancer: 12 a second and host in all
			f.serve(fmt.Sprint("w", i))
			f.now += sec / 2
		}
		f.b.ListReceived(f.now, ListDelta, []ListedHost{{ID: "s03", Zone: "a", Weight: 1, StartedAt: f.now}})
		f.now += 4 * sec // nobody comes, then all at once
		all = append(all, f)
	}
	n := 0
	for _, f := range all {
		from := len(f.attemptsStarted)
		for i := 0; i < 10; i++ {
			f.b.RequestArrived(f.now, Request{ID: fmt.Sprint("v", i), Tenant: -1, Returned: true, Remaining: 2 * sec})
			f.establish(fmt.Sprint("v", i))
		}
		for _, x := range f.attemptsStarted[from:] {
			if x.host == "s03" {
				n++
			}
		}
	}
	warmth := 0.2 + 0.8*4/10
	if limit := slowStartSafety * 3 * warmth * 12; float64(n) > limit {
		t.Fatalf("a wave brought %d connections at once to a warming host that bears %.0f in a second", n, limit)
	}
	if n == 0 {
		t.Fatal("a warming host got nothing")
	}
}
