package ledger

const (
	maxServers        = 8    // number of ledger servers, of which one is queried at a time
	maxMisses         = 2    // consecutive queries without a reply before the next ledger server is queried
	maxPending        = 256  // largest number of pending queries
	initialPause      = 3e9  // first pause without queries after no ledger server replied, in nanoseconds
	maxPauseDoublings = 4    // doublings of the pause: if no messages arrive, hardly any request waits
	pollInterval      = 2e9  // how often an earlier ledger server is polled, in nanoseconds
	pendingTimeout    = 10e9 // age from which a pending query may be evicted, in nanoseconds
)

// PendingQuery is a query that has no reply yet.
type PendingQuery struct {
	Request   string // its ID
	Group     uint32 // as in the Query
	Units     int    // as in the Query
	SentAt    Time
	Abandoned bool // its request no longer waits for the reply
}

// Client is the querying side of the ledger: it chooses the ledger server to query and holds the
// pending queries. All balancers have the ledger servers in the same order, and query the first one
// that replies.
type Client struct {
	servers     []int  // balancers that are ledger servers, in order
	current     int    // index in servers of the one that is queried
	misses      int    // consecutive
	pausedUntil Time   // time before which there are no queries
	pauses      int    // consecutive
	polledAt    Time   // when ServerToPoll last returned a server
	reachable   bool   // whether the current one has sent a message since it became current
	epoch       byte   // epoch of the current one
	sequence    uint16 // of the newest query
	pending     map[uint16]*PendingQuery
}

// NewClient returns the client of one of the given number of balancers. The ledger servers are
// spread over the balancers' numbers, since neighbouring numbers may belong to one zone.
func NewClient(balancers int) *Client {
	c := &Client{pending: map[uint16]*PendingQuery{}}
	n := min(balancers, maxServers)
	for i := range n {
		c.servers = append(c.servers, i*balancers/n)
	}
	return c
}

// IsServer reports whether a balancer is one of the ledger servers.
func (c *Client) IsServer(balancer int) bool { return c.index(balancer) >= 0 }

// index returns the index of a balancer in servers, or -1 if it is not a ledger server.
func (c *Client) index(balancer int) int {
	for i, server := range c.servers {
		if server == balancer {
			return i
		}
	}
	return -1
}

// Server returns the balancer to query now, or -1 during a pause.
func (c *Client) Server(now Time) int {
	if now < c.pausedUntil {
		return -1
	}
	return c.servers[c.current]
}

// ServerReachable reports whether the current ledger server has sent a message since it became the
// current one. Only then does the caller send it all connections of this balancer. Reports of
// single changes do not wait for that.
func (c *Client) ServerReachable(now Time) bool { return c.reachable && now >= c.pausedUntil }

// Register adds a pending query, and returns its sequence number.
func (c *Client) Register(q PendingQuery) uint16 {
	if len(c.pending) >= maxPending {
		c.evictPending(q.SentAt)
	}
	c.sequence++
	c.pending[c.sequence] = &q
	return c.sequence
}

// evictPending limits the number of pending queries: it removes those that have timed out, or all
// if none has.
func (c *Client) evictPending(now Time) {
	for sequence, p := range c.pending {
		if now-p.SentAt > pendingTimeout {
			delete(c.pending, sequence)
		}
	}
	if len(c.pending) >= maxPending {
		clear(c.pending)
	}
}

// QueryTimedOut records that a request no longer waits for its reply. After maxMisses of them in a
// row, the next ledger server is queried.
func (c *Client) QueryTimedOut(now Time, request string) {
	for _, p := range c.pending {
		if p.Request == request {
			p.Abandoned = true
		}
	}
	if c.misses++; c.misses >= maxMisses {
		c.tryNextServer(now)
	}
}

// tryNextServer switches to the next ledger server, or to a pause after the last one.
func (c *Client) tryNextServer(now Time) {
	c.misses, c.reachable = 0, false
	if c.current++; c.current == len(c.servers) {
		c.pause(now)
	}
}

// pause stops queries for a time that doubles with each consecutive pause. After it the first
// ledger server is queried.
func (c *Client) pause(now Time) {
	c.current, c.pausedUntil = 0, now+initialPause<<min(c.pauses, maxPauseDoublings)
	c.pauses++
}

// RemovePending removes and returns the pending query with a sequence number. It returns nil if
// there is none.
func (c *Client) RemovePending(sequence uint16) *PendingQuery {
	p := c.pending[sequence]
	delete(c.pending, sequence)
	return p
}

// ServerMessageReceived records a message from a ledger server, and reports whether the caller has
// to send that server all connections of this balancer. It ignores servers that come after the
// current one.
func (c *Client) ServerMessageReceived(from int, epoch byte) (needsSync bool) {
	i := c.index(from)
	if i < 0 || i > c.current {
		return false
	}
	needsSync = i != c.current || !c.reachable || epoch != c.epoch
	c.setCurrent(i, epoch)
	return needsSync
}

// setCurrent makes the ledger server with index i the current one, and ends a pause.
func (c *Client) setCurrent(i int, epoch byte) {
	c.current, c.epoch = i, epoch
	c.misses, c.pausedUntil, c.pauses = 0, 0, 0
	c.reachable = true
}

// ServerToPoll returns the ledger server to poll now, or -1 if none is due. The caller polls the
// server that it returns, which is one before the current one, since that may be available again,
// or the first one until it has sent a message.
func (c *Client) ServerToPoll(now Time) int {
	if c.current == 0 && now >= c.pausedUntil && c.reachable || now-c.polledAt < pollInterval {
		return -1
	}
	c.polledAt = now
	if c.current == 0 {
		return c.servers[0]
	}
	return c.servers[int(uint64(now/pollInterval)%uint64(c.current))]
}
