package rules

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

// privateKey returns the Ed25519 key of test administrator n, which is the same in every run.
func privateKey(n byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{n}, 32))
}

// publicKey returns the public part of privateKey(n).
func publicKey(n byte) []byte { return privateKey(n).Public().(ed25519.PublicKey) }

// twoCustomers returns a version with the customers acme and other, each with a pool. Key 1 has a
// grant on acme that allows to change routes and to create accounts below it. Key 2 has one for
// routes only, which ends 5000 s after 1970.
func twoCustomers() *Version {
	return &Version{Directory: &namespace.Directory{
		Pools: []namespace.Pool{{Name: "a", Kinds: []string{"m1"}}, {Name: "b", Kinds: []string{"m2"}}},
		Accounts: []namespace.Account{
			{Name: "acme", Tenants: []string{"t1", "t2"}, Pools: []string{"a", namespace.MainPool}, Rate: namespace.Limit{Max: 100, Reserved: 50}, Grants: []namespace.Grant{
				{Label: "admin", Key: publicKey(1), Verbs: namespace.MayRoute | namespace.MayDelegate}, {Label: "clerk", Key: publicKey(2), Verbs: namespace.MayRoute, Until: 5000}}},
			{Name: "other", Tenants: []string{"t3"}, Pools: []string{"b"}},
		}}}
}

// namespaceRoutingTo returns an account's namespace with one route, to a pool.
func namespaceRoutingTo(account string, number uint64, pool string) *namespace.Namespace {
	return &namespace.Namespace{Account: account, VersionNumber: number, Routes: []namespace.Route{{Name: "r", Class: "c", Pool: pool}}}
}

// propose sends a change to the publisher, as an administrator does. The answer is appended to
// fleet.answers.
func (fleet *testFleet) propose(c *Change) {
	fleet.publisher.QueryReceived(fleet.now, 0, 1, EncodeProposal(c))
}

// proposeSigned signs a change with privateKey(by) and proposes it.
func (fleet *testFleet) proposeSigned(c *Change, by byte) {
	c.SetID()
	c.Sign(privateKey(by))
	fleet.propose(c)
}

// startWithPools returns a fleet of n members where twoCustomers is active as version 2: version 1
// was the transitional one, since hosts were reassigned from the main pool.
func startWithPools(t *testing.T, n uint32) *testFleet {
	t.Helper()
	fleet := newTestFleet(t, n)
	fleet.proposeOperators(twoCustomers(), 0)
	fleet.run(2 * leaseDuration)
	fleet.expectAnswer("active: version 2 at")
	return fleet
}

func TestConcurrentChangesOfDifferentNamespaces(t *testing.T) {
	fleet := startWithPools(t, 3)
	// Two concurrent changes of one namespace, and one of another.
	n := len(fleet.answers)
	fleet.proposeSigned(NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, nil), 1)
	fleet.proposeSigned(NewNamespaceChange(namespaceRoutingTo("acme", 0, namespace.MainPool), 2, nil), 2)
	fleet.propose(NewNamespaceChange(namespaceRoutingTo("other", 0, "b"), 2, nil))
	fleet.run(leaseDuration)
	got := strings.Join(fleet.answers[n:], "\n")
	if strings.Count(got, "active: version") != 2 || !strings.Contains(got, "refused: another change of namespace acme is on its way") {
		t.Fatalf("want two applied changes and one rejected as pending, got the answers\n%s", got)
	}
	if v := fleet.members[1].Enforcer.Evaluate(namespace.Request{Tenant: "t1", Class: "c"}); v.Account != "acme" || v.Route != "acme/r" || v.Pools[0] != "a" {
		t.Errorf("a request of tenant t1 got %+v, want account acme, route acme/r and pool a", v)
	}
	// The base version of the rejected change is not current any more.
	fleet.proposeSigned(NewNamespaceChange(namespaceRoutingTo("acme", 0, namespace.MainPool), 2, []byte("12345678")), 2)
	fleet.run(leaseDuration)
	fleet.expectAnswer("refused: it was made against version 2, and ")
	// A retry is applied once, also after another change.
	fleet.proposeSigned(NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, nil), 1)
	fleet.run(leaseDuration)
	fleet.expectAnswer("active: version")
	if h := fleet.publisher.audit.text("acme"); strings.Count(h, "version ") < 1 || !strings.Contains(h, "acme:admin  namespace acme") || strings.Contains(h, "namespace other") {
		t.Errorf("want a history of acme's namespace alone, got\n%s", h)
	}
}

