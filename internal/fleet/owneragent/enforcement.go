package owneragent

import (
	"sync/atomic"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/quota"
	"croftlock/internal/fleet/rules"
)

// Enforcement is what a process enforces of the rules and limits on which the fleet agrees. It exists
// from the start of the process to its end. An Agent renews the leases and grants; during a hot
// restart, while the other process of this proxy is the fleet's member, there is no Agent, and the
// leases and grants lapse at their end.
//
// Its methods may be called from any goroutine. Those of quotas require that rules are on.
type Enforcement struct {
	loop      *netio.Loop
	startedAt time.Time
	rules     *rules.Enforcer
	quota     *quota.Client

	sendQuery atomic.Pointer[quotaQuerySender] // nil while no Agent runs
}

// quotaQuerySender sends a query to a shard's issuer.
type quotaQuerySender func(shard int, tag uint64, body []byte)

// NewEnforcement returns the Enforcement of a process in a fleet that is meant to have fleetSize
// members. Before the first version of the rules, requests are rejected if o has them rejected without
// a lease. It returns nil if rules are off.
func NewEnforcement(l *netio.Loop, o Options, fleetSize int) *Enforcement {
	if !o.Enabled || !o.Rules.Enabled {
		return nil
	}
	e := &Enforcement{loop: l, startedAt: time.Now()}
	e.rules = &rules.Enforcer{Now: e.now, KeepLastVersion: o.Rules.OnLeaseLapse == "keep", LapsedRetryAfter: o.Rules.LeaseDuration}
	e.quota = &quota.Client{Now: e.now, GrantLifetime: int64(grantLifetime), FleetSize: max(1, fleetSize), Limits: e.rules.Limits, LimitedAccounts: e.rules.LimitedAccounts}
	e.quota.SendQuery = func(shard int, tag uint64, body []byte) {
		if send := e.sendQuery.Load(); send != nil {
			(*send)(shard, tag, body)
		}
	}
	return e
}

// now returns the nanoseconds since the start of the process, plus 1 since 0 means "never" for leases
// and grants. It is the monotonic clock of both.
func (e *Enforcement) now() int64 { return e.At(time.Now()) }

// At returns the time t on the clock of leases and grants. It is negative before the start of the
// process.
func (e *Enforcement) At(t time.Time) int64 { return int64(t.Sub(e.startedAt)) + 1 }

// Rules returns the Enforcer that evaluates requests, or nil if rules are off.
func (e *Enforcement) Rules() *rules.Enforcer {
	if e == nil {
		return nil
	}
	return e.rules
}

// YieldQuota returns the grants of quotas for the next process of this proxy. It returns nil if rules are
// off.
func (e *Enforcement) YieldQuota() *quota.Grants {
	if e == nil {
		return nil
	}
	return e.quota.Yield()
}

// RestoreQuota adds the grants that the other process of this proxy has yielded at the request of this
// one, which was made at requestedAt. grants is nil if that process could not be asked. RestoreQuota does
// nothing if rules are off.
func (e *Enforcement) RestoreQuota(grants *quota.Grants, requestedAt time.Time) {
	switch {
	case e == nil:
	case grants == nil:
		e.quota.DelayOwnShare()
	default:
		e.quota.Restore(grants, e.At(requestedAt))
	}
}

// IsLimited reports whether an account or one of its ancestors has fleet-wide limits.
func (e *Enforcement) IsLimited(account string) bool { return e.rules.IsLimited(account) }

// Acquire requests one more connection of an account, for which IsLimited has reported true. It
// calls done on the loop with the name of the limit that is exceeded, or "" if the connection is
// granted, and with the Retry-After of a rejected request, which jitter (0 to 1) varies.
func (e *Enforcement) Acquire(account string, jitter float64, done func(exceeded string, retryAfter time.Duration)) {
	// RetryWaiting rejects the requests that no issuer has answered by then.
	e.loop.After(acquireTimeout, e.quota.RetryWaiting)
	e.quota.Acquire(account, jitter, func(exceeded string, retryAfter time.Duration) {
		e.loop.Post(func() { done(exceeded, retryAfter) })
	})
}

// CountExisting counts a connection that is already open, whatever the limits.
func (e *Enforcement) CountExisting(account string) { e.quota.CountExisting(account) }

// Release ends the count of a connection that Acquire granted or CountExisting counted.
func (e *Enforcement) Release(account string) { e.quota.Release(account) }
