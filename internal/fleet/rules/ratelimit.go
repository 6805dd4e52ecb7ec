package rules

import "croftlock/internal/fleet/namespace"

const (
	// defaultChangesPerMinute applies if neither an account nor an account above it has a rate.
	// Rejected changes count too, so that an account that sends invalid changes continuously does
	// not take the publisher's time from others.
	defaultChangesPerMinute = 600
	burstDivisor            = 6              // a full bucket holds a sixth of the changes per minute, those of ten seconds
	maxBuckets              = 4 * MaxEntries // bounds the memory if clients invent keys
	nanosPerMinute          = 6e10
)

// tokenBucket holds one token for each change that may be proposed immediately. It holds at most the
// tokens that are added in ten seconds, or one if these are fewer.
type tokenBucket struct {
	tokens   float64
	filledAt Time // when tokens were last added
}

// consume refills the bucket for the time that has passed. It reports whether a token was
// available, and removes that token.
func (b *tokenBucket) consume(now Time, perMinute float64) bool {
	b.tokens = min(max(1, perMinute/burstDivisor), b.tokens+float64(now-b.filledAt)/nanosPerMinute*perMinute)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// rateLimiter limits the rate of changes. Each pair of a proposer's public key and an account has
// its own bucket, so that no proposer uses the tokens of another.
type rateLimiter struct{ buckets map[string]*tokenBucket }

// allow reports whether a change may be proposed now, and removes a token from its bucket if so.
func (l *rateLimiter) allow(now Time, c *Change, active *Version) bool {
	perMinute := changesPerMinute(active, c.Account)
	key := string(c.Key) + c.Account
	b := l.buckets[key]
	if b == nil {
		if len(l.buckets) >= maxBuckets {
			clear(l.buckets) // new buckets are full
		}
		b = &tokenBucket{tokens: max(1, perMinute/burstDivisor), filledAt: now}
		l.buckets[key] = b
	}
	return b.consume(now, perMinute)
}

// changesPerMinute returns the lowest rate of an account and its ancestors. Accounts without a rate
// do not count; if none has one, it returns the default.
func changesPerMinute(v *Version, account string) float64 {
	lowest := float64(defaultChangesPerMinute)
	for _, a := range v.directoryOrEmpty().Accounts {
		if a.Changes > 0 && namespace.IsWithin(account, a.Name) {
			lowest = min(lowest, float64(a.Changes))
		}
	}
	return lowest
}
