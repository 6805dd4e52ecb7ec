package namespace

import (
	"cmp"
	"encoding/base64"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"croftlock/internal/operations/settings"
)

// Section returns the settings section of a namespace as its administrators write it: (account
// NAME), and any number of (guard LABEL …), (route LABEL …) and (default LABEL …).
func Section() settings.Section {
	return settings.Section{Name: "namespace", Doc: "an account's routes", Bind: func(f *settings.FieldSet) any {
		s := &Namespace{}
		f.Text("account", "the account that owns the namespace", "an account, such as acme or acme/web", &s.Account, isNonEmpty)
		BindRoutes(f, s)
		if s.Account == "" && f.Present() {
			f.AddFault("account", "no account, expected (account NAME)")
		}
		return s
	}}
}

// AccountSection returns the settings section of an account below the administrators' own, as they
// write it.
func AccountSection() settings.Section {
	return settings.Section{Name: "account", Doc: "an account below the administrator's own account", Bind: func(f *settings.FieldSet) any {
		name := ""
		f.Text("name", "full name of the account, with the accounts above it, such as acme/web", "a name", &name, isNonEmpty)
		a := bindAccount(name, f)
		return &a
	}}
}

func isNonEmpty(s string) bool { return s != "" }

// BindRoutes registers the three lists of routes of a namespace and sets them in s. If the namespace
// is invalid, it adds a fault at the invalid route, or to f if no single route is at fault.
func BindRoutes(f *settings.FieldSet, s *Namespace) {
	fieldSets := map[string]*settings.FieldSet{} // by the label of the route
	for _, list := range []struct {
		name, doc string
		routes    *[]Route
	}{
		{"guard", "a route that applies to the account and all accounts below it, before their own routes", &s.Guards},
		{"route", "a route that applies to the account only", &s.Routes},
		{"default", "a route that applies to the account and all accounts below it, after their own routes", &s.Defaults},
	} {
		f.Repeated(list.name, list.doc, func(label string, f *settings.FieldSet) {
			*list.routes = append(*list.routes, bindRoute(label, f))
			fieldSets[label] = f
		})
	}
	var fault *ValidationError
	if errors.As(CheckNamespace(s), &fault) {
		location := fieldSets[fault.Route]
		if location == nil {
			location = f
		}
		location.AddFault("", "%s", fault.Text)
	}
}

// bindRoute registers the fields of a route and returns the route that they specify.
func bindRoute(label string, f *settings.FieldSet) Route {
	r := Route{Name: label}
	bindConditions(f, &r)
	f.Text("pool", "pool that serves the requests", "a pool", &r.Pool, isNonEmpty)
	f.Text("else", "fallback pools in order, each used if the pools before it have no usable host", "pools separated by spaces", new(string), func(s string) bool {
		r.Fallbacks = strings.Fields(s)
		return len(r.Fallbacks) > 0 && len(r.Fallbacks) <= maxFallbacks
	})
	var retryAfter time.Duration
	f.Bool("refuse", "whether the requests are rejected", &r.Refuse)
	f.Duration("advice", "Retry-After of a rejected request", &retryAfter, 0, time.Minute)
	r.RetryAfterMillis = uint32(retryAfter.Milliseconds())
	return r
}

// bindConditions registers the fields of a route's conditions, and sets them in r.
func bindConditions(f *settings.FieldSet, r *Route) {
	f.Text("group", "group of the requests", "a name", &r.Group, isNonEmpty)
	f.Text("key", "prefix of the flow's key", "1 to 16 letters", &r.Prefix, func(s string) bool { return s != "" && len(s) <= MaxPrefixBytes })
	f.Text("class", "class of the requests", "a name", &r.Class, isNonEmpty)
	f.Text("zone", "zone of the proxy", "a name", &r.Zone, isNonEmpty)
	from, to := 0.0, 0.0
	f.Percent("share_from", "start of a share of the flows, by a hash of their key", &from, 0, 1)
	f.Percent("share", "end of the share of the flows", &to, 0, 1)
	r.ShareFrom, r.ShareTo = uint16(math.Round(from*WholeShare)), uint16(math.Round(to*WholeShare))
	var clock string
	f.Text("begin", "start of the time of day, UTC", "a time such as 22:00", &clock, parseMinute(&r.WindowBegin))
	f.Text("end", "end of the time of day, UTC", "a time such as 06:00", &clock, parseMinute(&r.WindowEnd))
}

// parseMinute returns a function that parses a time of day such as 22:00, stores the minutes since
// midnight in to, and reports whether the text is valid.
func parseMinute(to *uint16) func(string) bool {
	return func(s string) bool {
		t, err := time.Parse("15:04", s)
		*to = uint16(60*t.Hour() + t.Minute())
		return err == nil
	}
}

