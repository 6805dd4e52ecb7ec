package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/operations/settings"
)

// mustCompile returns a compiled directory, and fails the test if the directory is invalid.
func mustCompile(t testing.TB, directory *Directory) *Compiled {
	t.Helper()
	c, err := Compile(directory)
	if err != nil {
		t.Fatalf("Compile of a directory with %d pools, %d accounts and %d namespaces: %v", len(directory.Pools), len(directory.Accounts), len(directory.Namespaces), err)
	}
	return c
}

// customers is a directory with two pools, two customers, one of which has a team, and routes at each
// level.
var customers = &Directory{
	Pools: []Pool{{Name: "fast", Kinds: []string{"m2"}}, {Name: "kept", Hosts: []string{"s-1"}, Prefixes: []string{"s-", "s-9"}}},
	Accounts: []Account{{Name: "acme", Tenants: []string{"t1", "t2"}, Pools: []string{"fast", MainPool}, Rate: Limit{100, 60}}, {Name: "acme/web", Tenants: []string{"t2"}, Rate: Limit{50, 30}},
		{Name: "other", Tenants: []string{"t3"}}},
	Namespaces: []Namespace{
		{Account: "", Guards: []Route{{Name: "closed", Class: "bulk", Refuse: true, RetryAfterMillis: 2000}}, Defaults: []Route{{Name: "rest", Zone: "z9", Pool: "fast"}}},
		{Account: "acme", Guards: []Route{{Name: "night", WindowBegin: 22 * 60, WindowEnd: 6 * 60, Class: "report", Refuse: true}}, Routes: []Route{{Name: "ab", Prefix: "ab", Pool: "fast", Fallbacks: []string{MainPool}}},
			Defaults: []Route{{Name: "last", Pool: MainPool}}},
		{Account: "acme/web", Routes: []Route{{Name: "half", ShareTo: 5000, Pool: "fast"}, {Name: "g", Group: "g1", Pool: MainPool}, {Name: "gab", Group: "g1", Prefix: "ab", Pool: "fast"}}},
	},
}

func TestEvaluate(t *testing.T) {
	c := mustCompile(t, customers)
	for _, x := range []struct {
		q       Request
		account string
		route   string
		pool    string // empty if the request is rejected
	}{
		{Request{Tenant: "t1", Class: "chat", Key: "abc"}, "acme", "ab", "fast"},
		{Request{Tenant: "t1", Class: "chat", Key: "xyz"}, "acme", "last", MainPool},
		{Request{Tenant: "t1", Class: "bulk", Key: "abc"}, "acme", "closed", ""},
		{Request{Tenant: "t1", Class: "report", Key: "abc", Minute: 23 * 60}, "acme", "night", ""},
		{Request{Tenant: "t1", Class: "report", Key: "abc", Minute: 12 * 60}, "acme", "ab", "fast"},
		{Request{Tenant: "t2", Class: "report", Minute: 60}, "acme/web", "night", ""},           // guard of the parent account
		{Request{Tenant: "t2", Group: "g1", Key: "abc"}, "acme/web", "gab", "fast"},             // more specific than route g
		{Request{Tenant: "t2", Group: "g1", Key: "abx", Zone: "z9"}, "acme/web", "gab", "fast"}, // takes precedence over the operators' default
		{Request{Tenant: "t2", Group: "g1", Key: "qq"}, "acme/web", "g", MainPool},
		{Request{Tenant: "t3", Key: "abc"}, "other", "", MainPool}, // another customer's route ab does not apply
		{Request{Tenant: "t3", Key: "abc", Zone: "z9"}, "other", "rest", "fast"},
		{Request{Tenant: "nobody", Class: "chat", Key: "abc"}, "", "", MainPool},
		{Request{Tenant: "", Class: "bulk"}, "", "closed", ""},
		{Request{Tenant: "acme", Key: "abc"}, "", "", MainPool},                                    // account names are not tenants
		{Request{Tenant: "t1", Class: "report", Key: "abc", Minute: 6 * 60}, "acme", "ab", "fast"}, // the window excludes its end
		{Request{Tenant: "t1", Class: "report", Key: "abc", Minute: 22 * 60, Zone: "z9"}, "acme", "night", ""},
	} {
		v := c.Evaluate(x.q)
		pool := ""
		if !v.Rejected {
			pool = v.Pools[0]
		}
		if v.Account != x.account || v.Route != x.route || pool != x.pool {
			t.Errorf("Evaluate(%+v): account %q, route %q, pool %q; want %q, %q, %q", x.q, v.Account, v.Route, pool, x.account, x.route, x.pool)
		}
	}
	for _, x := range []struct{ id, kind, zone, pool string }{
		{"s-1", "m2", "", "kept"}, {"s-95", "m2", "", "kept"}, {"x", "m2", "", "fast"}, {"x", "m1", "a", MainPool}, {"s", "", "", MainPool},
	} {
		if got := c.Pool(x.id, x.kind, x.zone); got != x.pool {
			t.Errorf("Pool(%q, %q, %q) = %q, want %q", x.id, x.kind, x.zone, got, x.pool)
		}
	}
}

