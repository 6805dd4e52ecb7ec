package namespace

import (
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/operations/settings"
)

// Section is a namespace as its administrators write it: (account NAME), and (guard LABEL …), (route LABEL …), (default LABEL …) as often as wanted.
func Section() settings.Section {
	return settings.Section{Name: "namespace", Doc: "an account's routes", Bind: func(f *settings.Form) any {
		s := &Space{}
		f.Text("account", "whose namespace it is", "an account, acme or acme/web", &s.Account, func(s string) bool { return s != "" })
		BindRoutes(f, s)
		if s.Account == "" && f.Present() {
			f.Fault("account", "no account, expected (account NAME)")
		}
		return s
	}}
}

// BindRoutes declares the three lists of a namespace, and what is wrong among its routes.
func BindRoutes(f *settings.Form, s *Space) {
	forms := map[string]*settings.Form{}
	for _, l := range []struct {
		name, doc string
		to        *[]Route
	}{{"guard", "a route that holds for the account and all below it, before theirs", &s.Guards}, {"route", "a route of the account's own", &s.Routes},
		{"default", "a route that holds for the account and all below it, after theirs", &s.Defaults}} {
		f.Each(l.name, l.doc, func(label string, f *settings.Form) {
			*l.to = append(*l.to, bindRoute(label, f))
			forms[label] = f
		})
	}
	var fault *Fault
	if errors.As(CheckSpace(s), &fault) {
		at := forms[fault.Route]
		if at == nil {
			at = f
		}
		at.Fault("", "%s", fault.Text)
	}
}

func bindRoute(label string, f *settings.Form) Route {
	r := Route{Name: label}
	some := func(s string) bool { return s != "" }
	f.Text("group", "of which group", "a name", &r.Group, some)
	f.Text("key", "of which flows: what their key begins with", "1 to 16 letters", &r.Prefix, func(s string) bool { return s != "" && len(s) <= MostPrefix })
	f.Text("class", "of which class", "a name", &r.Class, some)
	f.Text("zone", "at the proxies of which zone", "a name", &r.Zone, some)
	from, to := 0.0, 0.0
	f.Percent("share_from", "where a share of the flows begins, by a hash of their key", &from, 0, 1)
	f.Percent("share", "where that share ends", &to, 0, 1)
	r.From, r.To = uint16(math.Round(from*Whole)), uint16(math.Round(to*Whole))
	minute := func(to *uint16) func(string) bool {
		return func(s string) bool {
			t, err := time.Parse("15:04", s)
			*to = uint16(60*t.Hour() + t.Minute())
			return err == nil
		}
	}
	var clock string
	f.Text("begin", "from what time of day on, UTC", "a time as 22:00", &clock, minute(&r.Begin))
	f.Text("end", "up to what time of day", "a time as 06:00", &clock, minute(&r.End))
	f.Text("pool", "where they go", "a pool", &r.Pool, some)
	var fall []string
	f.Text("else", "pools that they fall to, in order, where the one before has no host that may be used", "pools with spaces between", new(string), func(s string) bool {
		fall = strings.Fields(s)
		return len(fall) > 0 && len(fall) <= mostFall
	})
	r.Else = fall
	var advice time.Duration
	f.Bool("refuse", "whether they are refused", &r.Refuse)
	f.Duration("advice", "after which a refused client may come again", &advice, 0, time.Minute)
	r.Advice = uint32(advice.Milliseconds())
	return r
}

// BindFrame declares pools and accounts.
func BindFrame(f *settings.Form, b *Book) {
	some := func(s string) bool { return s != "" }
	f.Each("pool", "a part of the hosts; those that no pool takes are the pool main", func(name string, f *settings.Form) {
		p := Pool{Name: name}
		for _, by := range []struct {
			name, doc string
			to        *[]string
		}{{"hosts", "hosts by name", &p.Hosts}, {"prefixes", "hosts by what their name begins with", &p.Prefixes}, {"kinds", "hosts by kind", &p.Kinds}, {"zones", "hosts by zone", &p.Zones}} {
			words(f, by.name, by.doc, by.to)
		}
		b.Pools = append(b.Pools, p)
	})
	f.Each("account", "a customer, acme, or a team below it, acme/web", func(name string, f *settings.Form) {
		b.Accounts = append(b.Accounts, bindAccount(name, f, some))
	})
	slices.SortFunc(b.Pools, func(x, y Pool) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Accounts, func(x, y Account) int { return cmp.Compare(x.Name, y.Name) })
}

