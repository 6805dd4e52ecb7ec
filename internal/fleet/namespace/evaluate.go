package namespace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is the attributes of a request by which routes are chosen.
type Request struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Key    string `json:"Key"`
	Group  string `json:"Group"`
	Zone   string `json:"Zone"`   // of the proxy
	Minute int    `json:"Minute"` // of the day, UTC
}

func (q *Request) matchKey() matchKey { return matchKey{q.Group, q.Key, q.Class, q.Zone} }

// classesRoute takes the place of a route in the verdict where the account may not use the request's class.
const classesRoute = "classes"

// Verdict is what becomes of a request. It shares memory with the compiled directory and must not be changed.
type Verdict struct {
	Account      string
	RouteAccount string // the account whose route decided
	Route        string // "": none fits, and the account's first pool takes it
	Rejected     bool
	Reassigned   bool // rejected while its tenant is reassigned to another account
	RetryAfter   time.Duration
	Pools        []string // in the order of preference
}

// reassignedRetryAfter is the Retry-After while a tenant is reassigned: that takes a few round trips, or a lease's time where a member is cut off.
const reassignedRetryAfter = 500 * time.Millisecond

// Evaluate finds the account first, and then the route among those that apply to that account.
func (c *Compiled) Evaluate(q Request) Verdict {
	name := c.current.accountOfTenant[q.Tenant]
	a := c.accounts[name]
	if c.previous != nil && c.previous.accountOfTenant[q.Tenant] != name {
		return Verdict{Account: name, Rejected: true, Reassigned: true, RetryAfter: reassignedRetryAfter}
	}
	if len(a.settings.Classes) > 0 && !slices.Contains(a.settings.Classes, q.Class) {
		return Verdict{Account: name, RouteAccount: name, Route: classesRoute, Rejected: true}
	}
	r := a.find(&q)
	v := Verdict{Account: name, RouteAccount: r.account, Pools: r.pools, RetryAfter: r.retryAfter}
	if r.Route != nil {
		v.Route, v.Rejected = r.Name, r.Refuse
	}
	return v
}

// find gives the route that decides: a guard, the operators' first; else a route of the account's own; else a default, the account's own first.
func (a *compiledAccount) find(q *Request) *compiledRoute {
	k, share := q.matchKey(), a.share(q.Key)
	for _, s := range a.chain {
		if r := s.guards.find(k, share, q.Minute); r != nil {
			return r
		}
	}
	if own := a.own(); own != nil {
		if r := own.routes.find(k, share, q.Minute); r != nil {
			return r
		}
	}
	for i := len(a.chain) - 1; i >= 0; i-- {
		if r := a.chain[i].defaults.find(k, share, q.Minute); r != nil {
			return r
		}
	}
	return a.defaultRoute
}

// shareHashFactor is 2^64 divided by the golden ratio (Fibonacci hashing): it spreads hashes that differ in few bits.
const shareHashFactor = 0x9e3779b97f4a7c15

// share is a flow's position among all of the account's, from 0 up to WholeShare, the same at every proxy and in every version, so that a flow does
// not change pools when a version does.
func (a *compiledAccount) share(key string) uint16 {
	return uint16((xxhash.Sum64String(key) ^ a.hash) * shareHashFactor >> 32 * WholeShare >> 32)
}

// Pool is the one pool that a host is in; "": it is being reassigned, and gets no new requests.
func (c *Compiled) Pool(host, kind, zone string) string {
	p := c.current.pool(host, kind, zone)
	if c.previous != nil && c.previous.pool(host, kind, zone) != p {
		return ""
	}
	return p
}

// AccountSettings are an account's settings, empty ones filled in from its parents; nil: there is no such account.
func (c *Compiled) AccountSettings(account string) *Account { return c.current.accounts[account] }

// AccountOfTenant is a tenant's; "": the operators'.
func (c *Compiled) AccountOfTenant(tenant string) string { return c.current.accountOfTenant[tenant] }
