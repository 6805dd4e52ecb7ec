package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// placeRandomly sends n requests to random balancers. Each connection is established and stays open.
// name is a prefix of the request IDs. placeRandomly returns the number of connections at hosts for
// whose ID matches returns true.
func placeRandomly(balancers []*fake, rng *rand.Rand, name string, n int, matches func(host string) bool) int {
	counted := 0
	for i := range n {
		f := balancers[rng.Intn(len(balancers))]
		id, from := fmt.Sprintf("%s-%d", name, i), len(f.attemptsStarted)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		for _, a := range f.attemptsStarted[from:] {
			f.establish(a.request)
			if matches(a.host) {
				counted++
			}
		}
	}
	return counted
}

// TestNewerHostsAreFilled checks that newer hosts, which have started recently and are empty, get more
// requests than their share by weight. Without load reports or a placement ledger, balancers with few
// connections each cannot see that a host is empty.
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
		// The older half of the hosts holds half of the connections. As many more make the load
		// even.
		filled := placeRandomly(balancers, rng, "after", connections/2, isNewer)
		t.Logf("%d balancers: %d of %d to the newer hosts while they are empty", n, filled, connections/2)
		if filled < connections/2*7/10 {
			t.Errorf("%d balancers: %d of %d connections to the newer hosts, which are empty; want at least %d",
				n, filled, connections/2, connections/2*7/10)
		}
		// Once the newer hosts hold their share, they get their share of the requests by weight only.
		later := placeRandomly(balancers, rng, "later", connections, isNewer)
		t.Logf("%d balancers: %d of %d to the newer hosts later", n, later, connections)
		if later > connections*65/100 || later < connections*4/10 {
			t.Errorf("%d balancers: %d of %d connections to the newer hosts once they hold their share, want %d to %d",
				n, later, connections, connections*4/10, connections*65/100)
		}
	}
}
