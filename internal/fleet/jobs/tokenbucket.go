package jobs

// TokenBucket limits the rate at which an owner grants something.
type TokenBucket struct {
	Tokens   float64 // available tokens
	FilledAt Time    // when Fill last added tokens; none are added for the time before it
}

// bucketDepthDivisor divides the rate per second to yield the capacity of a bucket: the tokens of a
// quarter of a second, but at least one.
const bucketDepthDivisor = 4

// Fill adds the tokens for the time since the last call at a rate in tokens per second. silent is
// how many of the fleetSize proxies use their own share of the rate; their shares are not added.
func (b *TokenBucket) Fill(now Time, rate float64, fleetSize, silent int) {
	if now <= b.FilledAt {
		return
	}
	fraction := 1 - float64(silent)/float64(max(1, fleetSize))
	b.Tokens = min(b.Tokens+rate*fraction*float64(now-b.FilledAt)/float64(sec), max(1, rate/bucketDepthDivisor))
	b.FilledAt = now
}

// Take removes up to want whole tokens, as many as are available, and returns their number.
func (b *TokenBucket) Take(want uint64) uint64 {
	n := uint64(max(0, min(float64(want), b.Tokens)))
	b.Tokens -= float64(n)
	return n
}

// CountSilentMembers returns how many of the fleetSize proxies may be using their own share of a
// rate: all except those that sent a query within the given time before now. queriedAt holds the
// time of each proxy's last query.
func CountSilentMembers(now Time, fleetSize int, queriedAt map[uint32]Time, within Time) int {
	n := fleetSize
	for _, at := range queriedAt {
		if now-at < within {
			n--
		}
	}
	return max(0, n)
}
