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
	if a.enforcement == nil {
		return
	}
	client := a.enforcement.quota
	source := a.queries.newSource(client.ReplyReceived)
	send := quotaQuerySender(func(shard int, tag uint64, body []byte) {
		a.worker.post(func() { a.queries.send(source, issuerJob(shard), tag, body) })
	})
	a.enforcement.sendQuery.Store(&send)
	a.quota.client = client
	for shard := range quota.Shards {
		a.jobs.add(issuerJob(shard), &quota.Issuer{GrantLifetime: int64(grantLifetime), FleetSize: fleetSize, Limits: a.enforcement.rules.Limits})
	}
}

// issuerJob returns the job name of a shard's issuer.
func issuerJob(shard int) string { return fmt.Sprintf("limits%d", shard) }
