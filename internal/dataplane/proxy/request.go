package proxy

import (
	"fmt"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// requestPhase is how far a request has come with its client.
type requestPhase int

const (
	awaitingAnswer requestPhase = iota
	established                 // its host has accepted it, and the connection is open
	closed                      // its client has its final answer, has left, or its connection has ended
)

// String is the phase's name.
func (p requestPhase) String() string {
	switch p {
	case awaitingAnswer:
		return "awaiting_answer"
	case established:
		return "established"
	case closed:
		return "closed"
	}
	return fmt.Sprintf("requestPhase(%d)", int(p))
}

// Request is a client's request from its first line to the end of its connection.
type Request struct {
	core        *Core
	downstream  Downstream
	requestLine RequestLine
	attributes  balancer.Request // what the decision module knows of it
	tenant      string           // as its client named it
	deadline    int64            // ns of the loop's time

	pool         *pool // whose balancer places it, and once it is open the one of its host; nil: its host is between two pools
	quotaAccount string
	record       invariant.Request
	overdueTimer *netio.Timer

	phase                  requestPhase
	adopted                bool             // open at a host before this proxy's start
	attempts               int              // that balancers of all pools started, begun or stopped by a check; 0 if adopted, 1 if handed over
	attemptsInEarlierPools int              // of these, the ones before the request came to its pool's balancer
	attempt                *upstreamRequest // the attempt in flight, and once it is established the connection; nil: none
}

// answered reports whether the client has its answer, or has left.
func (r *Request) answered() bool { return r.phase != awaitingAnswer }

// isOpen reports whether its connection is open at a host.
func (r *Request) isOpen() bool { return r.attempt != nil && r.attempt.established }

// becomeEstablished is the host's acceptance.
func (r *Request) becomeEstablished() {
	r.phase = established
	r.overdueTimer.Stop()
}

// becomeClosed is the final answer, the client's departure, or the end of the connection.
func (r *Request) becomeClosed() {
	r.phase = closed
	r.overdueTimer.Stop()
}

// class is the settings' entry for the request's class.
func (r *Request) class() *balancer.Class { return &r.core.opt.Settings.Classes[r.attributes.Class] }

// stageName is how far the attempt in flight has come, for the log; before one begins the request waits in the decision module.
func (r *Request) stageName() string {
	if r.attempt == nil {
		return "no_attempt"
	}
	return r.attempt.conn.Stage().String()
}

// requestPlacement has the balancer of its pool place it.
func (r *Request) requestPlacement() {
	r.core.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		if r.answered() {
			return
		}
		q := r.attributes
		q.Remaining = r.deadline - now
		m.RequestArrived(now, q)
	})
}

// removeIfDone closes a request, and drops it once it has no attempt any more.
func (r *Request) removeIfDone() {
	r.becomeClosed()
	if r.attempt == nil && r.core.requests[r.attributes.ID] == r {
		delete(r.core.requests, r.attributes.ID)
		r.releaseQuota()
	}
}

// requestTable holds the requests that are not done, by ID.
type requestTable map[string]*Request

// countRequests counts open connections, and requests without an answer.
func (c *Core) countRequests() (open, pending int) {
	for _, r := range c.requests {
		switch {
		case r.isOpen():
			open++
		case !r.answered():
			pending++
		}
	}
	return open, pending
}

// forEachOpen does something to n requests with an open connection.
func (c *Core) forEachOpen(n int, do func(r *Request)) {
	for _, r := range c.requests {
		if n <= 0 {
			return
		}
		if r.isOpen() {
			do(r)
			n--
		}
	}
}
