package namespace

import (
	"fmt"
	"strings"
)

// maxNearMatches bounds the number of other routes that Explain lists.
const maxNearMatches = 8

// Explain returns text that describes how a request is decided and why: its account, the route that
// decides, and the routes that match or miss one condition. It tests every route that applies to
// the account, so it is meant for operators' queries, not for each request.
func (c *Compiled) Explain(q Request) string {
	var b strings.Builder
	v := c.Evaluate(q)
	a := c.accounts[v.Account]
	if c.explainAccount(&b, q, v); v.Reassigned {
		return b.String()
	}
	switch {
	case v.Route == classesRoute:
		fmt.Fprintf(&b, "refused: its classes are %s\n", strings.Join(a.settings.Classes, " "))
		return b.String()
	case v.Route == "":
		fmt.Fprintf(&b, "no route fits: pool %s, its first\n", v.Pools[0])
	default:
		fmt.Fprintf(&b, "%s decides: %s\n", QualifiedName(v.RouteAccount, v.Route), a.find(&q).Describe())
	}
	a.explainNearMatches(&b, q, v)
	return b.String()
}

// explainAccount writes the account of a request and why the request belongs to it.
func (c *Compiled) explainAccount(b *strings.Builder, q Request, v Verdict) {
	name := v.Account
	if name == "" {
		name = "operators"
	}
	fmt.Fprintf(b, "account %s", name)
	switch {
	case v.Reassigned:
		fmt.Fprintf(b, ": tenant %q changes accounts just now, refused\n", q.Tenant)
	case c.current.accountOfTenant[q.Tenant] == "":
		fmt.Fprintf(b, ": no account has tenant %q\n", q.Tenant)
	default:
		fmt.Fprintf(b, ": it has tenant %q\n", q.Tenant)
	}
}

// explainNearMatches writes the routes that match but do not decide, and those that miss a single
// condition.
func (a *compiledAccount) explainNearMatches(b *strings.Builder, q Request, v Verdict) {
	k, share, listed := q.matchKey(), a.share(q.Key), 0
	explain := func(index *routeIndex, list string) {
		for i := range index.routes {
			r := &index.routes[i]
			if listed == maxNearMatches || r.account == v.RouteAccount && r.Name == v.Route {
				continue
			}
			switch unmet := r.unmetConditions(k, share, q.Minute); len(unmet) {
			case 0:
				fmt.Fprintf(b, "fits too: %s %s (%s)\n", list, QualifiedName(r.account, r.Name), r.Describe())
				listed++
			case 1:
				fmt.Fprintf(b, "nearly: %s %s (%s), but for its %s\n", list, QualifiedName(r.account, r.Name), r.Describe(), unmet[0])
				listed++
			}
		}
	}
	for _, s := range a.chain {
		explain(&s.guards, "guard")
	}
	if own := a.own(); own != nil {
		explain(&own.routes, "route")
	}
	for i := len(a.chain) - 1; i >= 0; i-- {
		explain(&a.chain[i].defaults, "default")
	}
}
