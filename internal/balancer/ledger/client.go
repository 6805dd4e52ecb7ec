package ledger

const (
	maxServers        = 8    // balancers that count, of which one is queried
	maxMisses         = 2    // queries in a row without a reply, after which the next ledger server is queried
	maxPending        = 256  // queries that are remembered
	initialPause      = 3e9  // the first pause without queries once no ledger server replied, in nanoseconds
	maxPauseDoublings = 4    // doublings of it: where no messages arrive hardly any request waits
	pollInterval      = 2e9  // how often an earlier ledger server is polled, in nanoseconds
	pendingTimeout    = 10e9 // after which a reply counts for nothing, in nanoseconds
)

// PendingQuery is a query without a reply yet.
type PendingQuery struct {
	Request   string
	Group     uint32
	Units     int
	SentAt    Time
	Abandoned bool // its request waits no longer
}

// Client is the querying side: which ledger server is queried, and which queries are pending. The ledger
// servers are in one order for all balancers; the first of them that replies is queried.
type Client struct {
	servers     []int // balancers
	current     int   // index of the one that is queried
	misses      int   // in a row
	pausedUntil Time  // no queries before
	pauses      int   // in a row
	polledAt    Time
	reachable   bool // the current one was heard; all connections of this balancer are sent to it after that
	epoch       byte // of the current one
	sequence    uint16
	pending     map[uint16]*PendingQuery
}

// NewClient makes the client of one of so many balancers. The ledger servers are spread over the balancers'
// numbers, which may follow zones.
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

func (c *Client) index(balancer int) int {
	for i, k := range c.servers {
		if k == balancer {
			return i
		}
	}
	return -1
}

// Server is the balancer that is queried now; -1: none.
func (c *Client) Server(now Time) int {
	if now < c.pausedUntil {
		return -1
	}
	return c.servers[c.current]
}

// ServerReachable reports whether the current ledger server has sent a message since it became the current
// one. Only then does the caller send it all connections of this balancer; single changes do not wait for it.
func (c *Client) ServerReachable(now Time) bool { return c.reachable && now >= c.pausedUntil }

// Register notes a query that is sent, and gives its sequence number.
func (c *Client) Register(q PendingQuery) uint16 {
	if len(c.pending) >= maxPending {
		c.evictPending(q.SentAt)
	}
	c.sequence++
	c.pending[c.sequence] = &q
	return c.sequence
}

// evictPending bounds the pending queries: it drops the queries that have timed out, or all where none has.
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

// QueryTimedOut notes that a request waits no longer for its reply.
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

// tryNextServer abandons the current ledger server for the next one, or for a pause after the last.
func (c *Client) tryNextServer(now Time) {
	c.misses, c.reachable = 0, false
	if c.current++; c.current == len(c.servers) {
		c.pause(now)
	}
}

// pause stops queries for a time that doubles with each pause in a row; then the first ledger server is
// queried.
func (c *Client) pause(now Time) {
	c.current, c.pausedUntil = 0, now+initialPause<<min(c.pauses, maxPauseDoublings)
	c.pauses++
}

// RemovePending removes and gives the query of a sequence number; nil: none is pending.
func (c *Client) RemovePending(sequence uint16) *PendingQuery {
	p := c.pending[sequence]
	delete(c.pending, sequence)
	return p
}

// ServerMessageReceived records a message from a ledger server, and reports whether the caller has to send that
// server all connections of this balancer.
func (c *Client) ServerMessageReceived(from int, epoch byte) (sync bool) {
	i := c.index(from)
	if i < 0 || i > c.current {
		return false
	}
	sync = i != c.current || !c.reachable || epoch != c.epoch
	c.setCurrent(i, epoch)
	return sync
}

// setCurrent makes a ledger server, by its index, the current one.
func (c *Client) setCurrent(i int, epoch byte) {
	c.current, c.epoch = i, epoch
	c.misses, c.pausedUntil, c.pauses = 0, 0, 0
	c.reachable = true
}

// ServerToPoll gives the ledger server to poll now: one before the current one, which may be back; -1: none.
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
