package rules

import (
	"fmt"
	"sync/atomic"
	"time"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/quota"
)

// leasedVersion is the version that a process acts by, and the end of the lease that permits it to.
type leasedVersion struct {
	*compiledVersion
	leaseEnd Time // on the clock Enforcer.Now
}

// Enforcer applies the version that this process acts by to requests. The version and the end of
// its lease are one value behind an atomic pointer, so that no request is ever evaluated by one
// version under the lease of another. All methods may be called from any goroutine.
type Enforcer struct {
	Now func() Time // the clock of the leases
	// KeepLastVersion makes the last version apply after its lease has ended, although other
	// members may act by a newer one. Otherwise requests are rejected.
	KeepLastVersion  bool
	LapsedRetryAfter time.Duration // Retry-After of requests that are rejected because there is no valid lease
	// Clock returns the time of day, for routes that apply at certain times. If nil, time.Now is
	// used.
	Clock func() time.Time

	active atomic.Pointer[leasedVersion] // nil before the first version
}

// Verdict is the result of evaluating the rules for a request or a host.
type Verdict struct {
	Rejected   bool
	RetryAfter time.Duration // 0 means no Retry-After
	Version    uint64        // number of the version that was applied; 0 if none
	Lapsed     bool          // whether the lease had ended, or none was granted yet
	Account    string        // owner of the request's tenant; empty for the operators
	Route      string        // name of the route that decided, qualified by its account; empty if none
	Pools      []string      // in the order of preference; nil if the rules define no pools
}

// Evaluate reports whether a request may be placed, and in which pools. It sets request.Minute
// itself. Callers evaluate a request again before each attempt, since the lease may have ended.
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

// minuteOfDay returns the minutes since midnight UTC.
func (e *Enforcer) minuteOfDay() int {
	now := time.Now
	if e.Clock != nil {
		now = e.Clock
	}
	t := now().UTC()
	return 60*t.Hour() + t.Minute()
}

// Limits returns an account's limits by the active version, or by the last one if its lease has
// ended. Without limits it returns a zero Limit.
func (e *Enforcer) Limits(account string) quota.Limit {
	if active := e.active.Load(); active != nil {
		return active.limits[account]
	}
	return quota.Limit{}
}

// LimitedAccounts returns the sorted names of the accounts that have limits.
func (e *Enforcer) LimitedAccounts() []string {
	if active := e.active.Load(); active != nil {
		return active.limitedAccounts
	}
	return nil
}

// IsLimited reports whether an account or one of its ancestors has limits.
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

// Account returns the name of a tenant's account by the active version, or by the last one if its
// lease has ended. It returns "" if the tenant belongs to the operators.
func (e *Enforcer) Account(tenant string) string {
	if active := e.active.Load(); active != nil && active.namespaces != nil {
		return active.namespaces.AccountOfTenant(tenant)
	}
	return ""
}

// Pool returns the name of the pool that a host is in, or "" while the host is being reassigned. If
// there are no pools, all hosts are in namespace.MainPool.
func (e *Enforcer) Pool(host, kind, zone string) string {
	if active := e.active.Load(); active != nil && active.namespaces != nil {
		return active.namespaces.Pool(host, kind, zone)
	}
	return namespace.MainPool
}

// Explain describes for operators how the active version handles a request, and why. Its texts use
// the operators' terms, in which a right is a lease.
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

// Usable reports whether a host, identified by its ID, may get new requests: the version does not
// exclude it, and a lease is valid or KeepLastVersion is set.
func (e *Enforcer) Usable(host string) bool {
	active, v := e.current()
	if active == nil || v.Rejected {
		return !v.Rejected
	}
	_, out := active.excludedHosts[host]
	return !out
}

// current returns the version to apply, or nil before the first version, and a verdict without the
// results of the rules. The verdict rejects if there is no valid lease, unless KeepLastVersion is
// set.
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

// ActiveVersion returns the number of the version that this process acts by, and the remaining time
// of its lease in nanoseconds. Before the first version it returns zeros.
func (e *Enforcer) ActiveVersion() (number uint64, remaining Time) {
	if active := e.active.Load(); active != nil {
		return active.version.Number, active.remaining(e.Now())
	}
	return 0, 0
}
