package quota

// accountUsage holds what this proxy uses of one account, and what it may use.
type accountUsage struct {
	permits      []permitBatch // oldest first
	share        shareBucket   // permits while no issuer replies
	open         int           // open connections
	maxOpen      int           // open connections that the issuer grants until maxOpenUntil
	maxOpenUntil Time

	recentDemand   int // recent requests for a connection; halved once per grant lifetime
	demandHalvedAt Time
}

// permitBatch holds the permits of one grant. Each batch lapses separately: if a later grant
// prolonged it, unused permits could add up to more than the account's rate.
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

// addDemand counts a request. The count is halved once per grant lifetime, so that it follows
// recent demand.
func (u *accountUsage) addDemand(now, lifetime Time) {
	if now-u.demandHalvedAt > lifetime {
		u.recentDemand, u.demandHalvedAt = u.recentDemand/2, now
	}
	u.recentDemand++
}

// demand returns what the next query reports about an account.
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

// addGrant adds a grant that lapses at until. The number of open connections is ignored if a newer
// grant has already arrived.
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

// fill adds the permits for the time since the last fill, but not for the time before from.
func (b *shareBucket) fill(now, from Time, perSecond float64) {
	b.tokens = min(1, b.tokens+perSecond*float64(now-max(b.filledAt, from))/float64(second))
	b.filledAt = now
}

// empty removes the permits.
func (b *shareBucket) empty(now Time) { b.tokens, b.filledAt = 0, now }
