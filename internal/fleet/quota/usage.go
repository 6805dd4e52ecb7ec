package quota

// accountUsage holds what this proxy uses of one account, and what it may use.
type accountUsage struct {
	permits      []permitBatch // oldest first
	share        shareBucket   // permits of the proxy's own share, an equal part of the limit, while the issuer does not reply
	open         int           // open connections
	maxOpen      int           // open connections that the issuer grants until maxOpenUntil
	maxOpenUntil Time

	recentDemand   int  // recent requests for a connection; halved at most once per grant lifetime
	demandHalvedAt Time // last time at which recentDemand was halved
}

// permitBatch holds the permits of one grant, for one new connection each. Each batch lapses
// separately: if a later grant prolonged it, unused permits could add up to more than the account's
// rate.
type permitBatch struct {
	count    int
	lapsesAt Time
}

// validPermits removes batches that are empty or have lapsed, and returns the number of remaining
// permits.
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

// addDemand counts a request in recentDemand. If more than a grant lifetime has passed since the
// last halving, it halves recentDemand first, so that old requests lose weight.
func (u *accountUsage) addDemand(now, lifetime Time) {
	if now-u.demandHalvedAt > lifetime {
		u.recentDemand, u.demandHalvedAt = u.recentDemand/2, now
	}
	u.recentDemand++
}

// demand returns what the next query reports about an account. Recent demand becomes 0 if it has not
// been halved for two grant lifetimes: no request has come for at least one. Permits are demanded
// only if the valid ones do not cover the recent demand.
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

// addGrant adds a grant that lapses at until. Its maxOpen is ignored if a grant that lapses later
// has already arrived.
func (u *accountUsage) addGrant(g grant, until Time) {
	if g.permits > 0 {
		u.permits = append(u.permits, permitBatch{int(g.permits), until})
	}
	if until >= u.maxOpenUntil {
		u.maxOpen, u.maxOpenUntil = int(g.maxOpen), until
	}
}

// shareBucket refills at this proxy's fair share of a rate while no issuer replies. It holds at
// most one permit, so that permits do not accumulate.
type shareBucket struct {
	tokens   float64
	filledAt Time
}

// fill adds perSecond permits for each second since the last fill, without the time before from.
func (b *shareBucket) fill(now, from Time, perSecond float64) {
	b.tokens = min(1, b.tokens+perSecond*float64(now-max(b.filledAt, from))/float64(second))
	b.filledAt = now
}

// empty removes the permits; the next fill counts from now.
func (b *shareBucket) empty(now Time) { b.tokens, b.filledAt = 0, now }