// A share selects the same flows in every version, and about the stated part of all flows.
func TestSharesAreStable(t *testing.T) {
	c := mustCompile(t, customers)
	more := *customers
	more.Namespaces = append(slices.Clone(customers.Namespaces), Namespace{Account: "other", Routes: []Route{{Name: "x", Pool: MainPool, Prefix: "k"}}})
	changed := mustCompile(t, &more)
	n := 0
	for i := range 10_000 {
		q := Request{Tenant: "t2", Key: fmt.Sprintf("%016x", i*7919)}
		v := c.Evaluate(q)
		if w := changed.Evaluate(q); w.Route != v.Route {
			t.Fatalf("Evaluate(%+v): route = %q after another account's change, want %q as before", q, w.Route, v.Route)
		}
		if v.Route == "half" {
			n++
		}
	}
	if n < 4800 || n > 5200 {
		t.Fatalf("a share of 50%% selects %d of 10,000 flows, want 4800 to 5200", n)
	}
}

func TestCompileRejects(t *testing.T) {
	// routes returns a directory in which account a has the routes.
	routes := func(rs ...Route) *Directory {
		return &Directory{Accounts: []Account{{Name: "a"}}, Namespaces: []Namespace{{Account: "a", Routes: rs}}}
	}
	// to returns r with a name and the pool main.
	to := func(name string, r Route) Route { r.Name, r.Pool = name, MainPool; return r }
	for want, directory := range map[string]*Directory{
		"is in pool p and in pool q":             {Pools: []Pool{{Name: "p", Kinds: []string{"m"}}, {Name: "q", Kinds: []string{"m"}}}},
		"its name is none, taken":                {Pools: []Pool{{Name: MainPool}}},
		"tenant t belongs to account a":          {Accounts: []Account{{Name: "a", Tenants: []string{"t"}}, {Name: "b", Tenants: []string{"t"}}}},
		"tenant u does not belong to account a":  {Accounts: []Account{{Name: "a", Tenants: []string{"t"}}, {Name: "a/b", Tenants: []string{"u"}}}},
		"there is no account a above it":         {Accounts: []Account{{Name: "a/b"}}},
		"no name of an account":                  {Accounts: []Account{{Name: "a//b"}}},
		"may not use pool p":                     {Pools: []Pool{{Name: "p"}}, Accounts: []Account{{Name: "a"}, {Name: "a/b", Pools: []string{"p"}}}},
		"there is no pool p":                     {Accounts: []Account{{Name: "a", Pools: []string{"p"}}}},
		"may not use class d":                    {Accounts: []Account{{Name: "a", Classes: []string{"c"}}, {Name: "a/b", Classes: []string{"d"}}}},
		"rate 6 at most, and account a has 5":    {Accounts: []Account{{Name: "a", Rate: Limit{5, 0}}, {Name: "a/b", Rate: Limit{6, 0}}}},
		"with it 6 are reserved below account a": {Accounts: []Account{{Name: "a", Rate: Limit{9, 5}}, {Name: "a/b", Rate: Limit{0, 3}}, {Name: "a/c", Rate: Limit{0, 3}}}},
		"9 routes, and account a has 5":          {Accounts: []Account{{Name: "a", Routes: 5}, {Name: "a/b", Routes: 9}}},
		"no Ed25519 key":                         {Accounts: []Account{{Name: "a", Grants: []Grant{{Label: "g", Key: []byte{1}, Verbs: 1}}}}},
		"it has a namespace, and does not exist": {Namespaces: []Namespace{{Account: "a"}}},
		"2 routes, and it may have 1":            {Accounts: []Account{{Name: "a", Routes: 1}}, Namespaces: []Namespace{{Account: "a", Routes: []Route{to("x", Route{Class: "c"}), to("y", Route{Class: "d"})}}}},
		"neither is more specific":               routes(to("x", Route{Class: "c"}), to("y", Route{Class: "c"})),
		"as x, and neither":                      routes(to("x", Route{ShareTo: 4000}), to("y", Route{ShareFrom: 3000, ShareTo: 5000})),
		"as v, and neither":                      routes(to("v", Route{WindowBegin: 60, WindowEnd: 120}), to("w", Route{WindowBegin: 90, WindowEnd: 180})),
		"the shares of others are all":           routes(to("x", Route{ShareTo: 4000}), to("y", Route{ShareFrom: 4000, ShareTo: WholeShare}), to("z", Route{})),
		"its name is taken":                      routes(to("x", Route{Class: "c"}), to("x", Route{})),
		"in a circle":                            routes(Route{Name: "x", Pool: MainPool, Fallbacks: []string{MainPool}}),
		"either a pool or refuse":                routes(Route{Name: "x"}),
		"no pool nowhere":                        routes(Route{Name: "x", Pool: "nowhere"}),
		"a share that is none":                   routes(to("x", Route{ShareFrom: 5, ShareTo: 5})),
		"a time of day that is none":             routes(to("x", Route{WindowBegin: 5, WindowEnd: 5})),
		"nothing reaches it: g takes all":        {Accounts: []Account{{Name: "a"}}, Namespaces: []Namespace{{Account: "a", Guards: []Route{{Name: "g", Class: "c", Refuse: true}}, Routes: []Route{to("x", Route{Class: "c", Prefix: "ab"})}}}},
		"kinds of condition": routes(func() (rs []Route) {
			for i := range MaxConditionSets + 1 {
				rs = append(rs, to(fmt.Sprint("r", i), Route{Prefix: strings.Repeat("k", i%9), Zone: []string{"", "z"}[i/9]}))
			}
			return rs
		}()...),
	} {
		if _, err := Compile(directory); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Compile = %v, want an error that contains %q", err, want)
		}
	}
}

