package proxy

import (
	"fmt"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// requestPhase is the state of a request as its client sees it.
type requestPhase int

const (
	awaitingAnswer requestPhase = iota
	established                 // a host has accepted the request, and its connection is open
	closed                      // its client has the final answer or has left, or its connection has ended
)

// String returns the phase's name.
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
	attributes  balancer.Request // the request as the decision module, which chooses hosts, knows it
	tenant      string           // as the client named it; "" if another process handed the connection over
	deadline    int64            // ns of the loop's time, by which the client expects its answer; 0 for a connection that was handed over

	// pool is the pool whose balancer places the request and, once the connection is open, the
	// host's pool. It is nil while the host is between two pools.
	pool         *pool
	quotaAccount string            // the account whose quota the request holds; "" if none
	record       invariant.Request // the request's attempts and answers, for the checks of the invariants
	// overdueTimer fails the request if the balancer does not answer. It is nil for adopted
	// requests and connections that were handed over.
	overdueTimer *netio.Timer

	phase    requestPhase
	adopting bool // the client named the host at which the connection is open
	adopted  bool // the connection was open at a host before this proxy's start
	// attempts counts the attempts that balancers of all pools requested, including those that a
	// check stopped. It is 0 for an adopted request, and 1 for a connection that was handed over.
	attempts               int
	attemptsInEarlierPools int // of attempts, those before the request came to its present pool
	// attempt is the attempt in flight or, once established, the open connection. It may be nil.
	attempt *upstreamRequest
}

// answered reports whether the client has its answer, or has left.
func (r *Request) answered() bool { return r.phase != awaitingAnswer }

// isOpen reports whether the request's connection is open at a host.
func (r *Request) isOpen() bool { return r.attempt != nil && r.attempt.established }

// becomeEstablished records that the host has accepted the request.
func (r *Request) becomeEstablished() {
	r.phase = established
	r.overdueTimer.Stop()
}

// becomeClosed records that the client has its final answer or has left, or that the connection has
// ended.
func (r *Request) becomeClosed() {
	r.phase = closed
	r.overdueTimer.Stop()
}

// class returns the settings of the request's class.
func (r *Request) class() *balancer.Class { return &r.core.opt.Settings.Classes[r.attributes.Class] }

// stageName returns the stage of the attempt in flight, for the log. Without an attempt, while the
// request waits for the decision module, it returns "no_attempt".
func (r *Request) stageName() string {
	if r.attempt == nil {
		return "no_attempt"
	}
	return r.attempt.conn.Stage().String()
}

// requestPlacement asks the balancer of the request's pool to place the request, unless the request
// has its answer by the time at which the balancer handles the event.
func (r *Request) requestPlacement() {
	r.core.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		if r.answered() {
			return
		}
		attributes := r.attributes
		attributes.Remaining = r.deadline - now
		m.RequestArrived(now, attributes)
	})
}

// removeIfDone closes the request in any case. If no attempt is left, it also removes the request
// from the core's table and releases its quota.
func (r *Request) removeIfDone() {
	r.becomeClosed()
	if r.attempt != nil {
		return
	}
	if r.core.requests[r.attributes.ID] == r {
		delete(r.core.requests, r.attributes.ID)
		r.core.rememberRun(r)
	}
	r.releaseQuota()
}

// requestTable holds the requests that are not done yet, by ID.
type requestTable map[string]*Request

// countRequests returns the number of open connections, and of requests without an answer.
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

// forEachOpen calls do for at most n requests with an open connection, in no particular order.
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
