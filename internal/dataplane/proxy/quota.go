package proxy

import (
	"hash/fnv"
	"log/slog"
	"time"
)

// Quota limits the connections of accounts over all proxies together.
type Quota interface {
	// IsLimited reports whether an account has limits.
	IsLimited(account string) bool
	// Acquire reserves quota for one connection of an account, and calls done on the event loop
	// with the result. exceeded names the limit that is used up, and is "" if the quota was
	// reserved. retryAfter is the Retry-After of a rejection. spread is a number in [0, 1) that
	// differs between requests, so that their retries do not come at the same time.
	Acquire(account string, spread float64, done func(exceeded string, retryAfter time.Duration))
	// CountExisting counts a connection that is open already, whether or not quota is left.
	CountExisting(account string)
	// Release frees the quota of one connection of an account.
	Release(account string)
}

// SetQuota sets the limits that apply over all proxies (the fleet). It is called before the core
// accepts clients.
func (c *Core) SetQuota(q Quota) { c.fleet.quota = q }

// acquireQuota calls proceed once quota for the request is reserved in its account, and at once if
// the account is not limited. If no quota is left, it rejects the request.
func (c *Core) acquireQuota(r *Request, account string, proceed func()) {
	if c.fleet.quota == nil || account == "" || !c.fleet.quota.IsLimited(account) {
		proceed()
		return
	}
	c.fleet.quota.Acquire(account, retrySpread(r.attributes.ID), func(exceeded string, retryAfter time.Duration) {
		switch {
		case exceeded != "" && r.answered():
			// No quota was reserved, and nobody waits for an answer.
		case exceeded != "":
			if tracing() {
				slog.Debug("quota_exceeded", "request", r.attributes.ID, "account", account, "of", exceeded)
			}
			r.reject(c.boundedRetryAfter(retryAfter), quotaExceeded)
		case r.answered():
			c.fleet.quota.Release(account) // the client has left in the meantime
		default:
			r.quotaAccount = account
			recoverRequest(r, proceed)
		}
	})
}

// retrySpread returns a number in [0, 1), derived from a request's ID, that spreads the Retry-After
// of rejected requests.
func retrySpread(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()%1000) / 1000
}

// releaseQuota frees the quota that the request holds, if any.
func (r *Request) releaseQuota() {
	if r.quotaAccount != "" {
		r.core.fleet.quota.Release(r.quotaAccount)
		r.quotaAccount = ""
	}
}

// countExistingConnections counts those open connections against the limits of their accounts that
// are not counted yet, because they were opened before this process had rules or their account had
// limits.
func (c *Core) countExistingConnections() {
	for _, r := range c.requests {
		c.countExistingConnection(r)
	}
}

// countExistingConnection counts an open connection against the limits of its account, unless it is
// counted already or the account has no limits.
func (c *Core) countExistingConnection(r *Request) {
	if c.fleet.quota == nil || c.fleet.enforcer == nil || !r.isOpen() || r.quotaAccount != "" {
		return
	}
	if account := c.fleet.enforcer.Account(c.tenantName(r)); account != "" && c.fleet.quota.IsLimited(account) {
		r.quotaAccount = account
		c.fleet.quota.CountExisting(account)
	}
}

// AccountConnections returns the number of connections that count against each account's quota.
func (c *Core) AccountConnections() map[string]int {
	counts := map[string]int{}
	for _, r := range c.requests {
		if r.quotaAccount != "" {
			counts[r.quotaAccount]++
		}
	}
	return counts
}

// SetOtherProcessConnections counts the connections that the other process of this proxy has, by account,
// against the quotas of this one. The other process does not report them to the fleet any more.
func (c *Core) SetOtherProcessConnections(counts map[string]int) {
	if c.fleet.quota == nil {
		return
	}
	for account, n := range counts {
		for range n - c.fleet.otherProcess[account] {
			c.fleet.quota.CountExisting(account)
		}
	}
	for account, n := range c.fleet.otherProcess {
		for range n - counts[account] {
			c.fleet.quota.Release(account)
		}
	}
	c.fleet.otherProcess = counts
}

// tenantName returns the tenant that the request's client named. A connection from before a hot
// restart has only the tenant's index, which the settings translate into a name.
func (c *Core) tenantName(r *Request) string {
	if r.tenant == "" && r.attributes.Tenant >= 0 {
		return c.opt.Settings.Tenants[r.attributes.Tenant].Name
	}
	return r.tenant
}
