package jobs

// TokenBucket is a token bucket: what an owner may grant of a rate.
type TokenBucket struct {
	Tokens   float64
	FilledAt Time // of the last Fill; nothing is added for the time before
}

// bucketDepthDivisor bounds a bucket to what its rate gives in a quarter of a second, and to at least one token.
const bucketDepthDivisor = 4

// Fill adds the tokens that are due at a rate, in tokens a second. silent of fleetSize proxies use their own share of the rate, which is not
// granted.
func (b *TokenBucket) Fill(now Time, rate float64, fleetSize, silent int) {
	if now <= b.FilledAt {
		return
	}
	part := 1 - float64(silent)/float64(max(1, fleetSize))
	b.Tokens = min(b.Tokens+rate*part*float64(now-b.FilledAt)/float64(sec), max(1, rate/bucketDepthDivisor))
	b.FilledAt = now
}

// Take takes as many full tokens as are wanted and available.
func (b *TokenBucket) Take(want uint64) uint64 {
	n := uint64(max(0, min(float64(want), b.Tokens)))
	b.Tokens -= float64(n)
	return n
}

// CountSilentMembers is how many of fleetSize proxies use their own share of a rate: all but those that sent a query within a time.
func CountSilentMembers(now Time, fleetSize int, queriedAt map[uint32]Time, within Time) int {
	n := fleetSize
	for _, at := range queriedAt {
		if now-at < within {
			n--
		}
	}
	return max(0, n)
}