// AccountSection is an account below the own one as its administrators write it.
func AccountSection() settings.Section {
	return settings.Section{Name: "account", Doc: "an account below one's own", Bind: func(f *settings.Form) any {
		name := ""
		f.Text("name", "of the account, with those above it: acme/web", "a name", &name, func(s string) bool { return s != "" })
		a := bindAccount(name, f, func(s string) bool { return s != "" })
		return &a
	}}
}

func bindAccount(name string, f *settings.Form, some func(string) bool) Account {
	a := Account{Name: name}
	words(f, "tenants", "tenants that belong to it", &a.Tenants)
	words(f, "pools", "pools that it may use; the first takes what no route sends elsewhere", &a.Pools)
	words(f, "classes", "classes that it may use", &a.Classes)
	number := func(name, doc string, to *uint32) {
		n := int(*to)
		f.Int(name, doc, &n, 0, math.MaxInt32)
		*to = uint32(n)
	}
	number("rate", "new connections a second over the whole fleet; 0: as above it", &a.Rate.AtMost)
	number("rate_reserved", "of them, kept for it", &a.Rate.Reserved)
	number("standing", "open connections over the whole fleet; 0: as above it", &a.Standing.AtMost)
	number("standing_reserved", "of them, kept for it", &a.Standing.Reserved)
	number("routes", "routes of its namespace; 0: as above it", &a.Routes)
	number("changes", "changes of its namespace a minute; 0: as above it", &a.Changes)
	f.Each("grant", "a key that may change things here and below", func(label string, f *settings.Form) {
		g := Grant{Label: label}
		f.Text("key", "its Ed25519 public key", "32 bytes in base64", new(string), func(s string) (ok bool) {
			var err error
			g.Key, err = base64.StdEncoding.DecodeString(s)
			return err == nil && len(g.Key) == 32
		})
		f.Text("verbs", "what it may do", "some of route limit delegate", new(string), func(s string) bool {
			var ok bool
			g.Verbs, ok = ParseVerbs(s)
			return ok
		})
		f.Text("until", "when it ends", "a day as 2027-01-31, its end in UTC", new(string), func(s string) bool {
			t, err := time.Parse(time.DateOnly, s)
			g.Until = t.AddDate(0, 0, 1).Unix()
			return err == nil
		})
		a.Grants = append(a.Grants, g)
	})
	slices.SortFunc(a.Grants, func(x, y Grant) int { return cmp.Compare(x.Label, y.Label) })
	return a
}

// words declares some names in one text.
func words(f *settings.Form, name, doc string, to *[]string) {
	f.Text(name, doc, "names with spaces between", new(string), func(s string) bool {
		*to = strings.Fields(s)
		slices.Sort(*to)
		if name == "pools" { // their order says which is the first
			*to = strings.Fields(s)
		}
		return len(*to) > 0 && len(slices.Compact(slices.Sorted(slices.Values(*to)))) == len(strings.Fields(s))
	})
}

var verbs = []string{"route", "limit", "delegate"}

// ParseVerbs reads the verbs of a grant.
func ParseVerbs(s string) (v uint8, ok bool) {
	for _, w := range strings.Fields(s) {
		i := slices.Index(verbs, w)
		if i < 0 {
			return 0, false
		}
		v |= 1 << i
	}
	return v, v != 0
}

// VerbNames writes them.
func VerbNames(v uint8) string {
	var out []string
	for i, n := range verbs {
		if v>>i&1 != 0 {
			out = append(out, n)
		}
	}
	return strings.Join(out, " ")
}

// Describe writes what a route does, for people.
func (r *Route) Describe() string {
	var when []string
	for _, c := range []struct{ name, value string }{{"group", r.Group}, {"key", r.Prefix}, {"class", r.Class}, {"zone", r.Zone}} {
		if c.value != "" {
			when = append(when, c.name+" "+strconv.Quote(c.value))
		}
	}
	if r.shared() {
		when = append(when, fmt.Sprintf("share %g%% to %g%%", float64(r.From)/100, float64(r.To)/100))
	}
	if r.windowed() {
		when = append(when, fmt.Sprintf("%02d:%02d to %02d:%02d UTC", r.Begin/60, r.Begin%60, r.End/60, r.End%60))
	}
	if len(when) == 0 {
		when = []string{"all"}
	}
	to := "refuse"
	if !r.Refuse {
		to = "pool " + strings.Join(append([]string{r.Pool}, r.Else...), ", else ")
	}
	return strings.Join(when, ", ") + ": " + to
}
