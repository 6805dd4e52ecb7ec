package proxy

import (
	"hash/fnv"
	"log/slog"
	"time"
)

// Quota keeps accounts to limits over all proxies together. then is called on the loop: over names the limit that is used up,
// "" where there is quota left, and advice is its Retry-After.
type Quota interface {
	IsLimited(account string) bool
	Acquire(account string, spread float64, then func(over string, advice time.Duration))
	CountExisting(account string)
	Release(account string)
}

// SetQuota gives the core the limits over the fleet. It is called before clients come.
func (c *Core) SetQuota(q Quota) { c.fleet.quota = q }

// acquireQuota goes on with a request once its account has quota for one more connection; where it has none the request is rejected.
func (c *Core) acquireQuota(r *Request, account string, proceed func()) {
	if c.fleet.quota == nil || account == "" || !c.fleet.quota.IsLimited(account) {
		proceed()
		return
	}
	c.fleet.quota.Acquire(account, retrySpread(r.attributes.ID), func(over string, advice time.Duration) {
		switch {
		case over != "" && r.answered():
		case over != "":
			if tracing() {
				slog.Debug("quota_exceeded", "request", r.attributes.ID, "account", account, "of", over)
			}
			r.reject(c.boundedRetryAfter(advice), quotaExceeded)
		case r.answered():
			c.fleet.quota.Release(account) // its client has left meanwhile
		default:
			r.quotaAccount = account
			recoverRequest(r, proceed)
		}
	})
}

// retrySpread spreads the Retry-After of rejected requests by their IDs, from 0 up to 1.
func retrySpread(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()%1000) / 1000
}

// releaseQuota gives back what the request counts against.
func (r *Request) releaseQuota() {
	if r.quotaAccount != "" {
		r.core.fleet.quota.Release(r.quotaAccount)
		r.quotaAccount = ""
	}
}

// countExistingConnections counts open connections against the limits of their accounts: those from before this process's first rules
// version, or from before their account had limits.
func (c *Core) countExistingConnections() {
	if c.fleet.quota == nil {
		return
	}
	for _, r := range c.requests {
		if !r.isOpen() || r.quotaAccount != "" {
			continue
		}
		if account := c.fleet.enforcer.Account(c.tenantName(r)); account != "" && c.fleet.quota.IsLimited(account) {
			r.quotaAccount = account
			c.fleet.quota.CountExisting(account)
		}
	}
}

// tenantName is a request's tenant as its client or, after a hot restart, the settings name it.
func (c *Core) tenantName(r *Request) string {
	if r.tenant == "" && r.attributes.Tenant >= 0 {
		return c.opt.Settings.Tenants[r.attributes.Tenant].Name
	}
	return r.tenant
}
