package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

// While a host and a tenant change hands, and one is cut off: from the moment that anyone may use them as the new owner nobody uses them as the old.
func TestReassignedHostsHaveOneOwnerAtATime(t *testing.T) {
	g := startWithPools(t, 4)
	g.run(within)
	type use struct {
		at   Time
		pool string
		acc  string
	}
	var uses []use
	g.cut[4] = true
	next := twoCustomers()
	next.Directory.Pools[0].Kinds, next.Directory.Pools[1].Kinds = nil, []string{"m1", "m2"}
	next.Directory.Accounts[0].Tenants, next.Directory.Accounts[1].Tenants = []string{"t1"}, []string{"t2", "t3"}
	g.put(next, 2)
	for range 300 {
		g.run(20 * ms)
		for i := uint32(1); i <= 4; i++ {
			enforcer := g.members[i].Enforcer
			v := enforcer.Judge(namespace.Request{Tenant: "t2", Class: "c"})
			if v.Lapsed {
				continue
			}
			u := use{at: g.now, pool: enforcer.Pool("h", "m1", "")}
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

// One that was away for 10,000 versions takes the newest whole, and nothing in between.
func TestMemberFarBehind(t *testing.T) {
	g := newGroup(t, 3)
	g.cut[3] = true
	g.run(2 * within)
	for n := range uint64(2000) {
		g.put(&Version{HostsOut: []string{string(rune('a' + n%26))}}, n)
		g.run(100 * ms)
	}
	if g.publisher.versions.active.Number != 2000 {
		t.Fatalf("version %d is active: %s", g.publisher.versions.active.Number, g.last())
	}
	g.publisher.versions.active.Number, g.publisher.versions.active.OperatorsNumber = 10_000, 10_000 // as if 8,000 more had come
	g.publisher.versions.activeHash, g.publisher.versions.transfers = g.publisher.versions.active.Hash(), nil
	g.observations = nil
	g.cut[3] = false
	g.run(2 * within)
	if n, left := g.members[3].Enforcer.ActiveVersion(); n != 10_000 || left <= 0 {
		t.Fatalf("acts by %d for %d ms more", n, left/ms)
	}
	for _, a := range g.observations {
		if a.who == 3 && !a.lapsed && a.number != 10_000 {
			t.Fatalf("acted by %d on its way", a.number)
		}
	}
	if len(g.publisher.versions.history) > maxHistory || len(g.publisher.audit.active) > maxAuditEntries || len(g.checkpoint) > maxCheckpointBytes {
		t.Errorf("%d versions, %d changes, %d bytes are kept", len(g.publisher.versions.history), len(g.publisher.audit.active), len(g.checkpoint))
	}
}

// A change whose publisher ends with it on its way is asked for once more at the next one: it hears that it is active, and not that it was made against
// something older. Asking again costs nothing of what may be asked for.
func TestRetryAtAnotherPublisher(t *testing.T) {
	g := startWithPools(t, 3)
	g.cut[3] = true // holds it up
	c := ChangeNamespace(to("acme", 0, "a"), 2, []byte("once-and-again"))
	g.signed(c, 1)
	g.run(100 * ms)
	if g.publisher.versions.staged == nil {
		t.Fatal("it is not on its way:", g.last())
	}
	g.restartPublisher()
	n := len(g.answers)
	for range 3 * defaultChangesPerMinute {
		g.change(c)
	}
	g.run(4 * within)
	got := g.answers[n:]
	if len(got) != 1 || !strings.HasPrefix(got[0], "active: version 3 at") {
		t.Errorf("%q", got)
	}
	g.change(c)
	if !strings.HasPrefix(g.last(), "active: version 3 at") {
		t.Error(g.last())
	}
}
