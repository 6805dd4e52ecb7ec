package quota

import (
	"sync"
	"time"
)

// Names of the limits that a request can exceed, as commands and the log print them.
const (
	RateLimit       = "rate"
	ConnectionLimit = "standing"
)

const (
	maxGrantWait        = 100 * Time(time.Millisecond) // maximum time that a request waits for a grant
	urgentQueryInterval = 20 * Time(time.Millisecond)  // minimum time from a query to the next urgent query, per shard
	maxWaitingRequests  = 1024                         // requests that wait for a grant at the same time; further ones are rejected at once
)

// Client decides how many connections of each account one proxy may open. The accounts are
// distributed over Shards shards. One proxy of the fleet is the issuer of a shard; it grants a
// proxy permits, for one new connection each, and a number of open connections. A Client is safe
// for concurrent use once its exported fields are set.
type Client struct {
	Now           func() Time
	GrantLifetime Time // nanoseconds from the query to the end of the grants in its reply
	FleetSize     int  // number of proxies; without replies from the issuer, each uses an equal part of a limit, its own share
	Limits        Limits
	// SendQuery sends a query to a shard's issuer. The reply is passed to ReplyReceived with the
	// same tag.
	SendQuery func(shard int, tag uint64, body []byte)
	// LimitedAccounts returns the names of all accounts that have limits, sorted.
	LimitedAccounts func() []string

	mutex   sync.Mutex
	usage   map[string]*accountUsage // by account
	waiting []waitingRequest         // oldest first
	lastTag uint64
	sentAt  map[uint64]Time // send times of unanswered queries, by tag
	shards  [Shards]shardState
}

// shardState holds what a client knows about a shard's issuer.
type shardState struct {
	nextUrgentQueryAt Time // urgent queries before this time are dropped
	grantsLapseAt     Time // when the last of the issuer's grants lapses; 0 if none was received
}

// waitingRequest is a request that waits for a grant.
type waitingRequest struct {
	account  string
	jitter   float64                                         // 0 to 1; varies Retry-After between requests
	deadline Time                                            // when the request is rejected if it has no grant
	done     func(exceeded string, retryAfter time.Duration) // as in Acquire
}

// usageOf returns the usage record of an account and creates it if there is none.
func (c *Client) usageOf(name string) *accountUsage {
	u := c.usage[name]
	if u == nil {
		if c.usage == nil {
			c.usage = map[string]*accountUsage{}
		}
		u = &accountUsage{share: shareBucket{filledAt: c.Now()}}
		c.usage[name] = u
	}
	return u
}

// ownShareStart returns when this proxy starts to use its own share of an account's limits:
// silentAfterGrantLifetimes after the last grant lapses. By then the issuer has started to reserve
// the share for this proxy, however late that grant arrived.
func (c *Client) ownShareStart(account string) Time {
	return c.shards[Shard(account)].grantsLapseAt + silentAfterGrantLifetimes*c.GrantLifetime
}

// usesOwnShare reports whether this proxy uses its own share of an account's limits, because it has
// had no valid grant of the issuer for silentAfterGrantLifetimes.
func (c *Client) usesOwnShare(now Time, account string) bool { return now >= c.ownShareStart(account) }

// Acquire reserves one more connection of an account. It calls done exactly once: with "" if the
// connection is reserved, or with the limit that the request exceeds and the Retry-After of the
// rejected request. jitter (0 to 1) varies Retry-After. If a limit is used up but the issuer may
// have more to grant, Acquire queries it at once and returns. RetryWaiting then calls done when a
// reply grants the connection or maxGrantWait has passed.
func (c *Client) Acquire(account string, jitter float64, done func(exceeded string, retryAfter time.Duration)) {
	exceeded, retryAfter, waits := c.acquireOrWait(account, jitter, done)
	if !waits {
		done(exceeded, retryAfter)
		return
	}
	c.query(Shard(account), true)
}

// acquireOrWait counts the demand and tries to reserve a connection. waits reports whether it has
// queued the request instead, because the issuer may have more to grant; the other results are then
// not final.
func (c *Client) acquireOrWait(account string, jitter float64, done func(string, time.Duration)) (exceeded string, retryAfter time.Duration, waits bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	for _, a := range withAncestors(account) {
		c.usageOf(a).addDemand(now, c.GrantLifetime)
	}
	exceeded, retryAfter = c.tryAcquire(now, account, jitter)
	waits = exceeded != "" && !c.usesOwnShare(now, account) && len(c.waiting) < maxWaitingRequests
	if waits {
		c.waiting = append(c.waiting, waitingRequest{account, jitter, now + maxGrantWait, done})
	}
	return exceeded, retryAfter, waits
}

