package rules

import (
	"encoding/base64"
	"fmt"
	"io"
	"strings"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/operations/settings"
)

// String returns a version in the format of a settings file, with one entry on each line, so that
// two versions can be compared line by line. Accounts below others and customers' namespaces are
// separate sections.
func (v *Version) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "; version %d, the operators' part of version %d\n(rules\n", v.Number, v.OperatorsNumber)
	for i, r := range v.Refusals {
		fmt.Fprintf(&b, "  (refuse r%d%s%s%s)\n", i+1, formatField("tenant", r.Tenant), formatField("class", r.Class), formatRetryAfter(r.RetryAfterMillis))
	}
	for _, h := range v.ExcludedHosts {
		fmt.Fprintf(&b, "  (out %s)\n", settings.Quote(h))
	}
	if v.Directory == nil {
		return b.String() + ")\n"
	}
	writeOperatorsNamespaces(&b, v.Directory)
	b.WriteString(")\n")
	writeCustomersNamespaces(&b, v.Directory)
	if v.transitional() {
		b.WriteString("; something changes hands: a version more follows\n")
	}
	return b.String()
}

// writeOperatorsNamespaces writes the pools, the top-level accounts and the operators' routes.
func writeOperatorsNamespaces(w io.Writer, directory *namespace.Directory) {
	for _, p := range directory.Pools {
		fmt.Fprintf(w, "  (pool %s%s%s%s%s)\n", settings.Quote(p.Name), formatField("hosts", p.Hosts...), formatField("prefixes", p.Prefixes...),
			formatField("kinds", p.Kinds...), formatField("zones", p.Zones...))
	}
	for _, a := range directory.Accounts {
		if namespace.Parent(a.Name) == "" {
			fmt.Fprintf(w, "  (account %s%s)\n", settings.Quote(a.Name), formatAccount(&a))
		}
	}
	for _, s := range directory.Namespaces {
		if s.Account == "" {
			writeRoutes(w, &s)
		}
	}
}

// writeCustomersNamespaces writes the accounts below others and the customers' namespaces.
func writeCustomersNamespaces(w io.Writer, directory *namespace.Directory) {
	for _, a := range directory.Accounts {
		if namespace.Parent(a.Name) != "" {
			fmt.Fprintf(w, "; of version %d\n(account (name %s)%s)\n", a.VersionNumber, settings.Quote(a.Name), formatAccount(&a))
		}
	}
	for _, s := range directory.Namespaces {
		if s.Account != "" {
			fmt.Fprintf(w, "; of version %d\n(namespace (account %s)\n", s.VersionNumber, settings.Quote(s.Account))
			writeRoutes(w, &s)
			io.WriteString(w, ")\n")
		}
	}
}

// formatField returns a field with its values, separated by blanks, or "" without values. Like the
// results of the other format functions, the field starts with a blank.
func formatField(name string, values ...string) string {
	if s := strings.Join(values, " "); s != "" {
		return fmt.Sprintf(" (%s %s)", name, settings.Quote(s))
	}
	return ""
}

// formatRetryAfter returns the field of a Retry-After in milliseconds, or "" if it is 0.
func formatRetryAfter(ms uint32) string {
	if ms == 0 {
		return ""
	}
	return " (advice " + settings.FormatDuration(time.Duration(ms)*time.Millisecond) + ")"
}

// formatNumber returns a numeric field, or "" if the number is 0.
func formatNumber(name string, n uint32) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" (%s %d)", name, n)
}

// formatAccount returns an account's fields except its name and version number.
func formatAccount(a *namespace.Account) string {
	s := formatField("tenants", a.Tenants...) + formatField("pools", a.Pools...) + formatField("classes", a.Classes...) +
		formatNumber("rate", a.Rate.Max) + formatNumber("rate_reserved", a.Rate.Reserved) +
		formatNumber("standing", a.Connections.Max) + formatNumber("standing_reserved", a.Connections.Reserved) +
		formatNumber("routes", a.Routes) + formatNumber("changes", a.Changes)
	for _, g := range a.Grants {
		s += formatGrant(&g)
	}
	return s
}

// formatGrant returns the field of a grant.
func formatGrant(g *namespace.Grant) string {
	until := ""
	if g.Until > 0 { // the file contains the last day, the version the first second after that day
		until = " (until " + time.Unix(g.Until-1, 0).UTC().Format(time.DateOnly) + ")"
	}
	return fmt.Sprintf(" (grant %s (key %s) (verbs %s)%s)", settings.Quote(g.Label), settings.Quote(base64.StdEncoding.EncodeToString(g.Key)),
		settings.Quote(g.Verbs.String()), until)
}

// writeRoutes writes the three lists of routes of a namespace.
func writeRoutes(w io.Writer, s *namespace.Namespace) {
	writeRouteList(w, "guard", s.Guards)
	writeRouteList(w, "route", s.Routes)
	writeRouteList(w, "default", s.Defaults)
}

// writeRouteList writes the routes of one list; kind is guard, route or default.
func writeRouteList(w io.Writer, kind string, routes []namespace.Route) {
	for _, r := range routes {
		fmt.Fprintf(w, "  (%s %s%s%s%s%s", kind, settings.Quote(r.Name), formatField("group", r.Group), formatField("key", r.Prefix),
			formatField("class", r.Class), formatField("zone", r.Zone))
		if r.ShareFrom != 0 || r.ShareTo != 0 { // hundredths of a per cent
			fmt.Fprintf(w, " (share_from %g%%) (share %g%%)", float64(r.ShareFrom)/100, float64(r.ShareTo)/100)
		}
		if r.WindowBegin != 0 || r.WindowEnd != 0 { // minutes of the day
			fmt.Fprintf(w, " (begin %02d:%02d) (end %02d:%02d)", r.WindowBegin/60, r.WindowBegin%60, r.WindowEnd/60, r.WindowEnd%60)
		}
		fmt.Fprintf(w, "%s%s", formatField("pool", r.Pool), formatField("else", r.Fallbacks...))
		if r.Refuse {
			fmt.Fprintf(w, " (refuse on)%s", formatRetryAfter(r.RetryAfterMillis))
		}
		io.WriteString(w, ")\n")
	}
}
