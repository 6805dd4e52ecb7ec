package rules

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/settings"
)

// String writes a version as a file has it, a line each thing, so that two of them can be compared line by line. What is below accounts at the top
// and their namespaces stand in sections of their own.
func (v *Version) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "; version %d, the operators' part of version %d\n(rules\n", v.Number, v.Root)
	for i, r := range v.Refuse {
		fmt.Fprintf(&b, "  (refuse r%d%s%s%s)\n", i+1, field("tenant", r.Tenant), field("class", r.Class), advice(r.Advice))
	}
	for _, h := range v.Out {
		fmt.Fprintf(&b, "  (out %s)\n", settings.Quote(h))
	}
	if v.Book == nil {
		return b.String() + ")\n"
	}
	for _, p := range v.Book.Pools {
		fmt.Fprintf(&b, "  (pool %s%s%s%s%s)\n", settings.Quote(p.Name), field("hosts", p.Hosts...), field("prefixes", p.Prefixes...), field("kinds", p.Kinds...), field("zones", p.Zones...))
	}
	for _, a := range v.Book.Accounts {
		if namespace.Parent(a.Name) == "" {
			fmt.Fprintf(&b, "  (account %s%s)\n", settings.Quote(a.Name), fields(&a))
		}
	}
	for _, s := range v.Book.Spaces {
		if s.Account == "" {
			routes(&b, &s)
		}
	}
	b.WriteString(")\n")
	for _, a := range v.Book.Accounts {
		if namespace.Parent(a.Name) != "" {
			fmt.Fprintf(&b, "; of version %d\n(account (name %s)%s)\n", a.Number, settings.Quote(a.Name), fields(&a))
		}
	}
	for _, s := range v.Book.Spaces {
		if s.Account != "" {
			fmt.Fprintf(&b, "; of version %d\n(namespace (account %s)\n", s.Number, settings.Quote(s.Account))
			routes(&b, &s)
			b.WriteString(")\n")
		}
	}
	if v.between() {
		b.WriteString("; something changes hands: a version more follows\n")
	}
	return b.String()
}

func field(name string, words ...string) string {
	if s := strings.Join(words, " "); s != "" {
		return fmt.Sprintf(" (%s %s)", name, settings.Quote(s))
	}
	return ""
}

func advice(ms uint32) string {
	if ms == 0 {
		return ""
	}
	return " (advice " + settings.FormatDuration(time.Duration(ms)*time.Millisecond) + ")"
}

func number(name string, n uint32) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" (%s %d)", name, n)
}

func fields(a *namespace.Account) string {
	s := field("tenants", a.Tenants...) + field("pools", a.Pools...) + field("classes", a.Classes...) + number("rate", a.Rate.AtMost) +
		number("rate_reserved", a.Rate.Reserved) + number("standing", a.Standing.AtMost) + number("standing_reserved", a.Standing.Reserved) +
		number("routes", a.Routes) + number("changes", a.Changes)
	for _, g := range a.Grants {
		until := ""
		if g.Until > 0 {
			until = " (until " + time.Unix(g.Until-1, 0).UTC().Format(time.DateOnly) + ")"
		}
		s += fmt.Sprintf(" (grant %s (key %s) (verbs %s)%s)", settings.Quote(g.Label), settings.Quote(base64.StdEncoding.EncodeToString(g.Key)),
			settings.Quote(namespace.VerbNames(g.Verbs)), until)
	}
	return s
}

func routes(b *strings.Builder, s *namespace.Space) {
	for _, l := range []struct {
		name string
		all  []namespace.Route
	}{{"guard", s.Guards}, {"route", s.Routes}, {"default", s.Defaults}} {
		for _, r := range l.all {
			fmt.Fprintf(b, "  (%s %s%s%s%s%s", l.name, settings.Quote(r.Name), field("group", r.Group), field("key", r.Prefix), field("class", r.Class), field("zone", r.Zone))
			if r.From != 0 || r.To != 0 {
				fmt.Fprintf(b, " (share_from %g%%) (share %g%%)", float64(r.From)/100, float64(r.To)/100)
			}
			if r.Begin != 0 || r.End != 0 {
				fmt.Fprintf(b, " (begin %02d:%02d) (end %02d:%02d)", r.Begin/60, r.Begin%60, r.End/60, r.End%60)
			}
			fmt.Fprintf(b, "%s%s", field("pool", r.Pool), field("else", r.Else...))
			if r.Refuse {
				fmt.Fprintf(b, " (refuse on)%s", advice(r.Advice))
			}
			b.WriteString(")\n")
		}
	}
}
