package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"

	"pgregory.net/rapid"
)

// generateChange returns a random change of an account or its namespace, based on a version.
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

// generateAccount returns an account with random tenants, pools and limits.
func generateAccount(rt *rapid.T, name string) namespace.Account {
	limit := func() namespace.Limit {
		if rapid.Bool().Draw(rt, "unlimited") { // with limits alone, most accounts below others would be rejected
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

// checkAccounts checks that each tenant is only in one account and its ancestors, that no child
// account has a larger rate than its parent, and that children together reserve no more of the rate
// than their parent has reserved.
func checkAccounts(rt *rapid.T, directory *namespace.Directory) {
	compiled, err := namespace.Compile(directory)
	if err != nil {
		rt.Fatalf("Compile: %v", err)
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
			rt.Fatalf("account %s has the rate %+v, which its parent %q with %+v does not allow", a.Name, own, parent, above)
		}
	}
}

// Administrators propose random changes in any order. In every version each tenant must be in one
// account and no child may have larger limits than its parent, and the encoded version must decode
// to the same text.
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
				rt.Fatalf("an encoded version is decoded with error %v, or as another version", err)
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
