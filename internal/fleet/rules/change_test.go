package rules

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

func key(n byte) ed25519.PrivateKey { return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{n}, 32)) }

func public(n byte) []byte { return key(n).Public().(ed25519.PublicKey) }

// twoCustomers is two customers, each with a pool; acme's administrator may route and delegate.
func twoCustomers() *Version {
	return &Version{Directory: &namespace.Directory{
		Pools: []namespace.Pool{{Name: "a", Kinds: []string{"m1"}}, {Name: "b", Kinds: []string{"m2"}}},
		Accounts: []namespace.Account{
			{Name: "acme", Tenants: []string{"t1", "t2"}, Pools: []string{"a", namespace.Main}, Rate: namespace.Limit{Max: 100, Reserved: 50}, Grants: []namespace.Grant{
				{Label: "admin", Key: public(1), Verbs: namespace.MayRoute | namespace.MayDelegate}, {Label: "clerk", Key: public(2), Verbs: namespace.MayRoute, Until: 5000}}},
			{Name: "other", Tenants: []string{"t3"}, Pools: []string{"b"}},
		}}}
}

func to(account string, number uint64, pool string) *namespace.Namespace {
	return &namespace.Namespace{Account: account, Number: number, Routes: []namespace.Route{{Name: "r", Class: "c", Pool: pool}}}
}

func (g *group) change(c *Change) { g.publisher.QueryReceived(g.now, 0, 1, EncodeProposal(c)) }

func (g *group) signed(c *Change, by byte) {
	c.SetID()
	c.Sign(key(by))
	g.change(c)
}

// startWithPools has twoCustomers active; the version's number is 2, since hosts were reassigned from main to the pools.
func startWithPools(t *testing.T, n uint32) *group {
	t.Helper()
	g := newGroup(t, n)
	g.put(twoCustomers(), 0)
	g.run(2 * within)
	if !strings.HasPrefix(g.last(), "active: version 2 at") {
		t.Fatalf("the first pools: %q", g.last())
	}
	return g
}

func TestConcurrentChangesOfDifferentNamespaces(t *testing.T) {
	g := startWithPools(t, 3)
	// Two administrators at once, of one namespace and of two.
	n := len(g.answers)
	g.signed(ChangeNamespace(to("acme", 0, "a"), 2, nil), 1)
	g.signed(ChangeNamespace(to("acme", 0, namespace.Main), 2, nil), 2)
	g.change(ChangeNamespace(to("other", 0, "b"), 2, nil))
	g.run(within)
	got := strings.Join(g.answers[n:], "\n")
	if strings.Count(got, "active: version") != 2 || !strings.Contains(got, "refused: another change of namespace acme is on its way") {
		t.Fatalf("answers\n%s", got)
	}
	if v := g.members[1].Enforcer.Judge(namespace.Request{Tenant: "t1", Class: "c"}); v.Account != "acme" || v.Route != "acme/r" || v.Pools[0] != "a" {
		t.Errorf("%+v", v)
	}
	// The one that lost made its change against what the other had not changed yet.
	g.signed(ChangeNamespace(to("acme", 0, namespace.Main), 2, []byte("12345678")), 2)
	g.run(within)
	if !strings.HasPrefix(g.last(), "refused: it was made against version 2, and ") {
		t.Fatalf("an old base: %q", g.last())
	}
	// The same once more is as once, also after another change.
	g.signed(ChangeNamespace(to("acme", 0, "a"), 2, nil), 1)
	g.run(within)
	if !strings.HasPrefix(g.last(), "active: version") {
		t.Fatalf("asked twice: %q", g.last())
	}
	if h := g.publisher.audit.text("acme"); strings.Count(h, "version ") < 1 || !strings.Contains(h, "acme:admin  namespace acme") || strings.Contains(h, "namespace other") {
		t.Errorf("history\n%s", h)
	}
}

