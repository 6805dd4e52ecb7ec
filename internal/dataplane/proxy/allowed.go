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
func (c *Core) SetQuota(a Quota) { c.allowance = a }

// allowed goes on with a request once its account has room for one more connection, over all proxies; where it has none the request is refused, with
// advice that is spread by its id.
func (c *Core) allowed(r *Request, account string, on func()) {
	if c.allowance == nil || account == "" || !c.allowance.IsLimited(account) {
		on()
		return
	}
	h := fnv.New32a()
	h.Write([]byte(r.ask.ID))
	c.allowance.Acquire(account, float64(h.Sum32()%1000)/1000, func(over string, advice time.Duration) {
		switch {
		case over != "" && r.answered:
		case over != "":
			if tracing() {
				slog.Debug("quota_exceeded", "request", r.ask.ID, "account", account, "of", over)
			}
			r.refuse(c.advice(advice))
		case r.answered:
			c.allowance.Release(account) // its client has left meanwhile
		default:
			r.slot = account
			c.guard(r, on)
		}
	})
}

// free gives back what the request counts against.
func (r *Request) free() {
	if r.slot != "" {
		r.core.allowance.Release(r.slot)
		r.slot = ""
	}
}

// holdAll counts the connections that stand already against the limits of their accounts: those from before this process's first version, or from
// before their account had limits.
func (c *Core) holdAll() {
	if c.allowance == nil {
		return
	}
	for _, r := range c.requests {
		if a := r.out; a == nil || !a.up || r.slot != "" {
			continue
		}
		if account := c.enforcer.Account(c.tenantOf(r)); account != "" && c.allowance.IsLimited(account) {
			r.slot = account
			c.allowance.CountExisting(account)
		}
	}
}

// tenantOf is a request's tenant by name.
func (c *Core) tenantOf(r *Request) string {
	if r.tenant == "" && r.ask.Tenant >= 0 {
		return c.opt.Settings.Tenants[r.ask.Tenant].Name
	}
	return r.tenant
}
