package jobs

// Bucket is what an owner has to hand out of a rate.
type Bucket struct {
	Tokens   float64
	FilledAt Time // when it was filled last; nothing comes before
}

// Fill adds what has become due. Of the rate so much is kept back as those use that are alone, each by its own share of one in base; and no more is saved
// than comes in a quarter of a second.
func (p *Bucket) Fill(now Time, rate float64, base, alone int) {
	if now <= p.FilledAt {
		return
	}
	part := 1 - float64(alone)/float64(max(1, base))
	p.Tokens = min(p.Tokens+rate*part*float64(now-p.FilledAt)/float64(sec), max(1, rate/4))
	p.FilledAt = now
}

// Take takes whole ones, as many as wanted and there.
func (p *Bucket) Take(want uint64) uint64 {
	n := uint64(max(0, min(float64(want), p.Tokens)))
	p.Tokens -= float64(n)
	return n
}

// SilentMembers is how many of base proxies go by their own share: all that have not asked of late.
func SilentMembers(now Time, base int, asked map[uint32]Time, late Time) int {
	n := base
	for _, at := range asked {
		if now-at < late {
			n--
		}
	}
	return max(0, n)
}
