package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// place gives n requests to balancers by chance, all of which stand, and counts those sent to servers that started lately.
func place(all []*fake, rng *rand.Rand, name string, n int, young func(server string) bool) int {
	there := 0
	for i := range n {
		f := all[rng.Intn(len(all))]
		id, from := fmt.Sprintf("%s-%d", name, i), len(f.sends)
		f.b.RequestArrived(f.now, Request{ID: id, Tenant: -1, Remaining: 4800 * ms})
		for _, s := range f.sends[from:] {
			f.stands(s.req)
			if young(s.server) {
				there++
			}
		}
	}
	return there
}

// Servers that have come up are empty, and where neither loads nor a book are told nobody sees it: with a connection or two
// at each balancer they went on getting their turns and no more, while those before them were full.
func TestServersThatStartedLatelyAreFilled(t *testing.T) {
	const servers, newer, held = 80, 40, 2400
	for _, n := range []int{60, 300} {
		rng := rand.New(rand.NewSource(3))
		all := untold(t, n, 1)
		at := 100 * sec
		for _, f := range all {
			f.run(at - f.now)
		}
		none := func(string) bool { return false }
		place(all, rng, "before", held, none)
		for _, f := range all {
			var es []ListedHost
			for i := range newer {
				es = append(es, ListedHost{ID: fmt.Sprintf("t%02d", i), Zone: "a", Weight: 1, StartedAt: at})
				es = append(es, ListedHost{ID: fmt.Sprintf("s%02d", i), Zone: "a", Weight: 1, State: Draining})
			}
			f.b.ListReceived(f.now, ListDelta, 2, es)
			f.run(10 * sec) // longer than a warm-up
		}
		young := func(server string) bool { return server[0] == 't' }
		// Half of what is held stands on the other half of the servers: as much is to be placed to be even.
		there := place(all, rng, "after", held/2, young)
		t.Logf("%d balancers: %d of %d go to the servers that started lately", n, there, held/2)
		if there < held/2*7/10 {
			t.Errorf("%d balancers: %d of %d to the servers that started lately, which are empty", n, there, held/2)
		}
		// Once they hold their part they get their turns.
		later := place(all, rng, "later", held, young)
		t.Logf("%d balancers: %d of %d later", n, later, held)
		if later > held*65/100 || later < held*4/10 {
			t.Errorf("%d balancers: %d of %d to the servers that started lately once they are full", n, later, held)
		}
	}
}
