package proxy

import (
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/logging"
	"croftlock/internal/operations/metrics"
)

const (
	// overdueGrace is how long past a request's deadline the module's own answer is waited for: within the slack
	// that the rules leave.
	overdueGrace = 15 * time.Millisecond
	// adoptionRetryDelay is the pause before a host that holds a connection from before is tried again.
	adoptionRetryDelay = 200 * time.Millisecond
)

// Request is a client's request from its first line to the end of its connection.
type Request struct {
	core                   *Core
	downstream             Downstream
	requestLine            RequestLine
	attributes             balancer.Request
	tenant                 string // as its client named it
	pool                   *pool  // whose instance of the module places it, and after UP the one of its host; nil: its host changes hands
	attemptsInEarlierPools int    // attempts that were made before that instance was asked
	record                 invariant.Request
	quotaAccount           string // the account whose limits it counts against; "": none
	deadline               int64
	overdueTimer           *netio.Timer

	answered bool // the client has its answer, or is gone
	adopted  bool // open at a host before this proxy's start
	attempts int
	attempt  *upstreamRequest // the attempt under way, and after UP the connection
}

// upstreamRequest is one attempt to serve a request.
type upstreamRequest struct {
	request      *Request
	number       int
	host         *host
	conn         Upstream
	startedAt    int64
	deadline     int64
	timeoutTimer *netio.Timer
	// retryWindowTimer ends a repeat that is not written before hosts cease to discard it; nil: no repeat, or no such time.
	retryWindowTimer *netio.Timer
	established      bool
	finalKind        MessageKind // Farewell or MoveAway once the host has said so
	loadReport       []float64   // the load report that came with its answer or its end; nil: none
	load             float64     // as the host last told it; 0: not yet
	previousLoad     float64     // and the one before that
	unansweredSince  []int64     // when the client's lines went up that no line has come back for
}

// tracing tells whether the log takes the life of each request.
func tracing() bool { return logging.Tracing() }

// startAttempt begins an attempt.
func (c *Core) startAttempt(p *pool, id, server string, timeout balancer.Time) {
	r := c.requests[id]
	if r == nil || r.pool != p {
		return
	}
	number := r.attempts - r.attemptsInEarlierPools
	r.attempts++
	now := c.loop.Now()
	until := r.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	h := c.hosts[server]
	if h == nil || r.attempts > c.opt.Settings.MaxAttempts {
		c.notify(r, p, func(now balancer.Time, m Balancer) {
			m.AttemptEnded(now, id, number, balancer.TooLate, 0, r.answered, nil)
		})
		return
	}
	// The module knows the rules as well; this holds should it ever not.
	if rule := r.record.CheckAttempt(now, h.invariantHost()); rule != invariant.None {
		status := r.attemptBlocked(rule, h)
		c.notify(r, p, func(now balancer.Time, m Balancer) { m.AttemptEnded(now, id, number, status, 0, r.answered, nil) })
		return
	}
	switch v, how := c.recheckRules(r, h); how {
	case rulesReject:
		r.rejectOrFail(v.Advice)
		c.notify(r, p, func(now balancer.Time, m Balancer) { m.AttemptEnded(now, id, number, balancer.TooLate, 0, true, nil) })
		return
	case rulesOtherPool:
		c.placeInPool(r, number, c.choosePool(v.Pools))
		return
	case rulesOtherHost:
		c.notify(r, p, func(now balancer.Time, m Balancer) { m.AttemptEnded(now, id, number, balancer.Full, 0, false, nil) })
		return
	}
	r.start(h, number, until)
}

func (r *Request) start(h *host, number int, until int64) {
	c := r.core
	now := c.loop.Now()
	a := &upstreamRequest{request: r, number: number, host: h, startedAt: now, deadline: until}
	r.attempt = a
	r.record.AttemptBegan(now, h.invariantHost())
	h.pending[a] = struct{}{}
	if tracing() {
		slog.Debug("attempt_started", "request", r.attributes.ID, "number", number, "host", h.id, "left_ms", (r.deadline-now)/1e6)
	}
	a.timeoutTimer = c.loop.After(time.Duration(until-now), func() { a.finish(balancer.Timeout, netio.Ended) })
	a.limitRetry()
	a.dial()
}

// dial connects to the host's present endpoint, within what is left of the connect limit.
func (a *upstreamRequest) dial() {
	c := a.request.core
	now := c.loop.Now()
	left := min(a.startedAt+c.opt.Settings.ConnectTimeout, a.deadline) - now
	a.conn = c.connector.Start(Target{a.host.id, a.host.zone, a.host.address}, a.request.requestLine, a.deadline, time.Duration(max(left, 1)), a)
}

// adopt restores a connection that was open at a host before. The module hears of it once it stands: it decides
// nothing here, since the connection belongs to that host.
func (r *Request) adopt(server string) {
	c := r.core
	h := c.hosts[server]
	if h == nil {
		slog.Warn("adoption_failed", "host", server, "reason", "not in the list")
		r.fail(metrics.Failed)
		return
	}
	r.adopted, r.pool = true, h.pool
	r.record.Resumed, r.record.MaxAttempts = true, math.MaxInt
	if rule := r.record.CheckAttempt(c.loop.Now(), h.invariantHost()); rule != invariant.None {
		r.attemptBlocked(rule, h)
		r.fail(metrics.Failed)
		return
	}
	r.start(h, 0, r.deadline)
}

// detach takes the attempt off its host and its request; the connection is the caller's to end.
func (a *upstreamRequest) detach() bool {
	if a.request.attempt != a {
		return false
	}
	a.timeoutTimer.Stop()
	a.retryWindowTimer.Stop()
	a.request.attempt = nil
	delete(a.host.pending, a)
	delete(a.host.established, a.request)
	return true
}

// finish ends an attempt that has not come up, closing its connection before the module can begin another.
func (a *upstreamRequest) finish(status balancer.AttemptStatus, cause netio.Cause) {
	if !a.detach() {
		return
	}
	a.conn.End(cause)
	a.notifyEnded(status)
}

// notifyEnded tells the module how the attempt ended.
func (a *upstreamRequest) notifyEnded(status balancer.AttemptStatus) {
	r, c := a.request, a.request.core
	elapsed := c.loop.Now() - a.startedAt
	r.record.AttemptEnded(status.ProvesNotRun())
	if tracing() {
		slog.Debug("attempt_ended", "request", r.attributes.ID, "number", a.number, "host", a.host.id, "status", status.String(),
			"up", a.established, "ms", elapsed/1e6)
	}
	if r.adopted && !a.established {
		if r.answered {
			r.removeIfDone()
			return
		}
		if status.ProvesNotRun() && c.loop.Now()+int64(adoptionRetryDelay) < r.deadline {
			c.loop.After(adoptionRetryDelay, func() {
				if !r.answered {
					r.adopt(a.host.id)
				}
			})
			return
		}
		slog.Warn("adoption_failed", "host", a.host.id, "status", int(status))
		r.fail(metrics.Failed)
		return
	}
	closed := r.answered || a.established
	c.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, r.attributes.ID, a.number, status, elapsed, closed, a.loadReport)
	})
	if closed {
		r.removeIfDone()
	}
}

// removeIfDone drops a request that is answered and has nothing out any more.
func (r *Request) removeIfDone() {
	r.answered = true
	r.overdueTimer.Stop()
	if r.attempt == nil && r.core.requests[r.attributes.ID] == r {
		delete(r.core.requests, r.attributes.ID)
		r.releaseQuota()
	}
}
