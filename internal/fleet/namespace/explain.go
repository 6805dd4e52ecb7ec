package namespace

import (
	"fmt"
	"strings"
)

// mostNearly bounds how many routes Explain names that nearly fit.
const mostNearly = 8

// Explain says what becomes of a request and why: its account, the route that decides, and those that it nearly fitted. It looks at every route
// of the chain and is for people, not for each request.
func (c *Compiled) Explain(q Ask) string {
	v := c.Judge(q)
	a := c.accounts[v.Account]
	var b strings.Builder
	name := v.Account
	if name == "" {
		name = "operators"
	}
	fmt.Fprintf(&b, "account %s", name)
	switch {
	case v.Moving:
		fmt.Fprintf(&b, ": tenant %q changes accounts just now, refused\n", q.Tenant)
		return b.String()
	case c.frame.tenant[q.Tenant] == "":
		fmt.Fprintf(&b, ": no account has tenant %q\n", q.Tenant)
	default:
		fmt.Fprintf(&b, ": it has tenant %q\n", q.Tenant)
	}
	switch {
	case v.Route == "classes":
		fmt.Fprintf(&b, "refused: its classes are %s\n", strings.Join(a.limit.Classes, " "))
		return b.String()
	case v.Route == "":
		fmt.Fprintf(&b, "no route fits: pool %s, its first\n", v.Pools[0])
	default:
		fmt.Fprintf(&b, "%s decides: %s\n", Scoped(v.Scope, v.Route), a.find(q).Describe())
	}
	k := key{q.Group, q.Key, q.Class, q.Zone}
	share, told := a.share(q.Key), 0
	nearly := func(x *index, as string) {
		for i := range x.plans {
			p := &x.plans[i]
			if told == mostNearly || p.account == v.Scope && p.Name == v.Route {
				continue
			}
			if miss := p.misses(k, share, q.Minute); len(miss) == 1 {
				fmt.Fprintf(&b, "nearly: %s %s (%s), but for its %s\n", as, Scoped(p.account, p.Name), p.Describe(), miss[0])
				told++
			} else if len(miss) == 0 {
				fmt.Fprintf(&b, "fits too: %s %s (%s)\n", as, Scoped(p.account, p.Name), p.Describe())
				told++
			}
		}
	}
	for _, s := range a.chain {
		nearly(&s.guards, "guard")
	}
	if n := len(a.chain); n > 0 && a.chain[n-1].account == a.name {
		nearly(&a.chain[n-1].routes, "route")
	}
	for i := len(a.chain) - 1; i >= 0; i-- {
		nearly(&a.chain[i].defaults, "default")
	}
	return b.String()
}

// misses names the conditions that a request does not fit.
func (r *Route) misses(k key, share uint16, minute int) (out []string) {
	for _, c := range []struct {
		name  string
		fails bool
	}{{"group", r.Group != "" && r.Group != k.group}, {"key", !strings.HasPrefix(k.prefix, r.Prefix)}, {"class", r.Class != "" && r.Class != k.class},
		{"zone", r.Zone != "" && r.Zone != k.zone}, {"share", r.shared() && (share < r.From || share >= r.To)}, {"time of day", r.windowed() && !r.during(minute)}} {
		if c.fails {
			out = append(out, c.name)
		}
	}
	return out
}
