package rules

import (
	"testing"

	"croftlock/internal/namespace"
)

// While a host and a tenant change hands, and one is cut off: from the moment that anyone may use them as the new owner nobody uses them as the old.
func TestNothingBelongsToTwo(t *testing.T) {
	g := begin(t, 4)
	g.run(within)
	type use struct {
		at   Time
		pool string
		acc  string
	}
	var uses []use
	g.cut[4] = true
	next := frame()
	next.Book.Pools[0].Kinds, next.Book.Pools[1].Kinds = nil, []string{"m1", "m2"}
	next.Book.Accounts[0].Tenants, next.Book.Accounts[1].Tenants = []string{"t1"}, []string{"t2", "t3"}
	g.put(next, 2)
	for range 300 {
		g.run(20 * ms)
		for i := uint32(1); i <= 4; i++ {
			gate := g.m[i].Gate
			v := gate.Judge(namespace.Ask{Tenant: "t2", Class: "c"})
			if v.Lapsed {
				continue
			}
			u := use{at: g.now, pool: gate.Pool("h", "m1", "")}
			if !v.Refused {
				u.acc = v.Account
			}
			uses = append(uses, u)
		}
		if len(uses) > 200 {
			g.cut[4] = false
		}
	}
	first := map[string]Time{}
	for _, u := range uses {
		for _, w := range []string{"pool " + u.pool, "account " + u.acc} {
			if _, seen := first[w]; !seen {
				first[w] = u.at
			}
		}
	}
	for _, u := range uses {
		if u.pool == "a" && u.at >= first["pool b"] || u.acc == "acme" && u.at >= first["account other"] {
			t.Fatalf("at %d ms in pool %q and account %q, and by others since %d and %d ms", u.at/ms, u.pool, u.acc, first["pool b"]/ms, first["account other"]/ms)
		}
	}
	if first["pool b"] == 0 || first["account other"] == 0 {
		t.Fatalf("nothing changed hands: %v", first)
	}
}