func TestChangesBeyondTheGrantAreRejected(t *testing.T) {
	g := startWithPools(t, 3)
	g.publisher.Wall = func() int64 { return 6000_000 } // the clerk's grant has ended
	team := &namespace.Account{Name: "acme/web", Tenants: []string{"t2"}}
	for want, c := range map[string]*Change{
		"which has ended":                             ChangeNamespace(to("acme", 0, "a"), 2, []byte("id-clerk")),
		"no grant of version 2 has this key":          ChangeNamespace(to("acme", 0, "a"), 2, []byte("id-nobody")),
		"which is for acme and below":                 ChangeNamespace(to("other", 0, "b"), 2, []byte("id-other")),
		"account acme may not use pool b":             ChangeNamespace(to("acme", 0, "b"), 2, []byte("id-pool-b")),
		"which is for no such change":                 ChangeOperators(&Version{}, 2, []byte("id-rules")),
		"tenant t3 does not belong to account acme":   ChangeAccountTo(&namespace.Account{Name: "acme/x", Tenants: []string{"t3"}}, 2, []byte("id-tenant")),
		"rate 101 at most, and account acme has 100":  ChangeAccountTo(&namespace.Account{Name: "acme/x", Rate: namespace.Limit{Max: 101}}, 2, []byte("id-rates")),
		"those at the top are changed with the rules": ChangeAccountTo(&namespace.Account{Name: "top"}, 2, []byte("id-top-op")),
	} {
		by := map[string]byte{"id-clerk": 2, "id-nobody": 9}[string(c.ID)]
		switch {
		case string(c.ID) == "id-top-op":
			g.change(c)
		case by == 0:
			by = 1
			fallthrough
		default:
			g.signed(c, by)
		}
		if !strings.HasPrefix(g.last(), "refused: ") || !strings.Contains(g.last(), want) {
			t.Errorf("%q, expected %q", g.last(), want)
		}
	}
	c := ChangeAccountTo(team, 2, []byte("id-forged"))
	c.Sign(key(1))
	c.Against = 1
	g.change(c)
	if !strings.Contains(g.last(), "its signature is not by its key") {
		t.Errorf("altered after it was signed: %q", g.last())
	}
	g.signed(ChangeAccountTo(team, 2, nil), 1)
	g.run(2 * within)
	if !strings.HasPrefix(g.last(), "active: version") {
		t.Fatalf("a team: %q", g.last())
	}
	if v := g.members[2].Enforcer.Judge(namespace.Request{Tenant: "t2", Class: "c"}); v.Account != "acme/web" || v.Refused {
		t.Errorf("%+v", v)
	}
}

// A change that was signed before its grant was revoked and comes, or is made, after it does nothing.
func TestRevokedGrantAllowsNothing(t *testing.T) {
	g := startWithPools(t, 3)
	c := ChangeNamespace(to("acme", 0, "a"), 2, []byte("held-back"))
	c.Sign(key(1))
	// On its way while the grant is revoked: checked again as the version is made.
	g.cut[3] = true
	g.put(&Version{HostsOut: []string{"h"}, Directory: twoCustomers().Directory}, 2) // holds the next round up
	g.run(60 * ms)
	revoked := twoCustomers()
	revoked.Directory.Accounts[0].Grants = revoked.Directory.Accounts[0].Grants[1:]
	n := len(g.answers)
	g.change(c)
	if len(g.answers) > n {
		t.Fatalf("answered at once: %q", g.last())
	}
	g.publisher.proposals.waiting = append([]*proposal{{Change: ChangeOperators(revoked, 3, []byte("revoke")), proposer: "operators", reply: func(string) {}}}, g.publisher.proposals.waiting...)
	g.run(4 * within)
	if got := strings.Join(g.answers[n:], "\n"); !strings.Contains(got, "refused: no grant of version 4 has this key; the change was made against version 2") {
		t.Errorf("answers\n%s", got)
	}
	g.cut[3] = false
	g.run(30 * 1000 * ms)
	g.change(c)
	g.run(within)
	if !strings.HasPrefix(g.last(), "refused: no grant of version") {
		t.Errorf("half a minute late: %q", g.last())
	}
	if v := g.members[1].Enforcer.Judge(namespace.Request{Tenant: "t1", Class: "c"}); v.Route != "" {
		t.Errorf("%+v", v)
	}
}

