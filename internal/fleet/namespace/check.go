package namespace

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"strings"
)

// frame is what the pools and accounts of a book come to.
type frame struct {
	host, prefix, kind, zone map[string]string // to pools
	lengths                  []int             // of prefixes, longest first
	pools                    map[string]bool
	accounts                 map[string]*Account // with what the parent has filled in
	tenant                   map[string]string   // to accounts
}

func framed(pools []Pool, accounts []Account) (*frame, error) {
	f := &frame{host: map[string]string{}, prefix: map[string]string{}, kind: map[string]string{}, zone: map[string]string{},
		pools: map[string]bool{Main: true}, accounts: make(map[string]*Account, len(accounts)+1), tenant: map[string]string{}}
	for i, p := range pools {
		if !good(p.Name) || p.Name == Main || i > 0 && pools[i-1].Name >= p.Name {
			return nil, &Fault{Text: fmt.Sprintf("pool %q: its name is none, taken, or out of order", p.Name)}
		}
		f.pools[p.Name] = true
		for _, by := range []struct {
			what  string
			names []string
			to    map[string]string
		}{{"host", p.Hosts, f.host}, {"prefix", p.Prefixes, f.prefix}, {"kind", p.Kinds, f.kind}, {"zone", p.Zones, f.zone}} {
			for _, n := range by.names {
				if n == "" || len(n) > 2*mostName {
					return nil, &Fault{Text: fmt.Sprintf("pool %s: %s %q is empty or too long", p.Name, by.what, n)}
				}
				if other, twice := by.to[n]; twice {
					return nil, &Fault{Text: fmt.Sprintf("%s %q is in pool %s and in pool %s", by.what, n, other, p.Name)}
				}
				by.to[n] = p.Name
			}
		}
	}
	for p := range f.prefix {
		f.lengths = append(f.lengths, len(p))
	}
	slices.Sort(f.lengths)
	f.lengths = slices.Compact(f.lengths)
	slices.Reverse(f.lengths)
	f.accounts[""] = &Account{Pools: []string{Main}}
	reserved := map[string][2]uint64{}
	for i := range accounts {
		if i > 0 && accounts[i-1].Name >= accounts[i].Name {
			return nil, &Fault{Account: accounts[i].Name, Text: "it stands twice, or out of order"}
		}
		if err := f.add(accounts[i], reserved); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// add takes an account in whose parent stands already, and holds it to what the parent has: a child narrows, and never widens.
func (f *frame) add(a Account, reserved map[string][2]uint64) error {
	fault := func(format string, args ...any) error {
		return &Fault{Account: a.Name, Text: fmt.Sprintf(format, args...)}
	}
	parts := strings.Split(a.Name, "/")
	if len(parts) > MostDepth || !slices.ContainsFunc(parts, good) || slices.ContainsFunc(parts, func(s string) bool { return !good(s) }) {
		return fault("no name of an account, expected up to %d names with / between", MostDepth)
	}
	above := Parent(a.Name)
	parent := f.accounts[above]
	if parent == nil {
		return fault("there is no account %s above it", above)
	}
	for _, t := range a.Tenants {
		if holder, held := f.tenant[t]; t == "" || len(t) > 2*mostName {
			return fault("tenant %q is empty or too long", t)
		} else if held && holder != above {
			return fault("tenant %s belongs to account %s", t, holder)
		} else if !held && above != "" {
			return fault("tenant %s does not belong to account %s", t, above)
		}
		f.tenant[t] = a.Name
	}
	for _, p := range a.Pools {
		if !f.pools[p] {
			return fault("there is no pool %s", p)
		}
		if above != "" && !slices.Contains(parent.Pools, p) {
			return fault("account %s may not use pool %s", above, p)
		}
	}
	for _, c := range a.Classes {
		if len(parent.Classes) > 0 && !slices.Contains(parent.Classes, c) {
			return fault("account %s may not use class %s", above, c)
		}
	}
	if len(a.Pools) == 0 {
		a.Pools = parent.Pools
	}
	if len(a.Classes) == 0 {
		a.Classes = parent.Classes
	}
	sum := reserved[above]
	for i, l := range []struct {
		what         string
		mine, theirs *Limit
	}{{"rate", &a.Rate, &parent.Rate}, {"standing", &a.Standing, &parent.Standing}} {
		if l.theirs.AtMost > 0 && l.mine.AtMost > l.theirs.AtMost {
			return fault("%s %d at most, and account %s has %d", l.what, l.mine.AtMost, above, l.theirs.AtMost)
		}
		if l.mine.AtMost == 0 {
			l.mine.AtMost = l.theirs.AtMost
		}
		if l.mine.AtMost > 0 && l.mine.Reserved > l.mine.AtMost {
			return fault("%s %d reserved, and %d is the most", l.what, l.mine.Reserved, l.mine.AtMost)
		}
		if sum[i] += uint64(l.mine.Reserved); above != "" && sum[i] > uint64(l.theirs.Reserved) {
			return fault("%s: with it %d are reserved below account %s, which has %d", l.what, sum[i], above, l.theirs.Reserved)
		}
	}
	reserved[above] = sum
	for _, n := range []struct {
		what         string
		mine, theirs *uint32
	}{{"routes", &a.Routes, &parent.Routes}, {"changes", &a.Changes, &parent.Changes}} {
		if *n.theirs > 0 && *n.mine > *n.theirs {
			return fault("%d %s, and account %s has %d", *n.mine, n.what, above, *n.theirs)
		}
		if *n.mine == 0 {
			*n.mine = *n.theirs
		}
	}
	for i, g := range a.Grants {
		if !good(g.Label) || i > 0 && a.Grants[i-1].Label >= g.Label {
			return fault("grant %q: its label is none, taken, or out of order", g.Label)
		}
		if len(g.Key) != ed25519.PublicKeySize || g.Verbs == 0 || g.Verbs > MayRoute|MayLimit|MayDelegate || g.Until < 0 {
			return fault("grant %s: no Ed25519 key, no verb, or an end before 1970", g.Label)
		}
	}
	f.accounts[a.Name] = &a
	return nil
}

// pool is the one pool that a host is in.
func (f *frame) pool(id, kind, zone string) string {
	if p, is := f.host[id]; is {
		return p
	}
	for _, n := range f.lengths {
		if len(id) >= n {
			if p, is := f.prefix[id[:n]]; is {
				return p
			}
		}
	}
	if p, is := f.kind[kind]; is && kind != "" {
		return p
	}
	if p, is := f.zone[zone]; is && zone != "" {
		return p
	}
	return Main
}
