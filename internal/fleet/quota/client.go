package quota

import (
	"sync"
	"time"
)

// The limit that a request exceeds, as commands and the log name it.
const (
	RateLimit       = "rate"
	ConnectionLimit = "standing"
)

const (
	maxGrantWait        = 100 * Time(time.Millisecond) // that a request waits for a grant
	urgentQueryInterval = 20 * Time(time.Millisecond)  // between two queries to a shard outside Step
	maxWaitingRequests  = 1024                         // requests that wait at a time
)

// Client is a proxy's own part: what it may use now. Several goroutines may use it.
type Client struct {
	Now           func() Time
	GrantLifetime Time
	FleetSize     int // proxies: while no issuer replies, each uses an equal part of a limit
	Limits        Limits
	// SendQuery sends a query to a shard's issuer; its answer comes to ReplyReceived under the tag.
	SendQuery func(shard int, tag uint64, body []byte)
	// LimitedAccounts are all that have limits, sorted.
	LimitedAccounts func() []string

	mutex   sync.Mutex
	usage   map[string]*accountUsage
	waiting []waitingRequest
	lastTag uint64
	sentAt  map[uint64]Time // queries without an answer, by tag
	shards  [Shards]shardState
}

// shardState is what a client knows of a shard's issuer.
type shardState struct {
	nextUrgentQueryAt Time // an urgent query before then is dropped
	grantsLapseAt     Time // when the last of its grants lapses
}

// waitingRequest is a request that waits for a grant.
type waitingRequest struct {
	account  string
	jitter   float64 // 0 to 1, spreads the Retry-After of several requests
	deadline Time    // when it is rejected
	done     func(exceeded string, retryAfter time.Duration)
}

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

// ownShareStart is when this proxy begins to use its own share of an account: after the issuer has begun to reserve that for it, however late the last
// grant arrived.
func (c *Client) ownShareStart(account string) Time {
	return c.shards[Shard(account)].grantsLapseAt + silentAfterGrantLifetimes*c.GrantLifetime
}

func (c *Client) usesOwnShare(now Time, account string) bool { return now >= c.ownShareStart(account) }

// Acquire reserves one more connection of an account. done is called with the limit that the request is exceeded, "" for none, and the Retry-After, which
// jitter (0 to 1) varies. Where the issuer may have more to grant it is queried at once, and done is called with its reply, or after maxGrantWait.
func (c *Client) Acquire(account string, jitter float64, done func(exceeded string, retryAfter time.Duration)) {
	exceeded, retryAfter, waits := c.acquireOrWait(account, jitter, done)
	if !waits {
		done(exceeded, retryAfter)
		return
	}
	c.query(Shard(account), true)
}

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

// RetryWaiting retries the requests that wait for a grant, and rejects those that have waited for maxGrantWait. It is called with each reply and
// periodically.
func (c *Client) RetryWaiting() {
	for _, o := range c.retryWaiting() {
		o.done(o.exceeded, o.retryAfter)
	}
}

// finishedWait is a request that no longer waits.
type finishedWait struct {
	waitingRequest
	exceeded   string
	retryAfter time.Duration
}

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

// tryAcquire uses what one more connection needs, of the account and of each above it, or names the limit that is used up and uses nothing.
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

// hasPermit reports whether there is a permit for a new connection: one of the issuer's while it replies, else one of the own share. The share's
// bucket stays empty until then, so that no permits are saved up beside the issuer's.
func (c *Client) hasPermit(now Time, account string, u *accountUsage, rate float64) bool {
	if !c.usesOwnShare(now, account) {
		u.share.empty(now)
		return u.validPermits(now) > 0
	}
	u.share.fill(now, c.ownShareStart(account), rate/float64(max(1, c.FleetSize)))
	return u.share.tokens >= 1
}

// usePermit uses the permit that hasPermit has found.
func (c *Client) usePermit(now Time, account string, u *accountUsage) {
	if c.usesOwnShare(now, account) {
		u.share.tokens--
		return
	}
	u.permits[0].count-- // hasPermit has dropped empty and lapsed batches
}

// maxOpen is how many connections of an account may be open here.
func (c *Client) maxOpen(now Time, account string, u *accountUsage, limit int) int {
	if !c.usesOwnShare(now, account) && now < u.maxOpenUntil {
		return u.maxOpen
	}
	return limit / max(1, c.FleetSize)
}

// CountExisting counts a connection that is open already, as one taken over in a hot restart, whatever the limits.
func (c *Client) CountExisting(account string) { c.adjustOpen(account, 1) }

// Release counts the end of a connection.
func (c *Client) Release(account string) { c.adjustOpen(account, -1) }

func (c *Client) adjustOpen(account string, n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range withAncestors(account) {
		u := c.usageOf(a)
		u.open = max(0, u.open+n)
	}
}
