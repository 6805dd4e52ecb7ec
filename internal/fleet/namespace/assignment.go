package namespace

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"strings"
)

// assignment is the compiled form of Assignment: the pool of each host, the account of each tenant,
// and the limits of each account.
type assignment struct {
	// Names of pools, by the host ID, prefix of the host ID, kind and zone that the pools name.
	poolOfHost, poolOfPrefix, poolOfKind, poolOfZone map[string]string

	prefixLengths   []int                   // of the keys of poolOfPrefix, longest first
	pools           map[string]bool         // names of all pools
	accounts        map[string]*Account     // by name; "" is the operators; empty settings are filled in from the parent
	accountOfTenant map[string]string       // name of the deepest account that names a tenant
	reserved        map[string]reservations // by name of the parent
}

// reservations is the sum of what an account's children reserve.
type reservations struct{ rate, connections uint64 }

// compileAssignment checks and compiles pools and accounts. The error is a *ValidationError.
func compileAssignment(pools []Pool, accounts []Account) (*assignment, error) {
	a := &assignment{
		poolOfHost:      map[string]string{},
		poolOfPrefix:    map[string]string{},
		poolOfKind:      map[string]string{},
		poolOfZone:      map[string]string{},
		pools:           map[string]bool{MainPool: true},
		accounts:        make(map[string]*Account, len(accounts)+1),
		accountOfTenant: map[string]string{},
		reserved:        map[string]reservations{},
	}
	for i, p := range pools {
		if !validName(p.Name) || p.Name == MainPool || i > 0 && pools[i-1].Name >= p.Name {
			return nil, &ValidationError{Text: fmt.Sprintf("pool %q: its name is none, taken, or out of order", p.Name)}
		}
		if err := a.addPool(&p); err != nil {
			return nil, err
		}
	}
	a.sortPrefixLengths()
	a.accounts[""] = &Account{Pools: []string{MainPool}}
	for i := range accounts {
		if i > 0 && accounts[i-1].Name >= accounts[i].Name {
			return nil, &ValidationError{Account: accounts[i].Name, Text: "it stands twice, or out of order"}
		}
		if err := a.addAccount(accounts[i]); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// addPool adds a pool. It rejects a value that is empty, too long or already in a pool.
func (a *assignment) addPool(p *Pool) error {
	a.pools[p.Name] = true
	for _, by := range []struct {
		what  string
		names []string
		pools map[string]string
	}{{"host", p.Hosts, a.poolOfHost}, {"prefix", p.Prefixes, a.poolOfPrefix}, {"kind", p.Kinds, a.poolOfKind}, {"zone", p.Zones, a.poolOfZone}} {
		for _, n := range by.names {
			if n == "" || len(n) > 2*maxNameBytes {
				return &ValidationError{Text: fmt.Sprintf("pool %s: %s %q is empty or too long", p.Name, by.what, n)}
			}
			if other, taken := by.pools[n]; taken {
				return &ValidationError{Text: fmt.Sprintf("%s %q is in pool %s and in pool %s", by.what, n, other, p.Name)}
			}
			by.pools[n] = p.Name
		}
	}
	return nil
}

// sortPrefixLengths sets prefixLengths to the different lengths of the added prefixes, longest first.
func (a *assignment) sortPrefixLengths() {
	for p := range a.poolOfPrefix {
		a.prefixLengths = append(a.prefixLengths, len(p))
	}
	slices.Sort(a.prefixLengths)
	a.prefixLengths = slices.Compact(a.prefixLengths)
	slices.Reverse(a.prefixLengths)
}

// addAccount adds an account. It rejects an account whose parent has not been added, or that has
// more than its parent in any respect, so that customers who may create accounts below their own
// cannot give away more than they have.
func (a *assignment) addAccount(account Account) error {
	parts := strings.Split(account.Name, "/")
	if len(parts) > MaxDepth || slices.ContainsFunc(parts, func(s string) bool { return !validName(s) }) {
		return accountError(&account, "no name of an account, expected up to %d names with / between", MaxDepth)
	}
	parent := a.accounts[Parent(account.Name)]
	if parent == nil {
		return accountError(&account, "there is no account %s above it", Parent(account.Name))
	}
	for _, restrict := range []func(account, parent *Account) error{a.restrictTenants, a.restrictPools, restrictClasses, a.restrictLimits, restrictCounts} {
		if err := restrict(&account, parent); err != nil {
			return err
		}
	}
	if err := checkGrants(&account); err != nil {
		return err
	}
	a.accounts[account.Name] = &account
	return nil
}

// accountError returns a *ValidationError for an account.
func accountError(a *Account, format string, args ...any) error {
	return &ValidationError{Account: a.Name, Text: fmt.Sprintf(format, args...)}
}

// restrictTenants moves a child's tenants from its parent to the child. It rejects a tenant that does
// not belong to the parent; a tenant of a top-level account must not belong to any account.
func (a *assignment) restrictTenants(account, parent *Account) error {
	for _, t := range account.Tenants {
		owner, owned := a.accountOfTenant[t]
		switch {
		case t == "" || len(t) > 2*maxNameBytes:
			return accountError(account, "tenant %q is empty or too long", t)
		case owned && owner != parent.Name:
			return accountError(account, "tenant %s belongs to account %s", t, owner)
		case !owned && parent.Name != "":
			return accountError(account, "tenant %s does not belong to account %s", t, parent.Name)
		}
		a.accountOfTenant[t] = account.Name
	}
	return nil
}

// restrictPools rejects a pool that does not exist or that the parent may not use. An account
// without pools gets the parent's.
func (a *assignment) restrictPools(account, parent *Account) error {
	for _, p := range account.Pools {
		if !a.pools[p] {
			return accountError(account, "there is no pool %s", p)
		}
		if parent.Name != "" && !slices.Contains(parent.Pools, p) {
			return accountError(account, "account %s may not use pool %s", parent.Name, p)
		}
	}
	if len(account.Pools) == 0 {
		account.Pools = parent.Pools
	}
	return nil
}

// restrictClasses rejects a class that the parent may not use. An account without classes gets the
// parent's.
func restrictClasses(account, parent *Account) error {
	for _, c := range account.Classes {
		if len(parent.Classes) > 0 && !slices.Contains(parent.Classes, c) {
			return accountError(account, "account %s may not use class %s", parent.Name, c)
		}
	}
	if len(account.Classes) == 0 {
		account.Classes = parent.Classes
	}
	return nil
}

// restrictLimits rejects a limit above the parent's, a reservation above the account's limit, and
// reservations of the parent's children that together exceed what the parent has reserved. A
// top-level account may reserve any part of its limit. An account without a limit gets the parent's.
func (a *assignment) restrictLimits(account, parent *Account) error {
	reserved := a.reserved[parent.Name]
	for _, l := range []struct {
		name         string
		own, parents *Limit
		reserved     *uint64
	}{
		{"rate", &account.Rate, &parent.Rate, &reserved.rate},
		{"standing", &account.Connections, &parent.Connections, &reserved.connections},
	} {
		if l.parents.Max > 0 && l.own.Max > l.parents.Max {
			return accountError(account, "%s %d at most, and account %s has %d", l.name, l.own.Max, parent.Name, l.parents.Max)
		}
		if l.own.Max == 0 {
			l.own.Max = l.parents.Max
		}
		if l.own.Max > 0 && l.own.Reserved > l.own.Max {
			return accountError(account, "%s %d reserved, and %d is the most", l.name, l.own.Reserved, l.own.Max)
		}
		if *l.reserved += uint64(l.own.Reserved); parent.Name != "" && *l.reserved > uint64(l.parents.Reserved) {
			return accountError(account, "%s: with it %d are reserved below account %s, which has %d", l.name, *l.reserved, parent.Name, l.parents.Reserved)
		}
	}
	a.reserved[parent.Name] = reserved
	return nil
}

// restrictCounts rejects a maximum number of routes, or of changes per minute, above the parent's.
// An account for which such a number is 0 gets the parent's.
func restrictCounts(account, parent *Account) error {
	for _, n := range []struct {
		name         string
		own, parents *uint32
	}{{"routes", &account.Routes, &parent.Routes}, {"changes", &account.Changes, &parent.Changes}} {
		if *n.parents > 0 && *n.own > *n.parents {
			return accountError(account, "%d %s, and account %s has %d", *n.own, n.name, parent.Name, *n.parents)
		}
		if *n.own == 0 {
			*n.own = *n.parents
		}
	}
	return nil
}

// checkGrants returns an error unless an account's grants are valid, sorted and unique.
func checkGrants(account *Account) error {
	for i, g := range account.Grants {
		if !validName(g.Label) || i > 0 && account.Grants[i-1].Label >= g.Label {
			return accountError(account, "grant %q: its label is none, taken, or out of order", g.Label)
		}
		if len(g.Key) != ed25519.PublicKeySize || g.Verbs == 0 || g.Verbs > MayRoute|MayLimit|MayDelegate || g.Until < 0 {
			return accountError(account, "grant %s: no Ed25519 key, no verb, or an end before 1970", g.Label)
		}
	}
	return nil
}

// pool returns the name of the pool that a host is in: the one that names its ID, else the longest
// matching prefix of the ID, else its kind, else its zone, else MainPool.
func (a *assignment) pool(host, kind, zone string) string {
	if p, found := a.poolOfHost[host]; found {
		return p
	}
	for _, n := range a.prefixLengths {
		if len(host) >= n {
			if p, found := a.poolOfPrefix[host[:n]]; found {
				return p
			}
		}
	}
	if p, found := a.poolOfKind[kind]; found && kind != "" {
		return p
	}
	if p, found := a.poolOfZone[zone]; found && zone != "" {
		return p
	}
	return MainPool
}
