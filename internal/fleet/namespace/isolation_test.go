package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// evaluateByScan returns the name of the route that decides a request, or "" if none does. It tests
// all routes of d, of which c is the compiled form, and the index must find the same route.
func evaluateByScan(d *Directory, c *Compiled, q Request) string {
	a := c.accounts[c.AccountOfTenant(q.Tenant)]
	k, share := matchKey{q.Group, q.Key, q.Class, q.Zone}, a.share(q.Key)
	// mostSpecific returns the name of the most specific route that matches, or "".
	mostSpecific := func(routes []Route) (name string) {
		var highest [6]int
		for i := range routes {
			r := &routes[i]
			if len(r.unmetConditions(k, share, q.Minute)) > 0 {
				continue
			}
			toInt := func(b bool) int { return map[bool]int{true: 1}[b] }
			specificity := [6]int{1 + toInt(r.Group != ""), len(r.Prefix), toInt(r.Class != ""), toInt(r.Zone != ""), toInt(r.hasWindow()), toInt(r.hasShare())}
			if slices.Compare(specificity[:], highest[:]) > 0 {
				highest, name = specificity, r.Name
			}
		}
		return name
	}
	namespaceOf := func(account string) (found Namespace) {
		for _, s := range d.Namespaces {
			if s.Account == account {
				found = s
			}
		}
		return found
	}
	var chain []string // from the account to the operators
	for account := a.name; ; account = Parent(account) {
		chain = append(chain, account)
		if account == "" {
			break
		}
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if route := mostSpecific(namespaceOf(chain[i]).Guards); route != "" {
			return route
		}
	}
	if route := mostSpecific(namespaceOf(a.name).Routes); route != "" {
		return route
	}
	for _, account := range chain {
		if route := mostSpecific(namespaceOf(account).Defaults); route != "" {
			return route
		}
	}
	return ""
}

// generateNamespace returns a namespace of an account with up to six random routes, which may be
// invalid.
func generateNamespace(rt *rapid.T, account string) Namespace {
	s := Namespace{Account: account}
	for i := range rapid.IntRange(0, 6).Draw(rt, "routes") {
		oneOf := func(values ...string) string { return rapid.SampledFrom(values).Draw(rt, "x") }
		r := Route{Name: fmt.Sprint("r", i), Group: oneOf("", "", "g", "h"), Prefix: oneOf("", "a", "ab", "b"), Class: oneOf("", "c", "d"), Zone: oneOf("", "", "y"), Pool: MainPool}
		switch rapid.IntRange(0, 3).Draw(rt, "extra") {
		case 0:
			r.ShareFrom, r.ShareTo = 2500, 7500
		case 1:
			r.WindowBegin, r.WindowEnd = 600, 120
		}
		to := rapid.SampledFrom([]*[]Route{&s.Guards, &s.Routes, &s.Defaults}).Draw(rt, "list")
		*to = append(*to, r)
	}
	return s
}

// generateRequest returns a request with random attributes.
func generateRequest(rt *rapid.T) Request {
	oneOf := func(values ...string) string { return rapid.SampledFrom(values).Draw(rt, "q") }
	return Request{Tenant: oneOf("t1", "t2", "t3", "no"), Class: oneOf("c", "d", "e"), Key: oneOf("", "a", "ab", "abc", "b", "bc", "z"), Group: oneOf("", "g", "h", "i"), Zone: oneOf("y", "z"),
		Minute: rapid.IntRange(0, 1439).Draw(rt, "minute")}
}

// The index finds the same route as a scan of all routes, and the verdicts for an account do not
// depend on other customers' namespaces.
func TestNamespacesAreIsolated(t *testing.T) {
	generated, valid := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		directory := &Directory{Accounts: customers.Accounts, Pools: customers.Pools}
		for _, a := range []string{"", "acme", "acme/web", "other"} {
			directory.Namespaces = append(directory.Namespaces, generateNamespace(rt, a))
		}
		generated++
		c, err := Compile(directory)
		if err != nil {
			return
		}
		valid++
		other := *directory
		other.Namespaces = slices.Clone(directory.Namespaces)
		other.Namespaces[3] = generateNamespace(rt, "other")
		changed, err := Compile(&other)
		for range 20 {
			q := generateRequest(rt)
			v := c.Evaluate(q)
			if want := evaluateByScan(directory, c, q); v.Route != want {
				rt.Fatalf("Evaluate(%+v): route = %q, want %q", q, v.Route, want)
			}
			if !strings.Contains(c.Explain(q), v.Route) {
				rt.Fatalf("Explain(%+v) = %q, want it to name route %s", q, c.Explain(q), v.Route)
			}
			if err != nil || v.Account == "other" {
				continue
			}
			if w := changed.Evaluate(q); w.Route != v.Route || w.RouteAccount != v.RouteAccount || !slices.Equal(w.Pools, v.Pools) || w.Rejected != v.Rejected {
				rt.Fatalf("Evaluate(%+v) = %+v after another customer's change, want %+v as before", q, w, v)
			}
		}
	})
	if valid*5 < generated {
		t.Errorf("%d of %d generated directories are valid, want at least one in five", valid, generated)
	}
}
