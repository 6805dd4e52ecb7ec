package jobs

// Bucket is a token bucket: what an owner may hand out of a rate.
type Bucket struct {
	Tokens   float64
	FilledAt Time // last; nothing is added for the time before
}

// bucketDepthDivisor divides a rate: a bucket saves what comes in a quarter of a second, and one token at least.
const bucketDepthDivisor = 4

// Fill adds what has become due at a rate, in tokens a second. silent of fleetSize proxies go by their own share of the rate, which is kept back.
func (b *Bucket) Fill(now Time, rate float64, fleetSize, silent int) {
	if now <= b.FilledAt {
		return
	}
	part := 1 - float64(silent)/float64(max(1, fleetSize))
	b.Tokens = min(b.Tokens+rate*part*float64(now-b.FilledAt)/float64(sec), max(1, rate/bucketDepthDivisor))
	b.FilledAt = now
}

// Take takes whole tokens, as many as wanted and there.
func (b *Bucket) Take(want uint64) uint64 {
	n := uint64(max(0, min(float64(want), b.Tokens)))
	b.Tokens -= float64(n)
	return n
}

// SilentMembers is how many of fleetSize proxies go by their own share: all but those that asked within a time.
func SilentMembers(now Time, fleetSize int, askedAt map[uint32]Time, within Time) int {
	n := fleetSize
	for _, at := range askedAt {
		if now-at < within {
			n--
		}
	}
	return max(0, n)
}
