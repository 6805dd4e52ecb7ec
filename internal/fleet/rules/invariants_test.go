package rules

import (
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"

	"pgregory.net/rapid"
)

// Whatever administrators ask for in whatever order, at every version each host is in one pool, each tenant in one account, and no child has more
// than its parent; and what a version says can be read back from its text.
func TestInvariantsHoldInAnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := &Version{}
		taken := 0
		for range 12 {
			name := rapid.SampledFrom([]string{"acme", "acme/web", "acme/web/x", "other", "other/y"}).Draw(rt, "name")
			limit := func() namespace.Limit {
				return namespace.Limit{Max: rapid.Uint32Range(0, 9).Draw(rt, "most"), Reserved: rapid.Uint32Range(0, 5).Draw(rt, "reserved")}
			}
			some := func(of ...string) (out []string) {
				for _, s := range of {
					if rapid.Bool().Draw(rt, s) {
						out = append(out, s)
					}
				}
				return out
			}
			a := namespace.Account{Name: name, Tenants: some("t1", "t2", "t3"), Pools: some("a", "b"), Rate: limit(), Connections: limit()}
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
				c = ChangeNamespace(to(name, 0, "a"), v.Number, nil)
			}
			n, err := v.Apply(c, func(uint64) *Version { return nil })
			if err != nil {
				continue
			}
			taken++
			v = n
			if back, err := Decode(v.Encode()); err != nil || back.String() != v.String() {
				rt.Fatalf("read back: %v", err)
			}
			if v.Directory == nil {
				continue
			}
			holder, sum := map[string]string{}, map[string]uint32{}
			compiled, err := namespace.Compile(v.Directory)
			if err != nil {
				rt.Fatal(err)
			}
			for _, a := range v.Directory.Accounts {
				up := namespace.Parent(a.Name)
				for _, x := range a.Tenants {
					if h, held := holder[x]; held && h != up {
						rt.Fatalf("tenant %s is %s's and %s's", x, h, a.Name)
					}
					holder[x] = a.Name
				}
				p, q := compiled.Limits(a.Name), compiled.Limits(up)
				if sum[up] += a.Rate.Reserved; up != "" && (sum[up] > q.Rate.Reserved || q.Rate.Max > 0 && (p.Rate.Max > q.Rate.Max || p.Rate.Max == 0)) {
					rt.Fatalf("%s has %+v, and %s %+v", a.Name, p.Rate, up, q.Rate)
				}
			}
		}
		if taken == 0 {
			rt.Skip("no change could be made")
		}
	})
}
