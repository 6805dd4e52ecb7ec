package namespace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request holds the attributes of a request that routes compare.
type Request struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Key    string `json:"Key"`    // of the flow, the requests that belong together; routes compare a prefix and a hash of it
	Group  string `json:"Group"`  // of clients that are placed together
	Zone   string `json:"Zone"`   // of the proxy
	Minute int    `json:"Minute"` // minutes since midnight UTC
}

func (q *Request) matchKey() matchKey { return matchKey{q.Group, q.Key, q.Class, q.Zone} }

// classesRoute is the route name in the verdict if the account may not use the request's class.
const classesRoute = "classes"

// Verdict is the decision on a request. It shares memory with the compiled directory and must not
// be modified.
type Verdict struct {
	Account      string
	RouteAccount string // account whose route decided
	Route        string // empty if no route matched and the account's first pool is used
	Rejected     bool
	Reassigned   bool          // rejected because its tenant is being reassigned to another account
	RetryAfter   time.Duration // of a rejected request; 0 means none
	Pools        []string      // in order of preference
}

// reassignedRetryAfter is the Retry-After while a tenant is being reassigned. A reassignment takes
// a few round trips, or the lease time if a member is cut off.
const reassignedRetryAfter = 500 * time.Millisecond

// Evaluate finds the account of a request, and then the deciding route among those that apply to
// that account. It rejects the request if its tenant is being reassigned, or if the account may not
// use its class.
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

// find returns the route that decides: a guard, the operators' first; otherwise a route of the
// account's own namespace; otherwise a default, the account's own first. If none matches, it
// returns the account's default route.
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

// shareHashFactor is 2^64 divided by the golden ratio (Fibonacci hashing). It spreads hashes that
// differ in few bits.
const shareHashFactor = 0x9e3779b97f4a7c15

// share returns a hash of a flow's key and the account's name, from 0 up to but not including
// WholeShare; a route with a share matches a range of it. The hash is the same at every proxy and in
// every rules version, so that a flow does not change pools when the version changes.
func (a *compiledAccount) share(key string) uint16 {
	return uint16((xxhash.Sum64String(key) ^ a.hash) * shareHashFactor >> 32 * WholeShare >> 32)
}

// Pool returns the name of the pool that a host is in, or "" while the host is being reassigned and
// gets no new requests.
func (c *Compiled) Pool(host, kind, zone string) string {
	p := c.current.pool(host, kind, zone)
	if c.previous != nil && c.previous.pool(host, kind, zone) != p {
		return ""
	}
	return p
}

// AccountSettings returns an account with its empty settings filled in from its parents, or nil if
// there is no such account.
func (c *Compiled) AccountSettings(account string) *Account { return c.current.accounts[account] }

// AccountOfTenant returns the name of the account that has a tenant, or "" (the operators) if none
// has.
func (c *Compiled) AccountOfTenant(tenant string) string { return c.current.accountOfTenant[tenant] }
