package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// placeRandomly gives n requests to balancers by chance, all of which stand, and counts those sent to hosts that started lately.
func placeRandomly(all []*fake, rng *rand.Rand, name string, n int, young func(server string) bool) int {
	there := 0
	for i := range n {
		f := all[rng.Intn(len(all))]
		id, from := fmt.Sprintf("%s-%d", name, i), len(f.attemptsStarted)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		for _, s := range f.attemptsStarted[from:] {
			f.establish(s.request)
			if young(s.host) {
				there++
			}
		}
	}
	return there
}

// Hosts that have started lately are empty. Without load reports or a ledger no balancer sees that, holding a connection or
// two: yet such hosts have to get more than their turns.
func TestNewerHostsAreFilled(t *testing.T) {
	const servers, newer, held = 80, 40, 2400
	for _, n := range []int{60, 300} {
		rng := rand.New(rand.NewSource(3))
		all := manyWithoutQuotas(t, n, 1)
		at := 100 * sec
		for _, f := range all {
			f.run(at - f.now)
		}
		none := func(string) bool { return false }
		placeRandomly(all, rng, "before", held, none)
		for _, f := range all {
			var es []ListedHost
			for i := range newer {
				es = append(es, ListedHost{ID: fmt.Sprintf("t%02d", i), Zone: "a", Weight: 1, StartedAt: at})
				es = append(es, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1, State: Draining})
			}
			f.b.ListReceived(f.now, ListDelta, es)
			f.run(10 * sec) // longer than a slow start
		}
		young := func(server string) bool { return server[0] == 't' }
		// Half of the connections are on the older half of the hosts: as many have to be placed for an even load.
		there := placeRandomly(all, rng, "after", held/2, young)
		t.Logf("%d balancers: %d of %d go to the hosts that started lately", n, there, held/2)
		if there < held/2*7/10 {
			t.Errorf("%d balancers: %d of %d to the hosts that started lately, which are empty", n, there, held/2)
		}
		// Once they hold their part they get their turns.
		later := placeRandomly(all, rng, "later", held, young)
		t.Logf("%d balancers: %d of %d later", n, later, held)
		if later > held*65/100 || later < held*4/10 {
			t.Errorf("%d balancers: %d of %d to the hosts that started lately once they are full", n, later, held)
		}
	}
}
