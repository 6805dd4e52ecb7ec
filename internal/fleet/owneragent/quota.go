package owneragent

import (
	"fmt"
	"time"

	"croftlock/internal/fleet/quota"
)

const (
	// grantLifetime is how long what an issuer grants may be used.
	grantLifetime = time.Second
	// acquireTimeout is a little longer than a request waits for an issuer's reply.
	acquireTimeout = 110 * time.Millisecond
)

// quotaState is this process's part in the limits of accounts fleet-wide. They come with the rules: without rules it is off.
type quotaState struct {
	client    *quota.Client // nil: off
	steppedAt int64
}

func (q *quotaState) tick(now int64) {
	if q.client != nil && now-q.steppedAt >= int64(grantLifetime)/4 {
		q.steppedAt = now
		q.client.Step()
	}
}

// addQuota makes the client and the issuers' jobs, before the worker starts.
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

func issuerJob(shard int) string { return fmt.Sprintf("limits%d", shard) }

// IsLimited reports whether an account has limits over the fleet.
func (a *Agent) IsLimited(account string) bool { return a.rules.enforcer.IsLimited(account) }

// Acquire requests one more connection of an account. then is called on the loop with the limit that is exceeded, if any, and a Retry-After.
func (a *Agent) Acquire(account string, jitter float64, done func(exceeded string, retryAfter time.Duration)) {
	a.loop.After(acquireTimeout, a.quota.client.RetryWaiting) // ends the wait of those that no issuer has answered
	a.quota.client.Acquire(account, jitter, func(exceeded string, retryAfter time.Duration) {
		a.loop.Post(func() { done(exceeded, retryAfter) })
	})
}

// CountExisting counts a connection that is open already.
func (a *Agent) CountExisting(account string) { a.quota.client.CountExisting(account) }

// Release counts the end of a connection.
func (a *Agent) Release(account string) { a.quota.client.Release(account) }
