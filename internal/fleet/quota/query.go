package quota

import "slices"

// Step queries each shard's issuer with the demand of its accounts at this proxy, and retries the
// waiting requests. Call it several times per grant lifetime. A proxy without demand sends queries
// as well: for a proxy without queries, the issuer would reserve a share, an equal part of each
// limit.
func (c *Client) Step() {
	for shard := range Shards {
		c.query(shard, false)
	}
	c.RetryWaiting()
}

// query queries a shard's issuer. An urgent query is dropped within urgentQueryInterval of the
// previous query.
func (c *Client) query(shard int, urgent bool) {
	if tag, demands := c.startQuery(shard, urgent); len(demands) > 0 {
		c.SendQuery(shard, tag, encodeDemands(demands))
	}
}

// startQuery returns the tag and the demands of a query, at most maxAccountsPerMessage, and records
// when it was sent. It returns no demands if the query is dropped or the shard has no limited
// accounts.
func (c *Client) startQuery(shard int, urgent bool) (tag uint64, demands []demand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now, s := c.Now(), &c.shards[shard]
	if urgent && now < s.nextUrgentQueryAt {
		return 0, nil
	}
	accounts := c.LimitedAccounts()
	c.dropLapsedQueries(now)
	c.forgetUnlimited(accounts)
	for _, a := range accounts {
		if Shard(a) == shard && len(demands) < maxAccountsPerMessage {
			demands = append(demands, c.usageOf(a).demand(now, c.GrantLifetime, a, c.Limits(a)))
		}
	}
	if len(demands) == 0 {
		return 0, nil
	}
	c.lastTag++
	c.sentAt[c.lastTag], s.nextUrgentQueryAt = now, now+urgentQueryInterval
	return c.lastTag, demands
}

// dropLapsedQueries drops the tags of queries that were sent more than a grant lifetime ago. The
// grants in a reply to such a query have already lapsed.
func (c *Client) dropLapsedQueries(now Time) {
	if c.sentAt == nil {
		c.sentAt = map[uint64]Time{}
	}
	for tag, at := range c.sentAt {
		if now-at > c.GrantLifetime {
			delete(c.sentAt, tag)
		}
	}
}

// forgetUnlimited drops the usage of accounts that are not in the sorted list of limited accounts
// and have no open connections.
func (c *Client) forgetUnlimited(accounts []string) {
	for a, u := range c.usage {
		if _, limited := slices.BinarySearch(accounts, a); !limited && u.open == 0 {
			delete(c.usage, a)
		}
	}
}

// ReplyReceived records the grants of a reply and retries the waiting requests. The lifetime of a
// grant starts when the query was sent, so that a late reply does not prolong it. Malformed replies
// and replies to unknown queries are ignored.
func (c *Client) ReplyReceived(tag uint64, body []byte) {
	c.receiveGrants(tag, body)
	c.RetryWaiting()
}

// receiveGrants records the grants of a reply, unless they have already lapsed.
func (c *Client) receiveGrants(tag uint64, body []byte) {
	grants, err := decodeGrants(body)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sentAt, pending := c.sentAt[tag]
	until := sentAt + c.GrantLifetime
	if !pending || err != nil || c.Now() >= until {
		return
	}
	delete(c.sentAt, tag)
	for _, g := range grants {
		s := &c.shards[Shard(g.account)]
		s.grantsLapseAt = max(s.grantsLapseAt, until)
		c.usageOf(g.account).addGrant(g, until)
	}
}
