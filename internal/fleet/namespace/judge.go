package namespace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ask is a request as the rules see it.
type Ask struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Key    string `json:"Key"`
	Group  string `json:"Group"`
	Zone   string `json:"Zone"`   // of the proxy
	Minute int    `json:"Minute"` // of the day, UTC
}

// Verdict is what becomes of a request. It shares memory with the compiled book and is not to be changed.
type Verdict struct {
	Account string
	Scope   string // the account whose route decided
	Route   string // "": none fits, and the account's first pool takes it
	Refused bool
	Moving  bool // refused since its tenant changes accounts just now
	Advice  time.Duration
	Pools   []string // in the order in which they are to be tried
}

// movingAdvice is when to come again while a tenant or a host changes hands: what it waits for takes a few round trips, or a right's time.
const movingAdvice = 500 * time.Millisecond

// Judge finds the account first, then the route in that account's chain alone.
func (c *Compiled) Judge(q Ask) Verdict {
	name := c.frame.tenant[q.Tenant]
	a := c.accounts[name]
	if c.was != nil && c.was.tenant[q.Tenant] != name {
		return Verdict{Account: name, Refused: true, Moving: true, Advice: movingAdvice}
	}
	if len(a.limit.Classes) > 0 && !has(a.limit.Classes, q.Class) {
		return Verdict{Account: name, Scope: name, Route: "classes", Refused: true}
	}
	p := a.find(q)
	v := Verdict{Account: name, Scope: p.account, Pools: p.pools, Advice: p.advice}
	if p.Route != nil {
		v.Route, v.Refused = p.Name, p.Refuse
	}
	return v
}

func (a *account) find(q Ask) *plan {
	k := key{q.Group, q.Key, q.Class, q.Zone}
	share := a.share(q.Key)
	for _, s := range a.chain {
		if p := s.guards.find(k, share, q.Minute); p != nil {
			return p
		}
	}
	if n := len(a.chain); n > 0 && a.chain[n-1].account == a.name {
		if p := a.chain[n-1].routes.find(k, share, q.Minute); p != nil {
			return p
		}
	}
	for i := len(a.chain) - 1; i >= 0; i-- {
		if p := a.chain[i].defaults.find(k, share, q.Minute); p != nil {
			return p
		}
	}
	return a.usual
}

// share is a flow's place among all of the account's, the same at every proxy and in every version.
func (a *account) share(key string) uint16 {
	return uint16((xxhash.Sum64String(key) ^ a.hash) * 0x9e3779b97f4a7c15 >> 32 * Whole >> 32)
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Pool is the one pool that a host is in; "": it changes hands just now and gets nothing new.
func (c *Compiled) Pool(id, kind, zone string) string {
	p := c.frame.pool(id, kind, zone)
	if c.was != nil && c.was.pool(id, kind, zone) != p {
		return ""
	}
	return p
}

// Limits are an account's, with what its parents fill in, and those above it; nil: there is no such account.
func (c *Compiled) Limits(account string) *Account { return c.frame.accounts[account] }

// Account is a tenant's; "": the operators'.
func (c *Compiled) Account(tenant string) string { return c.frame.tenant[tenant] }
