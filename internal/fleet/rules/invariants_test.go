package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"

	"pgregory.net/rapid"
)

// Whatever administrators propose in whatever order: in every version each tenant is in one account, no child has more than its parent, and a
// version decodes to the same text.
func TestInvariantsHoldInAnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := &Version{}
		applied := 0
		for range 12 {
			name := rapid.SampledFrom([]string{"acme", "acme/web", "acme/web/x", "other", "other/y"}).Draw(rt, "name")
			limit := func() namespace.Limit {
				return namespace.Limit{Max: rapid.Uint32Range(0, 9).Draw(rt, "most"), Reserved: rapid.Uint32Range(0, 5).Draw(rt, "reserved")}
			}
			subset := func(of ...string) (drawn []string) {
				for _, s := range of {
					if rapid.Bool().Draw(rt, s) {
						drawn = append(drawn, s)
					}
				}
				return drawn
			}
			a := namespace.Account{Name: name, Tenants: subset("t1", "t2", "t3"), Pools: subset("a", "b"), Rate: limit(), Connections: limit()}
			var c *Change
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				a.Name = strings.Split(name, "/")[0]
				c = ChangeOperators(&Version{Directory: &namespace.Directory{Pools: twoCustomers().Directory.Pools, Accounts: []namespace.Account{a}}}, v.Number, nil)
			case 1:
				c = ChangeAccountTo(&a, v.Number, nil)
			case 2:
				c = RemoveAccount(name, v.Number, nil)
			default:
				c = ChangeNamespace(namespaceTo(name, 0, "a"), v.Number, nil)
			}
			n, err := v.Apply(c, func(uint64) *Version { return nil })
			if err != nil {
				continue
			}
			applied++
			v = n
			if back, err := Decode(v.Encode()); err != nil || back.String() != v.String() {
				rt.Fatalf("an encoded version is not decoded as it was: %v", err)
			}
			if v.Directory == nil {
				continue
			}
			owner, reserved := map[string]string{}, map[string]uint32{}
			compiled, err := namespace.Compile(v.Directory)
			if err != nil {
				rt.Fatal(err)
			}
			for _, a := range v.Directory.Accounts {
				parent := namespace.Parent(a.Name)
				for _, tenant := range a.Tenants {
					if other, owned := owner[tenant]; owned && other != parent {
						rt.Fatalf("tenant %s belongs to %s and to %s", tenant, other, a.Name)
					}
					owner[tenant] = a.Name
				}
				own, above := compiled.Limits(a.Name).Rate, compiled.Limits(parent).Rate
				if reserved[parent] += a.Rate.Reserved; parent != "" && (reserved[parent] > above.Reserved || above.Max > 0 && (own.Max > above.Max || own.Max == 0)) {
					rt.Fatalf("%s has %+v, and its parent %s has %+v", a.Name, own, parent, above)
				}
			}
		}
		if applied == 0 {
			rt.Skip("no change could be made")
		}
	})
}
