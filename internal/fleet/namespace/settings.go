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

// Section declares a namespace as its administrators write it: (account NAME), and any number of (guard LABEL …), (route LABEL …), (default LABEL …).
func Section() settings.Section {
	return settings.Section{Name: "namespace", Doc: "an account's routes", Bind: func(f *settings.Form) any {
		s := &Namespace{}
		f.Text("account", "whose namespace it is", "an account, acme or acme/web", &s.Account, isNonEmpty)
		BindRoutes(f, s)
		if s.Account == "" && f.Present() {
			f.Fault("account", "no account, expected (account NAME)")
		}
		return s
	}}
}

// AccountSection declares an account below another as its administrators write it.
func AccountSection() settings.Section {
	return settings.Section{Name: "account", Doc: "an account below one's own", Bind: func(f *settings.Form) any {
		name := ""
		f.Text("name", "of the account, with those above it: acme/web", "a name", &name, isNonEmpty)
		a := bindAccount(name, f)
		return &a
	}}
}

func isNonEmpty(s string) bool { return s != "" }

// BindRoutes declares the three lists of routes of a namespace, and reports a fault at the route that has it.
func BindRoutes(f *settings.Form, s *Namespace) {
	forms := map[string]*settings.Form{}
	for _, list := range []struct {
		name, doc string
		routes    *[]Route
	}{
		{"guard", "a route that holds for the account and all below it, before theirs", &s.Guards},
		{"route", "a route of the account's own", &s.Routes},
		{"default", "a route that holds for the account and all below it, after theirs", &s.Defaults},
	} {
		f.Each(list.name, list.doc, func(label string, f *settings.Form) {
			*list.routes = append(*list.routes, bindRoute(label, f))
			forms[label] = f
		})
	}
	var fault *ValidationError
	if errors.As(CheckNamespace(s), &fault) {
		location := forms[fault.Route]
		if location == nil {
			location = f
		}
		location.Fault("", "%s", fault.Text)
	}
}

func bindRoute(label string, f *settings.Form) Route {
	r := Route{Name: label}
	bindConditions(f, &r)
	f.Text("pool", "where they go", "a pool", &r.Pool, isNonEmpty)
	f.Text("else", "pools that they fall to, in order, where the one before has no host that may be used", "pools with spaces between", new(string), func(s string) bool {
		r.Fallbacks = strings.Fields(s)
		return len(r.Fallbacks) > 0 && len(r.Fallbacks) <= maxFallbacks
	})
	var retryAfter time.Duration
	f.Bool("refuse", "whether they are refused", &r.Refuse)
	f.Duration("advice", "after which a refused client may come again", &retryAfter, 0, time.Minute)
	r.RetryAfterMillis = uint32(retryAfter.Milliseconds())
	return r
}

func bindConditions(f *settings.Form, r *Route) {
	f.Text("group", "of which group", "a name", &r.Group, isNonEmpty)
	f.Text("key", "of which flows: what their key begins with", "1 to 16 letters", &r.Prefix, func(s string) bool { return s != "" && len(s) <= MaxPrefixBytes })
	f.Text("class", "of which class", "a name", &r.Class, isNonEmpty)
	f.Text("zone", "at the proxies of which zone", "a name", &r.Zone, isNonEmpty)
	from, to := 0.0, 0.0
	f.Percent("share_from", "where a share of the flows begins, by a hash of their key", &from, 0, 1)
	f.Percent("share", "where that share ends", &to, 0, 1)
	r.ShareFrom, r.ShareTo = uint16(math.Round(from*WholeShare)), uint16(math.Round(to*WholeShare))
	var clock string
	f.Text("begin", "from what time of day on, UTC", "a time as 22:00", &clock, parseMinute(&r.WindowBegin))
	f.Text("end", "up to what time of day", "a time as 06:00", &clock, parseMinute(&r.WindowEnd))
}

