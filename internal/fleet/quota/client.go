package quota

import (
	"sync"
	"time"
)

// The limit that a request is over, as commands and the log name it.
const (
	RateLimit       = "rate"
	ConnectionLimit = "standing"
)

const (
	maxWait             = 100 * Time(time.Millisecond) // that a request waits for a grant
	urgentQueryInterval = 20 * Time(time.Millisecond)  // between two queries to a shard outside Step
	maxWaiting          = 1024                         // requests that wait at a time
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
	urgentQueryFrom Time // an urgent query before then is dropped
	grantsUntil     Time // when the last of its grants lapses
}

// waitingRequest is a request that waits for a grant.
type waitingRequest struct {
	account string
	spread  float64 // 0 to 1, spreads the Retry-After of several requests
	until   Time    // when it is rejected
	done    func(over string, advice time.Duration)
}

func (c *Client) account(name string) *accountUsage {
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

// shareFrom is when this proxy begins to use its own share of an account: after the issuer has begun to reserve that for it, however late the last
// grant arrived.
func (c *Client) shareFrom(account string) Time {
	return c.shards[Shard(account)].grantsUntil + silentAfterLifetimes*c.GrantLifetime
}

func (c *Client) onOwnShare(now Time, account string) bool { return now >= c.shareFrom(account) }

// Acquire reserves one more connection of an account. done is called with the limit that the request is over, "" for none, and the Retry-After, which
// spread (0 to 1) varies. Where the issuer may have more to grant it is queried at once, and done is called with its reply, or after maxWait.
func (c *Client) Acquire(account string, spread float64, done func(over string, advice time.Duration)) {
	over, advice, waits := c.acquireOrWait(account, spread, done)
	if !waits {
		done(over, advice)
		return
	}
	c.query(Shard(account), true)
}

func (c *Client) acquireOrWait(account string, spread float64, done func(string, time.Duration)) (over string, advice time.Duration, waits bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	for _, a := range withAncestors(account) {
		c.account(a).addDemand(now, c.GrantLifetime)
	}
	over, advice = c.tryAcquire(now, account, spread)
	waits = over != "" && !c.onOwnShare(now, account) && len(c.waiting) < maxWaiting
	if waits {
		c.waiting = append(c.waiting, waitingRequest{account, spread, now + maxWait, done})
	}
	return over, advice, waits
}

// RetryWaiting retries the requests that wait for a grant, and rejects those that have waited for maxWait. It is called with each reply and
// periodically.
func (c *Client) RetryWaiting() {
	for _, o := range c.retryWaiting() {
		o.done(o.over, o.advice)
	}
}

// outcome is a request that no longer waits.
type outcome struct {
	waitingRequest
	over   string
	advice time.Duration
}

func (c *Client) retryWaiting() (outcomes []outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	still := c.waiting[:0]
	for _, w := range c.waiting {
		over, advice := c.tryAcquire(now, w.account, w.spread)
		if over != "" && now < w.until && !c.onOwnShare(now, w.account) {
			still = append(still, w)
			continue
		}
		outcomes = append(outcomes, outcome{w, over, advice})
	}
	c.waiting = still
	return outcomes
}

// tryAcquire uses what one more connection needs, of the account and of each above it, or names the limit that is used up and uses nothing.
func (c *Client) tryAcquire(now Time, account string, spread float64) (over string, advice time.Duration) {
	accounts := withAncestors(account)
	for _, a := range accounts {
		u, limit := c.account(a), c.Limits(a)
		if limit.Rate > 0 && !c.hasPermit(now, a, u, limit.Rate) {
			return RateLimit, time.Duration(float64(c.GrantLifetime) * (0.5 + spread))
		}
		if limit.Connections > 0 && u.open >= c.maxOpen(now, a, u, limit.Connections) {
			return ConnectionLimit, time.Duration(float64(c.GrantLifetime) * (1 + 2*spread))
		}
	}
	for _, a := range accounts {
		u := c.account(a)
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
	if !c.onOwnShare(now, account) {
		u.share.empty(now)
		return u.validPermits(now) > 0
	}
	u.share.fill(now, c.shareFrom(account), rate/float64(max(1, c.FleetSize)))
	return u.share.tokens >= 1
}

// usePermit uses the permit that hasPermit has found.
func (c *Client) usePermit(now Time, account string, u *accountUsage) {
	if c.onOwnShare(now, account) {
		u.share.tokens--
		return
	}
	u.permits[0].count-- // hasPermit has dropped empty and lapsed batches
}

// maxOpen is how many connections of an account may be open here.
func (c *Client) maxOpen(now Time, account string, u *accountUsage, limit int) int {
	if !c.onOwnShare(now, account) && now < u.maxOpenUntil {
		return u.maxOpen
	}
	return limit / max(1, c.FleetSize)
}

// CountExisting counts a connection that is open already, as one taken over in a hot restart, whatever the limits.
func (c *Client) CountExisting(account string) { c.addOpen(account, 1) }

// Release counts the end of a connection.
func (c *Client) Release(account string) { c.addOpen(account, -1) }

func (c *Client) addOpen(account string, n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range withAncestors(account) {
		u := c.account(a)
		u.open = max(0, u.open+n)
	}
}
