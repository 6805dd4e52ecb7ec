package quota

// Grants holds the grants of a Client that another process of the same proxy may use in its place. Its
// durations are in nanoseconds from the time at which the Client yielded the grants.
type Grants struct {
	Accounts []AccountGrants `json:"Accounts"`
	// LapseIn is, by shard, when the last grant of the issuer lapses. It is negative if that is past.
	LapseIn [Shards]Time `json:"LapseIn"`
}

// AccountGrants holds the grants of one account.
type AccountGrants struct {
	Account   string         `json:"Account"`
	Permits   []PermitGrants `json:"Permits,omitempty"`
	MaxOpen   int            `json:"MaxOpen"`   // open connections that the issuer grants for MaxOpenIn
	MaxOpenIn Time           `json:"MaxOpenIn"` // negative if the grant has lapsed
}

// PermitGrants holds permits for one new connection each.
type PermitGrants struct {
	Count   int  `json:"Count"`
	LapseIn Time `json:"LapseIn"`
}

// Yield returns the valid grants and gives up the permits among them, so that two processes do not both
// use them. The limit of open connections stays in force here for those that are open.
func (c *Client) Yield() *Grants {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	g := &Grants{}
	for shard := range c.shards {
		g.LapseIn[shard] = c.shards[shard].grantsLapseAt - now
	}
	for account, u := range c.usage {
		u.validPermits(now) // removes the others
		yielded := AccountGrants{Account: account, MaxOpen: u.maxOpen, MaxOpenIn: u.maxOpenUntil - now}
		for _, b := range u.permits {
			yielded.Permits = append(yielded.Permits, PermitGrants{b.count, b.lapsesAt - now})
		}
		u.permits = nil
		g.Accounts = append(g.Accounts, yielded)
	}
	return g
}

// Restore adds grants that another process of this proxy has yielded. requestedAt is the time, on the
// clock Now, at which this process asked for them: they lapse no later than they would have at the other
// process. This proxy's own share is used only after it would have been used there.
func (c *Client) Restore(g *Grants, requestedAt Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	for shard := range c.shards {
		c.shards[shard].grantsLapseAt = max(c.shards[shard].grantsLapseAt, now+min(g.LapseIn[shard], c.GrantLifetime))
	}
	for _, a := range g.Accounts {
		u := c.usageOf(a.Account)
		if until := requestedAt + min(a.MaxOpenIn, c.GrantLifetime); until > max(now, u.maxOpenUntil) {
			u.maxOpen, u.maxOpenUntil = max(0, a.MaxOpen), until
		}
		for _, p := range a.Permits {
			if lapsesAt := requestedAt + min(p.LapseIn, c.GrantLifetime); p.Count > 0 && lapsesAt > now {
				u.permits = append(u.permits, permitBatch{p.Count, lapsesAt})
			}
		}
	}
}

// DelayOwnShare makes this proxy use its own share of the limits no sooner than if its issuers' grants
// lapsed a grant lifetime from now: another process of this proxy may have received grants until now.
func (c *Client) DelayOwnShare() {
	g := &Grants{}
	for shard := range g.LapseIn {
		g.LapseIn[shard] = c.GrantLifetime
	}
	c.Restore(g, c.Now())
}
