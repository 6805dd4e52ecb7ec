package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// placeRandomly has n requests arrive at balancers drawn at random; each is established and stays open. It
// counts those at hosts of which counts says so.
func placeRandomly(balancers []*fake, rng *rand.Rand, name string, n int, counts func(host string) bool) int {
	counted := 0
	for i := range n {
		f := balancers[rng.Intn(len(balancers))]
		id, from := fmt.Sprintf("%s-%d", name, i), len(f.attemptsStarted)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		for _, a := range f.attemptsStarted[from:] {
			f.establish(a.request)
			if counts(a.host) {
				counted++
			}
		}
	}
	return counted
}

// TestNewerHostsAreFilled: hosts that have started lately are empty. Without load reports or a ledger no
// balancer sees that, holding a connection or two: yet such hosts have to get more than their turns.
func TestNewerHostsAreFilled(t *testing.T) {
	const newerHosts, connections = 40, 2400
	for _, n := range []int{60, 300} {
		rng := rand.New(rand.NewSource(3))
		balancers := manyBalancersWithoutQuotas(t, n, 1)
		at := 100 * sec
		for _, f := range balancers {
			f.run(at - f.now)
		}
		none := func(string) bool { return false }
		placeRandomly(balancers, rng, "before", connections, none)
		for _, f := range balancers {
			var changes []ListedHost
			for i := range newerHosts {
				changes = append(changes, warming(fmt.Sprintf("t%02d", i), at), listed(hostID(i), Draining))
			}
			f.listChanged(changes...)
			f.run(10 * sec) // longer than a slow start
		}
		isNewer := func(host string) bool { return host[0] == 't' }
		// Half of the connections are on the older half of the hosts: as many more make an even load.
		filled := placeRandomly(balancers, rng, "after", connections/2, isNewer)
		t.Logf("%d balancers: %d of %d to the newer hosts while they are empty", n, filled, connections/2)
		if filled < connections/2*7/10 {
			t.Errorf("%d balancers: %d of %d to the newer hosts, which are empty", n, filled, connections/2)
		}
		// Once they hold their part they get their turns.
		later := placeRandomly(balancers, rng, "later", connections, isNewer)
		t.Logf("%d balancers: %d of %d to the newer hosts later", n, later, connections)
		if later > connections*65/100 || later < connections*4/10 {
			t.Errorf("%d balancers: %d of %d to the newer hosts once they hold their part", n, later, connections)
		}
	}
}