// Hosts and tenants that change owners get no new requests while the directory contains the
// previous assignment.
func TestReassignedHostsAndTenantsGetNoRequests(t *testing.T) {
	directory := &Directory{Pools: []Pool{{Name: "p", Kinds: []string{"m2"}}}, Accounts: []Account{{Name: "a", Tenants: []string{"t", "u"}}, {Name: "b", Tenants: []string{"v"}}},
		Previous: &Assignment{Pools: []Pool{{Name: "p", Kinds: []string{"m1", "m2"}}}, Accounts: []Account{{Name: "a", Tenants: []string{"t", "v"}}}}}
	c := mustCompile(t, directory)
	if p, q := c.Pool("x", "m1", ""), c.Pool("x", "m2", ""); p != "" || q != "p" {
		t.Errorf("Pool of the reassigned host = %q, want \"\"; of the other host = %q, want \"p\"", p, q)
	}
	for tenant, reassigned := range map[string]bool{"t": false, "u": true, "v": true, "w": false} {
		if v := c.Evaluate(Request{Tenant: tenant}); v.Reassigned != reassigned || v.Rejected != reassigned {
			t.Errorf("Evaluate(tenant %s) = %+v, want Reassigned and Rejected = %t", tenant, v, reassigned)
		}
	}
}