// BindPoolsAndAccounts registers pools and accounts, and sorts them by name as Directory requires.
func BindPoolsAndAccounts(f *settings.FieldSet, d *Directory) {
	f.Repeated("pool", "a set of hosts; the hosts in no pool form the pool main", func(name string, f *settings.FieldSet) {
		d.Pools = append(d.Pools, bindPool(name, f))
	})
	f.Repeated("account", "a customer, such as acme, or a team below it, such as acme/web", func(name string, f *settings.FieldSet) {
		d.Accounts = append(d.Accounts, bindAccount(name, f))
	})
	slices.SortFunc(d.Pools, func(x, y Pool) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(d.Accounts, func(x, y Account) int { return cmp.Compare(x.Name, y.Name) })
}

// bindPool registers the fields of a pool and returns the pool that they specify.
func bindPool(name string, f *settings.FieldSet) Pool {
	p := Pool{Name: name}
	bindNames(f, "hosts", "hosts by name", &p.Hosts)
	bindNames(f, "prefixes", "hosts by prefix of their name", &p.Prefixes)
	bindNames(f, "kinds", "hosts by kind", &p.Kinds)
	bindNames(f, "zones", "hosts by zone", &p.Zones)
	return p
}

// bindAccount registers the fields of an account and returns the account that they specify.
func bindAccount(name string, f *settings.FieldSet) Account {
	a := Account{Name: name}
	bindNames(f, "tenants", "tenants that belong to it", &a.Tenants)
	bindNames(f, "pools", "pools that it may use; the first gets the requests that no route matches", &a.Pools)
	bindNames(f, "classes", "classes that it may use", &a.Classes)
	bindCount(f, "rate", "new connections per second over the whole fleet; 0 means the limit of the account above it", &a.Rate.Max)
	bindCount(f, "rate_reserved", "part of rate that is reserved for the account", &a.Rate.Reserved)
	bindCount(f, "standing", "open connections over the whole fleet; 0 means the limit of the account above it", &a.Connections.Max)
	bindCount(f, "standing_reserved", "part of standing that is reserved for the account", &a.Connections.Reserved)
	bindCount(f, "routes", "most routes of its namespace; 0 means the limit of the account above it", &a.Routes)
	bindCount(f, "changes", "most changes of its namespace per minute; 0 means the limit of the account above it", &a.Changes)
	f.Repeated("grant", "a key that may change the account and the accounts below it", func(label string, f *settings.FieldSet) {
		a.Grants = append(a.Grants, bindGrant(label, f))
	})
	slices.SortFunc(a.Grants, func(x, y Grant) int { return cmp.Compare(x.Label, y.Label) })
	return a
}

// bindGrant registers the fields of a grant and returns the grant that they specify. The file
// contains the last day of the grant, Grant.Until the first second after that day.
func bindGrant(label string, f *settings.FieldSet) Grant {
	g := Grant{Label: label}
	f.Text("key", "its Ed25519 public key", "32 bytes in base64", new(string), func(s string) (ok bool) {
		var err error
		g.Key, err = base64.StdEncoding.DecodeString(s)
		return err == nil && len(g.Key) == 32
	})
	f.Text("verbs", "actions that the key allows", "one or more of route limit delegate", new(string), func(s string) (ok bool) {
		g.Verbs, ok = ParseVerbs(s)
		return ok
	})
	f.Text("until", "last day of the grant, which ends at the end of that day in UTC", "a day such as 2027-01-31", new(string), func(s string) bool {
		t, err := time.Parse(time.DateOnly, s)
		g.Until = t.AddDate(0, 0, 1).Unix()
		return err == nil
	})
	return g
}

// bindCount registers a number from 0 to math.MaxInt32, whose default is the value that to points
// to, and stores it there.
func bindCount(f *settings.FieldSet, name, doc string, to *uint32) {
	n := int(*to)
	f.Int(name, doc, &n, 0, math.MaxInt32)
	*to = uint32(n)
}

// bindNames registers a list of different names, separated by blanks in one text, and stores it in
// to. The names are sorted, except in the field "pools", whose first name is the account's default
// pool.
func bindNames(f *settings.FieldSet, name, doc string, to *[]string) {
	f.Text(name, doc, "names separated by spaces", new(string), func(s string) bool {
		*to = strings.Fields(s)
		sorted := slices.Sorted(slices.Values(*to))
		if name != "pools" {
			*to = slices.Clone(sorted)
		}
		return len(*to) > 0 && len(slices.Compact(sorted)) == len(*to)
	})
}
