package handshake

import (
	"math"
	"time"
)

// tokenBucket is filled evenly and saves what is not used, up to its capacity. perSecond 0: it limits nothing.
type tokenBucket struct {
	tokens, capacity, perSecond float64
	filledAt                    int64 // nanoseconds
}

func newBucket(perSecond float64, burst time.Duration, minCapacity float64, now int64) tokenBucket {
	size := math.Max(perSecond*burst.Seconds(), minCapacity)
	return tokenBucket{tokens: size, capacity: size, perSecond: perSecond, filledAt: now}
}

// refill fills a bucket up to now. A clock that steps back fills and takes nothing.
func (b *tokenBucket) refill(now int64) {
	if now > b.filledAt {
		b.tokens = math.Min(b.capacity, b.tokens+float64(now-b.filledAt)/1e9*b.perSecond)
	}
	b.filledAt = now
}

// until is how long, in nanoseconds, the bucket takes to hold n; 0: it does.
func (b *tokenBucket) timeUntil(needed float64) float64 {
	if b.perSecond <= 0 || b.tokens >= needed {
		return 0
	}
	return (needed - b.tokens) / b.perSecond * 1e9
}
