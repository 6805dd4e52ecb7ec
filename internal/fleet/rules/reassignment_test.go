package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

// A host and a tenant are reassigned while a member is isolated. From the first use by the new
// owner at any member on, no member may let the old owner use them.
func TestReassignedHostsHaveOneOwnerAtATime(t *testing.T) {
	fleet := startWithPools(t, 4)
	fleet.run(leaseDuration)
	type use struct { // the pool of the host and the account of the tenant at one member and time
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
			t.Fatalf("at %d ms the host was in pool %q and the tenant in account %q, but the new owners use them since %d ms and %d ms", u.at/ms, u.pool, u.account, firstUse["pool b"]/ms, firstUse["account other"]/ms)
		}
	}
	if firstUse["pool b"] == 0 || firstUse["account other"] == 0 {
		t.Fatalf("nothing was reassigned; first uses: %v", firstUse)
	}
}

// A member that missed 10,000 versions must get the complete newest one, and must not act by any
// version in between.
func TestMemberMissesManyVersions(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.isolated[3] = true
	fleet.run(2 * leaseDuration)
	for n := range uint64(2000) {
		fleet.proposeOperators(&Version{ExcludedHosts: []string{string(rune('a' + n%26))}}, n)
		fleet.run(100 * ms)
	}
	if fleet.publisher.versions.active.Number != 2000 {
		t.Fatalf("version %d is active, want 2000; the last answer is %q", fleet.publisher.versions.active.Number, fleet.lastAnswer())
	}
	fleet.publisher.versions.active.Number, fleet.publisher.versions.active.OperatorsNumber = 10_000, 10_000 // as if 8,000 more had followed
	fleet.publisher.versions.activeHash, fleet.publisher.versions.transfers = fleet.publisher.versions.active.Hash(), nil
	fleet.observations = nil
	fleet.isolated[3] = false
	fleet.run(2 * leaseDuration)
	if n, left := fleet.members[3].Enforcer.ActiveVersion(); n != 10_000 || left <= 0 {
		t.Fatalf("the member acts by version %d for %d ms more, want version 10000", n, left/ms)
	}
	for _, o := range fleet.observations {
		if o.member == 3 && !o.lapsed && o.number != 10_000 {
			t.Fatalf("the member acted by version %d in between", o.number)
		}
	}
	if len(fleet.publisher.versions.history) > maxHistory || len(fleet.publisher.audit.active) > maxAuditEntries || len(fleet.checkpoint) > maxCheckpointBytes {
		t.Errorf("the checkpoint has %d versions, %d changes and %d bytes, want at most %d, %d and %d",
			len(fleet.publisher.versions.history), len(fleet.publisher.audit.active), len(fleet.checkpoint),
			maxHistory, maxAuditEntries, maxCheckpointBytes)
	}
}

// A publisher is replaced while a change is staged, and the change is retried at the next one. The
// answer must be that the change is active, not that its base version is old. Retries must not
// count against the rate limit.
func TestRetryAtAnotherPublisher(t *testing.T) {
	fleet := startWithPools(t, 3)
	fleet.isolated[3] = true // delays the activation
	c := NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, []byte("once-and-again"))
	fleet.proposeSigned(c, 1)
	fleet.run(100 * ms)
	if fleet.publisher.versions.staged == nil {
		t.Fatalf("change %s is not staged after 100 ms; the last answer is %q", c.ID, fleet.lastAnswer())
	}
	fleet.restartPublisher()
	n := len(fleet.answers)
	for range 3 * defaultChangesPerMinute {
		fleet.propose(c)
	}
	fleet.run(4 * leaseDuration)
	got := fleet.answers[n:]
	if len(got) != 1 || !strings.HasPrefix(got[0], "active: version 3 at") {
		t.Errorf("the retries got the answers %q, want only one, with active version 3", got)
	}
	fleet.propose(c)
	fleet.expectAnswer("active: version 3 at")
}
