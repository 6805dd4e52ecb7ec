package handshake

import (
	"math"
	"time"
)

// tokenBucket is a token bucket that is filled at a constant rate up to its capacity. A perSecond
// of zero means no limit.
type tokenBucket struct {
	tokens, capacity, perSecond float64
	filledAt                    int64 // time of the last refill, in nanoseconds
}

// newBucket returns a full bucket. Its capacity is the number of tokens that the rate yields in
// burst, but at least minCapacity.
func newBucket(perSecond float64, burst time.Duration, minCapacity float64, now int64) tokenBucket {
	size := math.Max(perSecond*burst.Seconds(), minCapacity)
	return tokenBucket{tokens: size, capacity: size, perSecond: perSecond, filledAt: now}
}

// refill adds the tokens for the time up to now. A clock that steps back neither adds nor removes
// tokens.
func (b *tokenBucket) refill(now int64) {
	if now > b.filledAt {
		b.tokens = math.Min(b.capacity, b.tokens+float64(now-b.filledAt)/1e9*b.perSecond)
	}
	b.filledAt = now
}

// timeUntil returns how long, in nanoseconds, the bucket takes to hold the needed tokens, or 0 if
// it holds them or has no limit.
func (b *tokenBucket) timeUntil(needed float64) float64 {
	if b.perSecond <= 0 || b.tokens >= needed {
		return 0
	}
	return (needed - b.tokens) / b.perSecond * 1e9
}