// One customer's bad changes without end take nobody else's time: the other's change is active as soon as without them.
func TestFloodOfBadChangesIsRateLimited(t *testing.T) {
	g := startWithPools(t, 3)
	refused := 0
	for i := range 1000 {
		g.signed(ChangeNamespace(to("acme", 0, "nowhere"), 2, fmt.Appendf(nil, "flood%04d", i)), 1)
		if strings.HasPrefix(g.last(), "refused: ") {
			refused++
		}
	}
	g.change(ChangeNamespace(to("other", 0, "b"), 2, nil))
	g.run(100 * ms)
	if refused != 1000 || !strings.HasPrefix(g.last(), "active: version 3 at 3 of 3") {
		t.Fatalf("%d refused, then %q", refused, g.last())
	}
	if !strings.Contains(strings.Join(g.answers, "\n"), "more changes of namespace acme a minute than it may have") {
		t.Error("the flood was not bounded")
	}
}

// A change that one process can't use holds up no other that was made with it.
func TestUnusableNamespaceHoldsUpNoOther(t *testing.T) {
	g := startWithPools(t, 3)
	g.members[2].MaxEntries = 6
	big := to("acme", 0, "a")
	for i := range 9 {
		big.Routes = append(big.Routes, namespace.Route{Name: fmt.Sprint("x", i), Prefix: fmt.Sprint(i), Pool: "a"})
	}
	n := len(g.answers)
	g.publisher.proposals.waiting = nil
	g.publisher.leases.unknownUntil = g.now + 100*ms
	g.change(&Change{ID: []byte("first-one"), Kind: KindOperators, Against: 2, Body: func() []byte { v := twoCustomers(); v.Number = 3; v.HostsOut = []string{"h"}; return v.Encode() }()})
	g.change(ChangeNamespace(big, 2, nil))
	g.change(ChangeNamespace(to("other", 0, "b"), 2, nil))
	g.run(8 * within)
	got := strings.Join(g.answers[n:], "\n")
	if strings.Count(got, "active: version") != 2 || !strings.Contains(got, "refused: b: rules: ") {
		t.Fatalf("answers\n%s", got)
	}
	if v := g.members[2].Enforcer.Judge(namespace.Request{Tenant: "t3", Class: "c"}); v.Route != "other/r" {
		t.Errorf("%+v", v)
	}
}

func TestRollbackIsANewVersion(t *testing.T) {
	g := startWithPools(t, 3)
	g.change(ChangeNamespace(to("other", 0, "b"), 2, nil))
	g.run(within)
	g.change(RollBackTo(2, 3, nil))
	g.run(within)
	if !strings.HasPrefix(g.last(), "active: version 4 at") || g.publisher.versions.active.Number != 4 || len(g.publisher.versions.active.Directory.Namespaces) != 0 {
		t.Fatalf("%q: %+v", g.last(), g.publisher.versions.active.Directory)
	}
	g.change(RollBackTo(77, 4, nil))
	if g.last() != "refused: version 77 is not kept any more" {
		t.Fatalf("%q", g.last())
	}
	g.restartPublisher() // the past is what the group keeps
	if g.publisher.versions.byNumber(3) == nil || len(g.publisher.audit.active) < 3 || CheckAuditLog(g.publisher.audit.active) != nil {
		t.Fatalf("a new publisher has version 3: %t, and %d changes", g.publisher.versions.byNumber(3) != nil, len(g.publisher.audit.active))
	}
	g.publisher.audit.active[1].Who = "somebody"
	if CheckAuditLog(g.publisher.audit.active) == nil {
		t.Fatal("an altered trail is found sound")
	}
}
