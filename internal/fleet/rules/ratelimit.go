package rules

import "croftlock/internal/fleet/namespace"

const (
	// defaultChangesPerMinute holds for accounts that name no other rate. Rejected changes count too: an account that sends invalid ones without
	// end must not take the publisher's time from others.
	defaultChangesPerMinute = 600
	burstDivisor            = 6              // a bucket holds the changes of ten seconds
	maxBuckets              = 4 * MaxEntries // bounds memory where keys are made up
	nanosPerMinute          = 6e10
)

// tokenBucket holds a token for each change that may be proposed now.
type tokenBucket struct {
	tokens   float64
	filledAt Time
}

// consume refills the bucket for the time that has passed, and takes a token if there is one.
func (b *tokenBucket) consume(now Time, perMinute float64) bool {
	b.tokens = min(max(1, perMinute/burstDivisor), b.tokens+float64(now-b.filledAt)/nanosPerMinute*perMinute)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// rateLimiter has a bucket for each pair of key and account, so that nobody spends another's tokens.
type rateLimiter struct{ buckets map[string]*tokenBucket }

func (l *rateLimiter) allow(now Time, c *Change, active *Version) bool {
	perMinute := changesPerMinute(active, c.Account)
	key := string(c.Key) + c.Account
	b := l.buckets[key]
	if b == nil {
		if len(l.buckets) >= maxBuckets {
			clear(l.buckets) // all start with full buckets again
		}
		b = &tokenBucket{tokens: max(1, perMinute/burstDivisor), filledAt: now}
		l.buckets[key] = b
	}
	return b.consume(now, perMinute)
}

// changesPerMinute is the lowest rate of an account and those above it.
func changesPerMinute(v *Version, part string) float64 {
	lowest := float64(defaultChangesPerMinute)
	for _, a := range v.directoryOrEmpty().Accounts {
		if a.Changes > 0 && namespace.IsWithin(part, a.Name) {
			lowest = min(lowest, float64(a.Changes))
		}
	}
	return lowest
}