// RetryWaiting retries the requests that wait for a grant, and rejects those that have waited for
// maxGrantWait. ReplyReceived calls it; it must also be called periodically.
func (c *Client) RetryWaiting() {
	for _, finished := range c.retryWaiting() {
		finished.done(finished.exceeded, finished.retryAfter)
	}
}

// finishedWait is a request that no longer waits, with its result.
type finishedWait struct {
	waitingRequest
	exceeded   string
	retryAfter time.Duration
}

// retryWaiting removes the requests from the queue that now have a connection or must be rejected,
// and returns them with their results.
func (c *Client) retryWaiting() (outcomes []finishedWait) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	stillWaiting := c.waiting[:0]
	for _, w := range c.waiting {
		exceeded, retryAfter := c.tryAcquire(now, w.account, w.jitter)
		if exceeded != "" && now < w.deadline && !c.usesOwnShare(now, w.account) {
			stillWaiting = append(stillWaiting, w)
			continue
		}
		outcomes = append(outcomes, finishedWait{w, exceeded, retryAfter})
	}
	c.waiting = stillWaiting
	return outcomes
}

// tryAcquire reserves one connection of the account and of each account above it. If one of their
// limits is used up, it reserves nothing, and returns the limit's name and a Retry-After: 0.5 to 1.5
// grant lifetimes for RateLimit, 1 to 3 for ConnectionLimit.
func (c *Client) tryAcquire(now Time, account string, jitter float64) (exceeded string, retryAfter time.Duration) {
	accounts := withAncestors(account)
	for _, a := range accounts {
		u, limit := c.usageOf(a), c.Limits(a)
		if limit.Rate > 0 && !c.hasPermit(now, a, u, limit.Rate) {
			return RateLimit, time.Duration(float64(c.GrantLifetime) * (0.5 + jitter))
		}
		if limit.Connections > 0 && u.open >= c.maxOpen(now, a, u, limit.Connections) {
			return ConnectionLimit, time.Duration(float64(c.GrantLifetime) * (1 + 2*jitter))
		}
	}
	for _, a := range accounts {
		u := c.usageOf(a)
		u.open++
		if c.Limits(a).Rate > 0 {
			c.usePermit(now, a, u)
		}
	}
	return "", 0
}

// hasPermit reports whether there is a permit for a new connection: a permit from the issuer while
// it replies, otherwise one from the proxy's own share. The bucket of that share stays empty
// while the issuer replies, so that no permits accumulate in addition to the issuer's.
func (c *Client) hasPermit(now Time, account string, u *accountUsage, rate float64) bool {
	if !c.usesOwnShare(now, account) {
		u.share.empty(now)
		return u.validPermits(now) > 0
	}
	u.share.fill(now, c.ownShareStart(account), rate/float64(max(1, c.FleetSize)))
	return u.share.tokens >= 1
}

// usePermit uses up the permit that hasPermit found.
func (c *Client) usePermit(now Time, account string, u *accountUsage) {
	if c.usesOwnShare(now, account) {
		u.share.tokens--
		return
	}
	u.permits[0].count-- // hasPermit has removed empty and lapsed batches
}

// maxOpen returns how many connections of an account may be open at this proxy: the issuer's grant
// while it is valid, otherwise the proxy's own share.
func (c *Client) maxOpen(now Time, account string, u *accountUsage, limit int) int {
	if !c.usesOwnShare(now, account) && now < u.maxOpenUntil {
		return u.maxOpen
	}
	return limit / max(1, c.FleetSize)
}

// CountExisting counts a connection that is already open, such as one taken over in a hot restart,
// even if that exceeds the limits.
func (c *Client) CountExisting(account string) { c.adjustOpen(account, 1) }

// Release records that a connection of an account has closed.
func (c *Client) Release(account string) { c.adjustOpen(account, -1) }

// adjustOpen adds n, which may be negative, to the open connections of the account and of each
// account above it. The numbers do not go below 0.
func (c *Client) adjustOpen(account string, n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range withAncestors(account) {
		u := c.usageOf(a)
		u.open = max(0, u.open+n)
	}
}
