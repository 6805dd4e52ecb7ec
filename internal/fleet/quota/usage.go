package quota

// accountUsage is what is used of one account at this proxy, and what may be.
type accountUsage struct {
	permits      []permitBatch // the oldest first
	share        shareBucket
	open         int // connections
	maxOpen      int // connections that the issuer grants
	maxOpenUntil Time

	recentDemand   int // requests that wanted a connection lately
	demandHalvedAt Time
}

// permitBatch is the permits of one grant. Each lapses by itself: if a later grant prolonged it, unused permits would add up to more than the
// account's rate.
type permitBatch struct {
	count    int
	lapsesAt Time
}

// validPermits drops batches that are empty or have lapsed, and counts the permits of the others.
func (u *accountUsage) validPermits(now Time) (n int) {
	valid := u.permits[:0]
	for _, b := range u.permits {
		if now < b.lapsesAt && b.count > 0 {
			valid, n = append(valid, b), n+b.count
		}
	}
	u.permits = valid
	return n
}

// addDemand counts a request; the count is halved once in a grant's lifetime, so that it follows recent demand.
func (u *accountUsage) addDemand(now, lifetime Time) {
	if now-u.demandHalvedAt > lifetime {
		u.recentDemand, u.demandHalvedAt = u.recentDemand/2, now
	}
	u.recentDemand++
}

// demand is what the next query says of an account.
func (u *accountUsage) demand(now, lifetime Time, account string, limit Limit) demand {
	if now-u.demandHalvedAt > 2*lifetime {
		u.recentDemand = 0
	}
	d := demand{account: account, open: uint64(u.open)}
	if limit.Rate > 0 && u.validPermits(now) < u.recentDemand {
		d.permits = uint64(u.recentDemand)
	}
	if limit.Connections > 0 {
		d.additional = uint64(u.recentDemand)
	}
	return d
}

// addGrant takes a grant. One that a newer grant has overtaken does not change the number of open connections.
func (u *accountUsage) addGrant(g grant, until Time) {
	if g.permits > 0 {
		u.permits = append(u.permits, permitBatch{int(g.permits), until})
	}
	if until >= u.maxOpenUntil {
		u.maxOpen, u.maxOpenUntil = int(g.maxOpen), until
	}
}

// shareBucket refills at this proxy's fair share of a rate while no issuer replies. It holds one permit at most, so that none are saved up.
type shareBucket struct {
	tokens   float64
	filledAt Time
}

func (b *shareBucket) fill(now, from Time, perSecond float64) {
	b.tokens = min(1, b.tokens+perSecond*float64(now-max(b.filledAt, from))/float64(second))
	b.filledAt = now
}

func (b *shareBucket) empty(now Time) { b.tokens, b.filledAt = 0, now }