// parseMinute reads a time of day, as 22:00, into minutes since midnight.
func parseMinute(to *uint16) func(string) bool {
	return func(s string) bool {
		t, err := time.Parse("15:04", s)
		*to = uint16(60*t.Hour() + t.Minute())
		return err == nil
	}
}

// BindPoolsAndAccounts declares pools and accounts, and sorts them as a Directory has them.
func BindPoolsAndAccounts(f *settings.Form, d *Directory) {
	f.Each("pool", "a part of the hosts; those that no pool takes are the pool main", func(name string, f *settings.Form) {
		d.Pools = append(d.Pools, bindPool(name, f))
	})
	f.Each("account", "a customer, acme, or a team below it, acme/web", func(name string, f *settings.Form) {
		d.Accounts = append(d.Accounts, bindAccount(name, f))
	})
	slices.SortFunc(d.Pools, func(x, y Pool) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(d.Accounts, func(x, y Account) int { return cmp.Compare(x.Name, y.Name) })
}

func bindPool(name string, f *settings.Form) Pool {
	p := Pool{Name: name}
	bindNames(f, "hosts", "hosts by name", &p.Hosts)
	bindNames(f, "prefixes", "hosts by what their name begins with", &p.Prefixes)
	bindNames(f, "kinds", "hosts by kind", &p.Kinds)
	bindNames(f, "zones", "hosts by zone", &p.Zones)
	return p
}

func bindAccount(name string, f *settings.Form) Account {
	a := Account{Name: name}
	bindNames(f, "tenants", "tenants that belong to it", &a.Tenants)
	bindNames(f, "pools", "pools that it may use; the first takes what no route sends elsewhere", &a.Pools)
	bindNames(f, "classes", "classes that it may use", &a.Classes)
	bindCount(f, "rate", "new connections a second over the whole fleet; 0: as above it", &a.Rate.Max)
	bindCount(f, "rate_reserved", "of them, kept for it", &a.Rate.Reserved)
	bindCount(f, "standing", "open connections over the whole fleet; 0: as above it", &a.Connections.Max)
	bindCount(f, "standing_reserved", "of them, kept for it", &a.Connections.Reserved)
	bindCount(f, "routes", "routes of its namespace; 0: as above it", &a.Routes)
	bindCount(f, "changes", "changes of its namespace a minute; 0: as above it", &a.Changes)
	f.Each("grant", "a key that may change things here and below", func(label string, f *settings.Form) {
		a.Grants = append(a.Grants, bindGrant(label, f))
	})
	slices.SortFunc(a.Grants, func(x, y Grant) int { return cmp.Compare(x.Label, y.Label) })
	return a
}

func bindGrant(label string, f *settings.Form) Grant {
	g := Grant{Label: label}
	f.Text("key", "its Ed25519 public key", "32 bytes in base64", new(string), func(s string) (ok bool) {
		var err error
		g.Key, err = base64.StdEncoding.DecodeString(s)
		return err == nil && len(g.Key) == 32
	})
	f.Text("verbs", "what it may do", "some of route limit delegate", new(string), func(s string) (ok bool) {
		g.Verbs, ok = ParseVerbs(s)
		return ok
	})
	f.Text("until", "when it ends", "a day as 2027-01-31, its end in UTC", new(string), func(s string) bool {
		t, err := time.Parse(time.DateOnly, s)
		g.Until = t.AddDate(0, 0, 1).Unix()
		return err == nil
	})
	return g
}

func bindCount(f *settings.Form, name, doc string, to *uint32) {
	n := int(*to)
	f.Int(name, doc, &n, 0, math.MaxInt32)
	*to = uint32(n)
}

// bindNames declares a list of names in one text. They are sorted, except pools, whose first has a meaning.
func bindNames(f *settings.Form, name, doc string, to *[]string) {
	f.Text(name, doc, "names with spaces between", new(string), func(s string) bool {
		*to = strings.Fields(s)
		sorted := slices.Sorted(slices.Values(*to))
		if name != "pools" {
			*to = slices.Clone(sorted)
		}
		return len(*to) > 0 && len(slices.Compact(sorted)) == len(*to)
	})
}
