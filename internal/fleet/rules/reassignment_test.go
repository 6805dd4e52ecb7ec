package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

// A host and a tenant are reassigned while a member is cut off: from the first use by the new owner
// at any member, no member lets the old one use them.
func TestReassignedHostsHaveOneOwnerAtATime(t *testing.T) {
	fleet := startWithPools(t, 4)
	fleet.run(leaseDuration)
	type use struct {
		at      Time
		pool    string
		account string
	}
	var uses []use
	fleet.isolated[4] = true
	next := twoCustomers()
	next.Directory.Pools[0].Kinds, next.Directory.Pools[1].Kinds = nil, []string{"m1", "m2"}
	next.Directory.Accounts[0].Tenants, next.Directory.Accounts[1].Tenants = []string{"t1"}, []string{"t2", "t3"}
	fleet.proposeOperators(next, 2)
	for range 300 {
		fleet.run(20 * ms)
		for i := uint32(1); i <= 4; i++ {
			enforcer := fleet.members[i].Enforcer
			v := enforcer.Evaluate(namespace.Request{Tenant: "t2", Class: "c"})
			if v.Lapsed {
				continue
			}
			u := use{at: fleet.now, pool: enforcer.Pool("h", "m1", "")}
			if !v.Rejected {
				u.account = v.Account
			}
			uses = append(uses, u)
		}
		if len(uses) > 200 {
			fleet.isolated[4] = false
		}
	}
	firstUse := map[string]Time{}
	for _, u := range uses {
		for _, owner := range []string{"pool " + u.pool, "account " + u.account} {
			if _, seen := firstUse[owner]; !seen {
				firstUse[owner] = u.at
			}
		}
	}
	for _, u := range uses {
		if u.pool == "a" && u.at >= firstUse["pool b"] || u.account == "acme" && u.at >= firstUse["account other"] {
			t.Fatalf("used at %d ms in pool %q by account %q, and by the new owners since %d and %d ms", u.at/ms, u.pool, u.account, firstUse["pool b"]/ms, firstUse["account other"]/ms)
		}
	}
	if firstUse["pool b"] == 0 || firstUse["account other"] == 0 {
		t.Fatalf("nothing was reassigned: %v", firstUse)
	}
}

// A member that missed 10,000 versions gets the newest one complete, and acts by none in between.
func TestMemberFarBehind(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.isolated[3] = true
	fleet.run(2 * leaseDuration)
	for n := range uint64(2000) {
		fleet.proposeOperators(&Version{ExcludedHosts: []string{string(rune('a' + n%26))}}, n)
		fleet.run(100 * ms)
	}
	if fleet.publisher.versions.active.Number != 2000 {
		t.Fatalf("version %d is active: %s", fleet.publisher.versions.active.Number, fleet.lastAnswer())
	}
	fleet.publisher.versions.active.Number, fleet.publisher.versions.active.OperatorsNumber = 10_000, 10_000 // as if 8,000 more had followed
	fleet.publisher.versions.activeHash, fleet.publisher.versions.transfers = fleet.publisher.versions.active.Hash(), nil
	fleet.observations = nil
	fleet.isolated[3] = false
	fleet.run(2 * leaseDuration)
	if n, left := fleet.members[3].Enforcer.ActiveVersion(); n != 10_000 || left <= 0 {
		t.Fatalf("it acts by version %d for %d ms more, expected 10000", n, left/ms)
	}
	for _, o := range fleet.observations {
		if o.member == 3 && !o.lapsed && o.number != 10_000 {
			t.Fatalf("it acted by version %d in between", o.number)
		}
	}
	if len(fleet.publisher.versions.history) > maxHistory || len(fleet.publisher.audit.active) > maxAuditEntries || len(fleet.checkpoint) > maxCheckpointBytes {
		t.Errorf("%d versions, %d changes, %d bytes are stored", len(fleet.publisher.versions.history), len(fleet.publisher.audit.active), len(fleet.checkpoint))
	}
}

// A change whose publisher ended while it was staged is retried at the next one: the answer is that
// it is active, not that it was made against an older version. Retries take no tokens of the rate
// limit.
func TestRetryAtAnotherPublisher(t *testing.T) {
	fleet := startWithPools(t, 3)
	fleet.isolated[3] = true // delays its activation
	c := NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, []byte("once-and-again"))
	fleet.proposeSigned(c, 1)
	fleet.run(100 * ms)
	if fleet.publisher.versions.staged == nil {
		t.Fatal("it is not staged:", fleet.lastAnswer())
	}
	fleet.restartPublisher()
	n := len(fleet.answers)
	for range 3 * defaultChangesPerMinute {
		fleet.propose(c)
	}
	fleet.run(4 * leaseDuration)
	got := fleet.answers[n:]
	if len(got) != 1 || !strings.HasPrefix(got[0], "active: version 3 at") {
		t.Errorf("%q", got)
	}
	fleet.propose(c)
	fleet.expectAnswer("active: version 3 at")
}