func TestUnauthorizedAndInvalidChangesRejected(t *testing.T) {
	const operators, acmeAdmin, acmeClerk, nobody = 0, 1, 2, 9 // numbers of the signing keys; operators do not sign
	fleet := startWithPools(t, 3)
	fleet.publisher.WallClock = func() int64 { return 6000_000 } // milliseconds; the clerk's grant has ended after 5000 s
	for _, c := range []struct {
		want   string
		signer byte
		change *Change
	}{
		{"which has ended", acmeClerk, NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, []byte("id-clerk"))},
		{"no grant of version 2 has this key", nobody, NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, []byte("id-nobody"))},
		{"which is for acme and below", acmeAdmin, NewNamespaceChange(namespaceRoutingTo("other", 0, "b"), 2, []byte("id-other"))},
		{"account acme may not use pool b", acmeAdmin, NewNamespaceChange(namespaceRoutingTo("acme", 0, "b"), 2, []byte("id-pool-b"))},
		{"which is for no such change", acmeAdmin, NewOperatorsChange(&Version{}, 2, []byte("id-rules"))},
		{"tenant t3 does not belong to account acme", acmeAdmin, NewAccountChange(&namespace.Account{Name: "acme/x", Tenants: []string{"t3"}}, 2, []byte("id-tenant"))},
		{"rate 101 at most, and account acme has 100", acmeAdmin, NewAccountChange(&namespace.Account{Name: "acme/x", Rate: namespace.Limit{Max: 101}}, 2, []byte("id-rates"))},
		{"those at the top are changed with the rules", operators, NewAccountChange(&namespace.Account{Name: "top"}, 2, []byte("id-top-op"))},
	} {
		if c.signer == operators {
			fleet.propose(c.change)
		} else {
			fleet.proposeSigned(c.change, c.signer)
		}
		if !strings.HasPrefix(fleet.lastAnswer(), "refused: ") || !strings.Contains(fleet.lastAnswer(), c.want) {
			t.Errorf("the answer to a change of %s is %q, want a refusal with %q", c.change.subject(), fleet.lastAnswer(), c.want)
		}
	}
	altered := NewAccountChange(&namespace.Account{Name: "acme/web", Tenants: []string{"t2"}}, 2, []byte("id-forged"))
	altered.Sign(privateKey(acmeAdmin))
	altered.BaseVersion = 1
	fleet.propose(altered)
	if !strings.Contains(fleet.lastAnswer(), "its signature is not by its key") {
		t.Errorf("a change that was altered after it was signed got the answer %q, want a refusal for its signature", fleet.lastAnswer())
	}
	// The rejected changes do not prevent one that the grant allows.
	fleet.proposeSigned(NewAccountChange(&namespace.Account{Name: "acme/web", Tenants: []string{"t2"}}, 2, nil), acmeAdmin)
	fleet.run(2 * leaseDuration)
	fleet.expectAnswer("active: version")
	if v := fleet.members[2].Enforcer.Evaluate(namespace.Request{Tenant: "t2", Class: "c"}); v.Account != "acme/web" || v.Rejected {
		t.Errorf("a request of tenant t2 got %+v, want account acme/web", v)
	}
}

// A grant is revoked after a change was signed with its key. The change must be rejected, both if it
// waits to become part of a version when the grant is revoked, and if it arrives afterwards.
func TestRevokedGrantRejectsPendingChanges(t *testing.T) {
	fleet := startWithPools(t, 3)
	c := NewNamespaceChange(namespaceRoutingTo("acme", 0, "a"), 2, []byte("held-back"))
	c.Sign(privateKey(1))
	// The change waits while the grant is revoked, and is authorized again when a version is made of
	// the waiting changes. The isolated member's lease delays that version.
	fleet.isolated[3] = true
	fleet.proposeOperators(&Version{ExcludedHosts: []string{"h"}, Directory: twoCustomers().Directory}, 2)
	fleet.run(60 * ms)
	revoked := twoCustomers()
	revoked.Directory.Accounts[0].Grants = revoked.Directory.Accounts[0].Grants[1:]
	n := len(fleet.answers)
	fleet.propose(c)
	if len(fleet.answers) > n {
		t.Fatalf("the waiting change was answered immediately: %q", fleet.lastAnswer())
	}
	fleet.publisher.proposals.waiting = append([]*proposal{{Change: NewOperatorsChange(revoked, 3, []byte("revoke")), proposer: "operators", reply: func(string) {}}}, fleet.publisher.proposals.waiting...)
	fleet.run(4 * leaseDuration)
	if got := strings.Join(fleet.answers[n:], "\n"); !strings.Contains(got, "refused: no grant of version 4 has this key; the change was made against version 2") {
		t.Errorf("want a refusal for the revoked grant, got the answers\n%s", got)
	}
	fleet.isolated[3] = false
	fleet.run(30 * 1000 * ms)
	fleet.propose(c)
	fleet.run(leaseDuration)
	fleet.expectAnswer("refused: no grant of version")
	if v := fleet.members[1].Enforcer.Evaluate(namespace.Request{Tenant: "t1", Class: "c"}); v.Route != "" {
		t.Errorf("a request of tenant t1 got %+v, want no route", v)
	}
}

