package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"

	"pgregory.net/rapid"
)

// generateChange draws a change of some account, or of its namespace, against a version.
func generateChange(rt *rapid.T, baseVersion uint64) *Change {
	name := rapid.SampledFrom([]string{"acme", "acme/web", "acme/web/x", "other", "other/y"}).Draw(rt, "name")
	a := generateAccount(rt, name)
	switch rapid.IntRange(0, 3).Draw(rt, "change") {
	case 0:
		a.Name = strings.Split(name, "/")[0]
		proposed := &Version{Directory: &namespace.Directory{Pools: twoCustomers().Directory.Pools, Accounts: []namespace.Account{a}}}
		return NewOperatorsChange(proposed, baseVersion, nil)
	case 1:
		return NewAccountChange(&a, baseVersion, nil)
	case 2:
		return NewAccountRemoval(name, baseVersion, nil)
	}
	return NewNamespaceChange(namespaceRoutingTo(name, 0, "a"), baseVersion, nil)
}

func generateAccount(rt *rapid.T, name string) namespace.Account {
	limit := func() namespace.Limit {
		if rapid.Bool().Draw(rt, "unlimited") { // else most accounts below others are rejected for their limits
			return namespace.Limit{}
		}
		return namespace.Limit{Max: rapid.Uint32Range(0, 9).Draw(rt, "max"), Reserved: rapid.Uint32Range(0, 5).Draw(rt, "reserved")}
	}
	subset := func(of ...string) (chosen []string) {
		for _, s := range of {
			if rapid.Bool().Draw(rt, s) {
				chosen = append(chosen, s)
			}
		}
		return chosen
	}
	return namespace.Account{Name: name, Tenants: subset("t1", "t2", "t3"), Pools: subset("a", "b"), Rate: limit(), Connections: limit()}
}

// checkAccounts checks that each tenant is in one account and those above it, and that no child has
// more than its parent.
func checkAccounts(rt *rapid.T, directory *namespace.Directory) {
	compiled, err := namespace.Compile(directory)
	if err != nil {
		rt.Fatal(err)
	}
	owner, reserved := map[string]string{}, map[string]uint32{}
	for _, a := range directory.Accounts {
		parent := namespace.Parent(a.Name)
		for _, tenant := range a.Tenants {
			if other, owned := owner[tenant]; owned && other != parent {
				rt.Fatalf("tenant %s belongs to %s and to %s", tenant, other, a.Name)
			}
			owner[tenant] = a.Name
		}
		own, above := compiled.AccountSettings(a.Name).Rate, compiled.AccountSettings(parent).Rate
		if reserved[parent] += a.Rate.Reserved; parent != "" && (reserved[parent] > above.Reserved || above.Max > 0 && (own.Max > above.Max || own.Max == 0)) {
			rt.Fatalf("%s has %+v, and its parent %s has %+v", a.Name, own, parent, above)
		}
	}
}

// Whatever administrators propose in whatever order: in every version each tenant is in one
// account, no child has more than its parent, and a version decodes to the same text.
func TestInvariantsHoldInAnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v, applied := &Version{}, 0
		for range 12 {
			next, err := v.Apply(generateChange(rt, v.Number), func(uint64) *Version { return nil })
			if err != nil {
				continue
			}
			applied++
			v = next
			if decoded, err := Decode(v.Encode()); err != nil || decoded.String() != v.String() {
				rt.Fatalf("an encoded version is not decoded as it was: %v", err)
			}
			if v.Directory != nil {
				checkAccounts(rt, v.Directory)
			}
		}
		if applied == 0 {
			rt.Skip("no change could be applied")
		}
	})
}
