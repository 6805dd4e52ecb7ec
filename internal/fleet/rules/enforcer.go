package rules

import (
	"fmt"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/quota"
)

// leasedVersion is the version that a process acts by, and when its lease ends.
type leasedVersion struct {
	*compiledVersion
	leaseEnd Time
}

// Enforcer judges requests by the version that this process acts by: one value with its lease's end, swapped and read as one atomic pointer, so
// that a request is never judged by one version under another's lease.
type Enforcer struct {
	Now              func() Time
	KeepLastVersion  bool          // after the lease has ended requests are judged by the last version, which others may have replaced; else they are rejected
	LapsedRetryAfter time.Duration // Retry-After of requests that are rejected since the lease has ended
	// Clock is the time of day, for routes with a window; nil: time.Now.
	Clock func() time.Time

	active atomic.Pointer[leasedVersion] // nil: no version yet
}

// Verdict is the answer to one request, or about one host.
type Verdict struct {
	Rejected   bool
	RetryAfter time.Duration // Retry-After; 0: none
	Version    uint64        // by which it was judged; 0: by none
	Lapsed     bool          // the lease had ended
	Account    string        // whose the request is; "": the operators'
	Route      string        // the route that decided, with its scope; "": none
	Pools      []string      // in the order of preference; nil: there are no pools
}

// Evaluate says whether a request may be placed, and in which pools. Callers judge again before each attempt: the lease may have ended since.
func (e *Enforcer) Evaluate(request namespace.Request) (verdict Verdict) {
	active, verdict := e.current()
	if active == nil || verdict.Rejected {
		return verdict
	}
	if verdict.Rejected, verdict.RetryAfter = active.rejects(request.Tenant, request.Class); verdict.Rejected || active.namespaces == nil {
		return verdict
	}
	request.Minute = e.minuteOfDay()
	routed := active.namespaces.Evaluate(request)
	verdict.Rejected, verdict.RetryAfter, verdict.Account, verdict.Pools = routed.Rejected, routed.RetryAfter, routed.Account, routed.Pools
	if routed.Route != "" {
		verdict.Route = namespace.QualifiedName(routed.RouteAccount, routed.Route)
	}
	return verdict
}

// minuteOfDay is in UTC.
func (e *Enforcer) minuteOfDay() int {
	now := time.Now
	if e.Clock != nil {
		now = e.Clock
	}
	t := now().UTC()
	return 60*t.Hour() + t.Minute()
}

// Limits are an account's, by the active version or the last one.
func (e *Enforcer) Limits(account string) quota.Limit {
	if active := e.active.Load(); active != nil {
		return active.limits[account]
	}
	return quota.Limit{}
}

// LimitedAccounts names the accounts that have limits, sorted.
func (e *Enforcer) LimitedAccounts() []string {
	if active := e.active.Load(); active != nil {
		return active.limitedAccounts
	}
	return nil
}

// IsLimited reports whether an account, or one above it, has limits.
func (e *Enforcer) IsLimited(account string) bool {
	active := e.active.Load()
	if active == nil || len(active.limits) == 0 {
		return false
	}
	for ; account != ""; account = namespace.Parent(account) {
		if _, has := active.limits[account]; has {
			return true
		}
	}
	return false
}

// Account is a tenant's, by the active version or the last one; "": the operators'.
func (e *Enforcer) Account(tenant string) string {
	if active := e.active.Load(); active != nil && active.namespaces != nil {
		return active.namespaces.AccountOfTenant(tenant)
	}
	return ""
}

// Pool is the pool that a host is in; "": in none, while it is reassigned. Without pools all hosts are in namespace.MainPool.
func (e *Enforcer) Pool(host, kind, zone string) string {
	if active := e.active.Load(); active != nil && active.namespaces != nil {
		return active.namespaces.Pool(host, kind, zone)
	}
	return namespace.MainPool
}

// Explain says, for operators, what becomes of a request by the active version, and why. Its texts keep the terms that operators know.
func (e *Enforcer) Explain(request namespace.Request) string {
	active, v := e.current()
	switch {
	case active == nil:
		return "this process acts by no version yet"
	case v.Lapsed && !e.KeepLastVersion:
		return fmt.Sprintf("its right to act by version %d has lapsed: refused", v.Version)
	}
	s := fmt.Sprintf("version %d", v.Version)
	if v.Lapsed {
		s += ", the last one known"
	}
	if rejected, _ := active.rejects(request.Tenant, request.Class); rejected {
		return s + "\nrefused by the operators, for its tenant and class"
	}
	if active.namespaces == nil {
		return s + "\nthere are no accounts and no pools: it may go to any host"
	}
	request.Minute = e.minuteOfDay()
	return s + "\n" + active.namespaces.Explain(request)
}

// Usable says whether a host may get new requests.
func (e *Enforcer) Usable(host string) bool {
	active, v := e.current()
	if active == nil || v.Rejected {
		return !v.Rejected
	}
	_, out := active.excludedHosts[host]
	return !out
}

// current gives the version to judge by, nil for none, and the verdict so far: rejected if the lease has ended, unless KeepLastVersion is set.
func (e *Enforcer) current() (*leasedVersion, Verdict) {
	active := e.active.Load()
	if active != nil && e.Now() < active.leaseEnd {
		return active, Verdict{Version: active.version.Number}
	}
	v := Verdict{Lapsed: true, Rejected: !e.KeepLastVersion}
	if !e.KeepLastVersion {
		v.RetryAfter = e.LapsedRetryAfter
	}
	if active != nil {
		v.Version = active.version.Number
	}
	return active, v
}

// ActiveVersion is the number of the version that this process acts by, and how much longer its lease lasts, in nanoseconds.
func (e *Enforcer) ActiveVersion() (number uint64, remaining Time) {
	if active := e.active.Load(); active != nil {
		return active.version.Number, max(0, active.leaseEnd-e.Now())
	}
	return 0, 0
}