// A customer who sends invalid changes continuously must not delay another customer's change.
func TestFloodOfBadChangesIsRateLimited(t *testing.T) {
	fleet := startWithPools(t, 3)
	rejected := 0
	for i := range 1000 {
		fleet.proposeSigned(NewNamespaceChange(namespaceRoutingTo("acme", 0, "nowhere"), 2, fmt.Appendf(nil, "flood%04d", i)), 1)
		if strings.HasPrefix(fleet.lastAnswer(), "refused: ") {
			rejected++
		}
	}
	fleet.propose(NewNamespaceChange(namespaceRoutingTo("other", 0, "b"), 2, nil))
	fleet.run(100 * ms)
	if rejected != 1000 || !strings.HasPrefix(fleet.lastAnswer(), "active: version 3 at 3 of 3") {
		t.Fatalf("%d of 1000 invalid changes were rejected, then a valid one got %q, want all and active version 3 at 3 of 3", rejected, fleet.lastAnswer())
	}
	if !strings.Contains(strings.Join(fleet.answers, "\n"), "more changes of namespace acme a minute than it may have") {
		t.Error("no change was rejected by the rate limit")
	}
}

// One member can't use a change, because the change has too many entries for it. The other changes
// that are staged together with it must become active.
func TestUnusableNamespaceDoesNotBlockOthers(t *testing.T) {
	fleet := startWithPools(t, 3)
	fleet.members[2].MaxEntries = 6
	big := namespaceRoutingTo("acme", 0, "a")
	for i := range 9 {
		big.Routes = append(big.Routes, namespace.Route{Name: fmt.Sprint("x", i), Prefix: fmt.Sprint(i), Pool: "a"})
	}
	n := len(fleet.answers)
	fleet.publisher.proposals.waiting = nil
	fleet.publisher.leases.unknownUntil = fleet.now + 100*ms // delays the first change, so that the other two are staged together
	fleet.propose(&Change{ID: []byte("first-one"), Kind: KindOperators, BaseVersion: 2, Body: func() []byte { v := twoCustomers(); v.Number = 3; v.ExcludedHosts = []string{"h"}; return v.Encode() }()})
	fleet.propose(NewNamespaceChange(big, 2, nil))
	fleet.propose(NewNamespaceChange(namespaceRoutingTo("other", 0, "b"), 2, nil))
	fleet.run(8 * leaseDuration)
	got := strings.Join(fleet.answers[n:], "\n")
	if strings.Count(got, "active: version") != 2 || !strings.Contains(got, "refused: b: rules: ") {
		t.Fatalf("want two applied changes and one refused by member b, got the answers\n%s", got)
	}
	if v := fleet.members[2].Enforcer.Evaluate(namespace.Request{Tenant: "t3", Class: "c"}); v.Route != "other/r" {
		t.Errorf("a request of tenant t3 got %+v, want route other/r", v)
	}
}

func TestRollbackIsANewVersion(t *testing.T) {
	fleet := startWithPools(t, 3)
	fleet.propose(NewNamespaceChange(namespaceRoutingTo("other", 0, "b"), 2, nil))
	fleet.run(leaseDuration)
	fleet.propose(NewRollback(2, 3, nil))
	fleet.run(leaseDuration)
	if !strings.HasPrefix(fleet.lastAnswer(), "active: version 4 at") || fleet.publisher.versions.active.Number != 4 || len(fleet.publisher.versions.active.Directory.Namespaces) != 0 {
		t.Fatalf("after the rollback the answer is %q and the directory %+v, want version 4 without namespaces", fleet.lastAnswer(), fleet.publisher.versions.active.Directory)
	}
	fleet.propose(NewRollback(77, 4, nil))
	if fleet.lastAnswer() != "refused: version 77 is not kept any more" {
		t.Fatalf("the answer to a rollback to version 77 is %q, want that the version is not kept", fleet.lastAnswer())
	}
	fleet.restartPublisher() // it restores the history from the checkpoint
	if fleet.publisher.versions.byNumber(3) == nil || len(fleet.publisher.audit.active) < 3 || CheckAuditLog(fleet.publisher.audit.active) != nil {
		t.Fatalf("a new publisher has version 3: %t, and %d audit log entries, want at least 3 in a valid chain", fleet.publisher.versions.byNumber(3) != nil, len(fleet.publisher.audit.active))
	}
	fleet.publisher.audit.active[1].Proposer = "somebody"
	if CheckAuditLog(fleet.publisher.audit.active) == nil {
		t.Fatal("CheckAuditLog accepts an altered log")
	}
}