func TestErrorsReportPosition(t *testing.T) {
	_, err := settings.Schema{Section()}.Read("acme.sexp", []byte("(namespace\n  (account acme)\n  (route x (class c) (pool main))\n  (route y (class c) (pool main)))"))
	if err == nil || !strings.Contains(err.Error(), "acme.sexp:4:3") || !strings.Contains(err.Error(), "the same requests as x") {
		t.Fatalf("Read = %v, want an error at acme.sexp:4:3 that names route x", err)
	}
	f, err := settings.Schema{Section()}.Read("a", []byte(`(namespace (account "acme/web") (guard n (begin 22:00) (end 06:00) (refuse on) (advice 2s)) (default d (share 12.5%) (pool fast) (else "main")))`))
	if err != nil {
		t.Fatalf("Read of a valid namespace: %v", err)
	}
	if s := f.Value("namespace").(*Namespace); s.Guards[0].WindowBegin != 1320 || s.Guards[0].RetryAfterMillis != 2000 || s.Defaults[0].ShareTo != 1250 || s.Defaults[0].Fallbacks[0] != MainPool {
		t.Fatalf("namespace = %+v, want guard n from minute 1320 with a Retry-After of 2000 ms, and default d with a share to 1250 and the fallback main", s)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		directory := &Directory{Accounts: []Account{{Name: "big", Tenants: []string{"b"}}, {Name: "small", Tenants: []string{"s"}}}, Namespaces: []Namespace{{Account: "big"}, {Account: "small", Routes: customers.Namespaces[1].Routes[:0:0]}}}
		for i := range n {
			directory.Namespaces[0].Routes = append(directory.Namespaces[0].Routes, Route{Name: fmt.Sprint("r", i), Prefix: fmt.Sprintf("%08x", i), Class: []string{"", "c"}[i%2], Pool: MainPool})
		}
		c := mustCompile(b, directory)
		for whose, tenant := range map[string]string{"own": "b", "beside": "s"} {
			b.Run(fmt.Sprintf("%s/%d", whose, n), func(b *testing.B) {
				b.ReportAllocs()
				q := Request{Tenant: tenant, Class: "c", Key: "0000000500000000"}
				for range b.N {
					c.Evaluate(q)
				}
			})
		}
		b.Run(fmt.Sprintf("compile/%d", n), func(b *testing.B) {
			for range b.N {
				mustCompile(b, directory)
			}
		})
	}
}

func FuzzCompile(f *testing.F) {
	for _, p := range []string{"", "(rules (pool a (kinds m)) (account x (tenants t) (pools a)) (guard g (class c) (refuse on)))", "(rules (route r (share 50%) (pool main)) (route s (share_from 50%) (share 100%) (pool main)))"} {
		f.Add(p, "t", "c", "abcd")
	}
	f.Fuzz(func(t *testing.T, text, tenant, class, key string) {
		directory := &Directory{}
		own := Namespace{}
		if _, err := (settings.Schema{{Name: "rules", Bind: func(f *settings.FieldSet) any { BindPoolsAndAccounts(f, directory); BindRoutes(f, &own); return nil }}}).Read("x", []byte(text)); err != nil {
			return
		}
		directory.Namespaces = []Namespace{own}
		if c, err := Compile(directory); err == nil {
			q := Request{Tenant: tenant, Class: class, Key: key, Minute: 1}
			if v := c.Evaluate(q); !v.Rejected && len(v.Pools) == 0 {
				t.Fatalf("Evaluate(%+v) with rules %q = %+v, want a rejection or a pool", q, text, v)
			}
			c.Explain(q)
		}
	})
}
