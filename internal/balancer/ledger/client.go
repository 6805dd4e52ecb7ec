package ledger

// A ledger server is a balancer that counts the connections of all balancers and assigns hosts.
const (
	maxServers        = 8    // largest number of ledger servers, of which one is queried at a time
	maxMisses         = 2    // consecutive queries without a reply after which the next server is queried
	maxPending        = 256  // largest number of pending queries
	initialPause      = 3e9  // first pause without queries after no ledger server replied, in nanoseconds
	maxPauseDoublings = 4    // most doublings of the pause; keeps requests from waiting if no message arrives
	pollInterval      = 2e9  // shortest time between two polls by ServerToPoll, in nanoseconds
	pendingTimeout    = 10e9 // age from which a pending query may be evicted, in nanoseconds
)

// PendingQuery is a query that has no reply yet.
type PendingQuery struct {
	Request   string // ID of the request that waits for the reply
	Group     uint32 // as in the Query
	Units     int    // as in the Query
	SentAt    Time
	Abandoned bool // the request no longer waits for the reply
}

// Client is the querying side of the ledger: it chooses the ledger server to query and holds the
// pending queries. All balancers have the ledger servers in the same order, and query the first one
// that replies.
type Client struct {
	servers     []int                    // numbers of the balancers that are ledger servers, preferred first
	current     int                      // index in servers of the current server, the one that is queried
	misses      int                      // consecutive queries of the current server without a reply
	pausedUntil Time                     // time before which there are no queries
	pauses      int                      // consecutive pauses
	polledAt    Time                     // when ServerToPoll last returned a server
	reachable   bool                     // the current server has sent a message since it became current
	epoch       byte                     // in the last message of the current server; changes if it restarts
	sequence    uint16                   // sequence number of the newest query
	pending     map[uint16]*PendingQuery // by sequence number
}

// NewClient returns the client of one of the given number of balancers, at least 1. The ledger
// servers are spread over the balancers' numbers, since neighbouring numbers may belong to one zone.
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

// Server returns the number of the balancer to query now, or -1 during a pause, which begins when no
// ledger server replies.
func (c *Client) Server(now Time) int {
	if now < c.pausedUntil {
		return -1
	}
	return c.servers[c.current]
}

// ServerReachable reports whether the current ledger server has sent a message since it became the
// current one, and no pause is in progress. Only then does the caller send it all connections of
// this balancer. The caller reports single changes in any case.
func (c *Client) ServerReachable(now Time) bool { return c.reachable && now >= c.pausedUntil }

// Register adds a pending query, and returns its sequence number. If there are maxPending already,
// old ones are removed.
func (c *Client) Register(q PendingQuery) uint16 {
	if len(c.pending) >= maxPending {
		c.evictPending(q.SentAt)
	}
	c.sequence++
	c.pending[c.sequence] = &q
	return c.sequence
}

// evictPending limits the number of pending queries: it removes those that are older than
// pendingTimeout, or all if there are none of these.
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

// QueryTimedOut records that the request with the given ID no longer waits for its reply. After
// maxMisses such requests without a message of the server between them, the next ledger server is
// queried.
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

// ServerMessageReceived records a message from the balancer with number from, and reports whether the
// caller has to send it all connections of this balancer: it was not the current server, was not
// known to be reachable, or has restarted. The sender becomes the current server. Messages of
// balancers that are no ledger servers or come after the current one are ignored.
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

// ServerToPoll returns the number of the ledger server to poll now, or -1 if no poll is due. It
// returns a server that comes before the current one and may be available again. If the first server
// is the current one, ServerToPoll returns it until it has sent a message. The caller has to poll the
// returned server, since ServerToPoll returns the next one only after pollInterval.
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
