package owneragent

import (
	"fmt"
	"time"

	"croftlock/internal/fleet/quota"
)

const (
	// grantLifetime is how long a grant of an issuer may be used.
	grantLifetime = time.Second
	// acquireTimeout is a little longer than the time that a request waits for an issuer's reply
	// (100 ms).
	acquireTimeout = 110 * time.Millisecond
)

// quotaState enforces the fleet-wide limits of accounts in this process. The limits are part of the
// rules, so that it is off without rules.
type quotaState struct {
	client    *quota.Client // nil if it is off
	steppedAt int64         // when the client last stepped, in nanoseconds of Agent.now
}

// tick steps the client four times in each grantLifetime, so that its grants do not lapse.
func (q *quotaState) tick(now int64) {
	if q.client != nil && now-q.steppedAt >= int64(grantLifetime)/4 {
		q.steppedAt = now
		q.client.Step()
	}
}

// addQuota adds the client and the issuers' jobs. It is called before the worker starts.
func (a *Agent) addQuota(fleetSize int) {
	enforcer := a.rules.enforcer
	if enforcer == nil {
		return
	}
	client := &quota.Client{Now: a.now, GrantLifetime: int64(grantLifetime), FleetSize: fleetSize, Limits: enforcer.Limits, LimitedAccounts: enforcer.LimitedAccounts}
	source := a.queries.newSource(client.ReplyReceived)
	client.SendQuery = func(shard int, tag uint64, body []byte) {
		a.worker.post(func() { a.queries.send(source, issuerJob(shard), tag, body) })
	}
	a.quota.client = client
	for shard := range quota.Shards {
		a.jobs.add(issuerJob(shard), &quota.Issuer{GrantLifetime: int64(grantLifetime), FleetSize: fleetSize, Limits: enforcer.Limits})
	}
}

// issuerJob returns the job name of a shard's issuer.
func issuerJob(shard int) string { return fmt.Sprintf("limits%d", shard) }

// IsLimited reports whether an account or one of its ancestors has fleet-wide limits. Rules must be
// on.
func (a *Agent) IsLimited(account string) bool { return a.rules.enforcer.IsLimited(account) }

// Acquire requests one more connection of an account, for which IsLimited has reported true. It
// calls done on the loop with the name of the limit that is exceeded, or "" if the connection is
// granted, and with the Retry-After of a rejected request, which jitter (0 to 1) varies.
func (a *Agent) Acquire(account string, jitter float64, done func(exceeded string, retryAfter time.Duration)) {
	// RetryWaiting rejects the requests that no issuer has answered by then.
	a.loop.After(acquireTimeout, a.quota.client.RetryWaiting)
	a.quota.client.Acquire(account, jitter, func(exceeded string, retryAfter time.Duration) {
		a.loop.Post(func() { done(exceeded, retryAfter) })
	})
}

// CountExisting counts a connection that is already open, whatever the limits.
func (a *Agent) CountExisting(account string) { a.quota.client.CountExisting(account) }

// Release ends the count of a connection that Acquire granted or CountExisting counted.
func (a *Agent) Release(account string) { a.quota.client.Release(account) }
