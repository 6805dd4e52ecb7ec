package proxy

import (
	"hash/fnv"
	"log/slog"
	"time"
)

// Quota keeps accounts to limits that hold over all proxies together. then is called on the loop.
type Quota interface {
	IsLimited(account string) bool
	Acquire(account string, spread float64, then func(over string, advice time.Duration))
	CountExisting(account string)
	Release(account string)
}

// SetQuota gives the core the limits that hold over the fleet. It is called before clients come.
func (c *Core) SetQuota(a Quota) { c.quota = a }

// acquireQuota goes on with a request once its account has room for one more connection, over all proxies; where it has none the request is refused, with
// advice that is spread by its id.
func (c *Core) acquireQuota(r *Request, account string, on func()) {
	if c.quota == nil || account == "" || !c.quota.IsLimited(account) {
		on()
		return
	}
	h := fnv.New32a()
	h.Write([]byte(r.attributes.ID))
	c.quota.Acquire(account, float64(h.Sum32()%1000)/1000, func(over string, advice time.Duration) {
		switch {
		case over != "" && r.answered:
		case over != "":
			if tracing() {
				slog.Debug("quota_exceeded", "request", r.attributes.ID, "account", account, "of", over)
			}
			r.reject(c.boundedRetryAfter(advice))
		case r.answered:
			c.quota.Release(account) // its client has left meanwhile
		default:
			r.quotaAccount = account
			guard(r, on)
		}
	})
}

// releaseQuota gives back what the request counts against.
func (r *Request) releaseQuota() {
	if r.quotaAccount != "" {
		r.core.quota.Release(r.quotaAccount)
		r.quotaAccount = ""
	}
}

// countExistingConnections counts the connections that stand already against the limits of their accounts: those from before this process's first version, or from
// before their account had limits.
func (c *Core) countExistingConnections() {
	if c.quota == nil {
		return
	}
	for _, r := range c.requests {
		if a := r.attempt; a == nil || !a.established || r.quotaAccount != "" {
			continue
		}
		if account := c.enforcer.Account(c.tenantName(r)); account != "" && c.quota.IsLimited(account) {
			r.quotaAccount = account
			c.quota.CountExisting(account)
		}
	}
}

// tenantName is a request's tenant by name.
func (c *Core) tenantName(r *Request) string {
	if r.tenant == "" && r.attributes.Tenant >= 0 {
		return c.opt.Settings.Tenants[r.attributes.Tenant].Name
	}
	return r.tenant
}
