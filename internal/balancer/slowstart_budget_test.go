package balancer

import (
	"fmt"
	"testing"
)

func TestWarmingHostGetsItsBudgetOnly(t *testing.T) {
	cfg := settings()
	cfg.Instances = 4
	f := start(t, cfg, fleet(10)...)
	for i := range 400 { // 20 per second, 2 per second at each host
		f.serve(fmt.Sprint("w", i))
		f.now += 50 * ms
	}
	f.listChanged(warming("s03", f.now))
	from := len(f.attemptsStarted)
	for i := range 400 { // a wave of returning clients, all in one second
		f.b.RequestArrived(f.now, Request{ID: fmt.Sprint("v", i), Returned: true, Remaining: 2 * sec})
		f.establish(fmt.Sprint("v", i))
		f.now += sec / 400
	}
	n, budget := f.attemptsAt("s03", from), slowStartShareFactor*3*0.3*2
	if float64(n) > budget+1 {
		t.Fatalf("%d connections within a second to a warming host, want at most one more than its budget of %.1f",
			n, budget)
	}
}

func TestWholeFleetWarmingQueuesAndRejects(t *testing.T) {
	hosts := fleet(4)
	for i := range hosts {
		hosts[i].StartedAt = 100 * sec
	}
	f := start(t, settings(), hosts...)
	for i := range 100 {
		f.request(fmt.Sprint(i))
	}
	if n := len(f.attemptsStarted); n > 4*3 {
		t.Fatalf("%d simultaneous attempts at 4 warming hosts, want at most 12", n)
	}
	f.run(3 * sec)
	for i := range 100 {
		id := fmt.Sprint(i)
		if f.attempts[id] == 0 && (f.answers[id] != 1 || f.rejected[id] == 0) {
			t.Fatalf("request %s: no attempt, %d answers, Retry-After %d; want an attempt, or a rejection with a Retry-After",
				id, f.answers[id], f.rejected[id])
		}
	}
}

// TestSlowStartTokensOfSparseBalancersExpire checks that a wave of returning clients does not get the
// part of a warming host's budget that many balancers with little traffic left unused earlier.
func TestSlowStartTokensOfSparseBalancersExpire(t *testing.T) {
	const instances = 60
	n := 0
	for instance := range instances {
		cfg := settings()
		cfg.Instance, cfg.Instances = instance, instances
		f := start(t, cfg, fleet(10)...)
		for i := range 60 { // one connection per 0.5 s at each balancer: 12 per second at each host
			f.serve(fmt.Sprint("w", i))
			f.now += sec / 2
		}
		f.listChanged(warming("s03", f.now))
		f.now += 4 * sec // without requests, so that tokens are left unused
		from := len(f.attemptsStarted)
		for i := range 10 {
			id := fmt.Sprint("v", i)
			f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Returned: true, Remaining: 2 * sec})
			f.establish(id)
		}
		n += f.attemptsAt("s03", from)
	}
	capacityShare := 0.2 + 0.8*4/10
	if budget := slowStartShareFactor * 3 * capacityShare * 12; float64(n) > budget {
		t.Fatalf("a wave brought %d connections at once to a warming host, want at most its budget of %.0f per second",
			n, budget)
	}
	if n == 0 {
		t.Fatal("a wave brought no connection to the warming host s03, want some")
	}
}
