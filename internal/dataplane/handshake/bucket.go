package handshake

import (
	"math"
	"time"
)

// bucket saves what is not used, up to most.
type bucket struct {
	have, most, perSecond float64
	filledAt              int64
}

func newBucket(perSecond float64, burst time.Duration, least float64, now int64) bucket {
	most := math.Max(perSecond*burst.Seconds(), least)
	return bucket{have: most, most: most, perSecond: perSecond, filledAt: now}
}

// refill brings a bucket up to now. A clock that steps back brings nothing and takes nothing.
func (b *bucket) refill(now int64) {
	if now > b.filledAt {
		b.have = math.Min(b.most, b.have+float64(now-b.filledAt)/1e9*b.perSecond)
	}
	b.filledAt = now
}

// until is how long, in nanoseconds, the bucket takes to hold n; 0: it does.
func (b *bucket) until(n float64) float64 {
	if b.perSecond <= 0 || b.have >= n {
		return 0
	}
	return (n - b.have) / b.perSecond * 1e9
}
