package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// judgeByScan finds the route by looking at all: what the index has to agree with.
func judgeByScan(b *Directory, c *Compiled, q Request) string {
	a := c.accounts[c.Account(q.Tenant)]
	k, share := matchKey{q.Group, q.Key, q.Class, q.Zone}, a.share(q.Key)
	best := func(rs []Route) (out string) {
		var most [6]int
		for i := range rs {
			r := &rs[i]
			if len(r.unmetConditions(k, share, q.Minute)) > 0 {
				continue
			}
			is := func(b bool) int { return map[bool]int{true: 1}[b] }
			how := [6]int{1 + is(r.Group != ""), len(r.Prefix), is(r.Class != ""), is(r.Zone != ""), is(r.hasWindow()), is(r.hasShare())}
			if slices.Compare(how[:], most[:]) > 0 {
				most, out = how, r.Name
			}
		}
		return out
	}
	of := func(account string) (s Namespace) {
		for _, x := range b.Namespaces {
			if x.Account == account {
				s = x
			}
		}
		return s
	}
	var chain []string
	for up := a.name; ; up = Parent(up) {
		chain = append(chain, up)
		if up == "" {
			break
		}
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if r := best(of(chain[i]).Guards); r != "" {
			return r
		}
	}
	if r := best(of(a.name).Routes); r != "" {
		return r
	}
	for _, up := range chain {
		if r := best(of(up).Defaults); r != "" {
			return r
		}
	}
	return ""
}

func drawNamespace(rt *rapid.T, account string) Namespace {
	s := Namespace{Account: account}
	for i := range rapid.IntRange(0, 6).Draw(rt, "routes") {
		some := func(of ...string) string { return rapid.SampledFrom(of).Draw(rt, "x") }
		r := Route{Name: fmt.Sprint("r", i), Group: some("", "", "g", "h"), Prefix: some("", "a", "ab", "b"), Class: some("", "c", "d"), Zone: some("", "", "y"), Pool: Main}
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

func drawRequest(rt *rapid.T) Request {
	some := func(of ...string) string { return rapid.SampledFrom(of).Draw(rt, "q") }
	return Request{Tenant: some("t1", "t2", "t3", "no"), Class: some("c", "d", "e"), Key: some("", "a", "ab", "abc", "b", "bc", "z"), Group: some("", "g", "h", "i"), Zone: some("y", "z"),
		Minute: rapid.IntRange(0, 1439).Draw(rt, "minute")}
}

// The index finds what a look at every route finds, and whatever others put into their namespaces an account's answers stay the same.
func TestNamespacesAreIsolated(t *testing.T) {
	drawn, fit := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		b := &Directory{Accounts: customers.Accounts, Pools: customers.Pools}
		for _, a := range []string{"", "acme", "acme/web", "other"} {
			b.Namespaces = append(b.Namespaces, drawNamespace(rt, a))
		}
		drawn++
		c, err := Compile(b)
		if err != nil {
			return
		}
		fit++
		other := *b
		other.Namespaces = slices.Clone(b.Namespaces)
		other.Namespaces[3] = drawNamespace(rt, "other")
		d, err := Compile(&other)
		for range 20 {
			q := drawRequest(rt)
			v := c.Judge(q)
			if want := judgeByScan(b, c, q); v.Route != want {
				rt.Fatalf("%+v: route %q, expected %q", q, v.Route, want)
			}
			if !strings.Contains(c.Explain(q), v.Route) {
				rt.Fatalf("%s does not name %s", c.Explain(q), v.Route)
			}
			if err != nil || v.Account == "other" {
				continue
			}
			if w := d.Judge(q); w.Route != v.Route || w.RouteAccount != v.RouteAccount || !slices.Equal(w.Pools, v.Pools) || w.Refused != v.Refused {
				rt.Fatalf("%+v: %+v, and with another's changes %+v", q, v, w)
			}
		}
	})
	if fit*5 < drawn {
		t.Errorf("of %d directories drawn only %d can be used", drawn, fit)
	}
}
