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

// permitBatch is the permits of one grant. Each lapses by itself: a later grant does not prolong an earlier one, else what nobody used for a while would
// come on top of what the issuer has granted since.
type permitBatch struct {
	count int
	until Time
}

// validPermits drops batches that are empty or have lapsed, and counts the permits of the others.
func (u *accountUsage) validPermits(now Time) (n int) {
	valid := u.permits[:0]
	for _, b := range u.permits {
		if now < b.until && b.count > 0 {
			valid, n = append(valid, b), n+b.count
		}
	}
	u.permits = valid
	return n
}

// addDemand counts a request; what came before is halved once in a grant's lifetime.
func (u *accountUsage) addDemand(now, lifetime Time) {
	if now-u.demandHalvedAt > lifetime {
		u.recentDemand, u.demandHalvedAt = u.recentDemand/2, now
	}
	u.recentDemand++
}

// demand is what a proxy asks the issuer for.
func (u *accountUsage) demand(now, lifetime Time, account string, limit Limit) demand {
	if now-u.demandHalvedAt > 2*lifetime {
		u.recentDemand = 0
	}
	d := demand{account: account, open: uint64(u.open)}
	if limit.Rate > 0 && u.validPermits(now) < u.recentDemand {
		d.permits = uint64(u.recentDemand)
	}
	if limit.Connections > 0 {
		d.places = uint64(u.recentDemand)
	}
	return d
}

// receive takes a grant. An older one that a newer has overtaken changes no places.
func (u *accountUsage) receive(g grant, until Time) {
	if g.permits > 0 {
		u.permits = append(u.permits, permitBatch{int(g.permits), until})
	}
	if until >= u.maxOpenUntil {
		u.maxOpen, u.maxOpenUntil = int(g.maxOpen), until
	}
}

// shareBucket fills at this proxy's fair share of a rate while it hears no issuer. It holds one permit: none is saved.
type shareBucket struct {
	tokens   float64
	filledAt Time
}

func (b *shareBucket) fill(now, from Time, perSecond float64) {
	b.tokens = min(1, b.tokens+perSecond*float64(now-max(b.filledAt, from))/float64(sec))
	b.filledAt = now
}

func (b *shareBucket) empty(now Time) { b.tokens, b.filledAt = 0, now }
