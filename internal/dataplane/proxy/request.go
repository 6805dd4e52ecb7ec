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
	// overdueAfter is how long past a request's deadline the module's own answer is waited for: within the slack
	// that the rules leave.
	overdueAfter = 15 * time.Millisecond
	// comeBack is the advice to clients that come while this proxy leaves: by then the front knows.
	comeBack = 500 * time.Millisecond
	// adoptRetry is the pause before a host that holds a connection from before is tried again.
	adoptRetry = 200 * time.Millisecond
)

// Request is a client's request from its first line to the end of its connection.
type Request struct {
	core     *Core
	down     Downstream
	first    RequestLine
	ask      balancer.Request
	tenant   string // as its client named it
	pool     *pool  // whose instance of the module places it, and after UP the one of its host; nil: its host changes hands
	base     int    // attempts that were made before that instance was asked
	rec      invariant.Request
	slot     string // the account whose limits it counts against; "": none
	deadline int64
	overdue  *netio.Timer

	answered bool // the client has its answer, or is gone
	adopted  bool // open at a host before this proxy's start
	attempts int
	out      *upstreamRequest // the attempt under way, and after UP the connection
}

// upstreamRequest is one attempt to serve a request.
type upstreamRequest struct {
	req    *Request
	number int
	host   *host
	conn   Upstream
	sentAt int64
	until  int64
	timer  *netio.Timer
	// repeatTimer ends a repeat that is not written before hosts cease to discard it; nil: no repeat, or no such time.
	repeatTimer *netio.Timer
	up          bool
	last        MessageKind // Farewell or MoveAway once the host has said so
	report      []float64   // the load report that came with its answer or its end; nil: none
	load        float64     // as the host last told it; 0: not yet
	before      float64     // and the one before that
	waiting     []int64     // when the client's lines went up that no line has come back for
}

// tracing tells whether the log takes the life of each request.
func tracing() bool { return logging.DebugEnabled() }

// send begins an attempt.
func (c *Core) send(p *pool, id, server string, timeout balancer.Time) {
	r := c.requests[id]
	if r == nil || r.pool != p {
		return
	}
	number := r.attempts - r.base
	r.attempts++
	now := c.loop.Now()
	until := r.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	h := c.hosts[server]
	if h == nil || r.attempts > c.opt.Settings.MaxAttempts {
		c.tell(r, p, func(now balancer.Time, m Balancer) {
			m.AttemptEnded(now, id, number, balancer.TooLate, 0, r.answered, nil)
		})
		return
	}
	// The module knows the rules as well; this holds should it ever not.
	if rule := r.rec.Begin(now, h.place()); rule != invariant.None {
		status := r.heldBack(rule, h)
		c.tell(r, p, func(now balancer.Time, m Balancer) { m.AttemptEnded(now, id, number, status, 0, r.answered, nil) })
		return
	}
	switch v, how := c.again(r, h); how {
	case refusedNow:
		r.decline(v.Advice)
		c.tell(r, p, func(now balancer.Time, m Balancer) { m.AttemptEnded(now, id, number, balancer.TooLate, 0, true, nil) })
		return
	case elsewhere:
		c.replace(r, number, c.choose(v.Pools))
		return
	case passed:
		c.tell(r, p, func(now balancer.Time, m Balancer) { m.AttemptEnded(now, id, number, balancer.Full, 0, false, nil) })
		return
	}
	r.start(h, number, until)
}

func (r *Request) start(h *host, number int, until int64) {
	c := r.core
	now := c.loop.Now()
	a := &upstreamRequest{req: r, number: number, host: h, sentAt: now, until: until}
	r.out = a
	r.rec.Began(now, h.place())
	h.trying[a] = struct{}{}
	if tracing() {
		slog.Debug("attempt_started", "request", r.ask.ID, "number", number, "host", h.id, "left_ms", (r.deadline-now)/1e6)
	}
	a.timer = c.loop.After(time.Duration(until-now), func() { a.finish(balancer.Timeout, netio.Ended) })
	a.limitRepeat()
	a.dial()
}

// dial connects to the host's present endpoint, within what is left of the connect limit.
func (a *upstreamRequest) dial() {
	c := a.req.core
	now := c.loop.Now()
	left := min(a.sentAt+c.opt.Settings.ConnectTimeout, a.until) - now
	a.conn = c.starter.Start(Target{a.host.id, a.host.zone, a.host.endpoint}, a.req.first, a.until, time.Duration(max(left, 1)), a)
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
	r.rec.Resumed, r.rec.Attempts = true, math.MaxInt
	if rule := r.rec.Begin(c.loop.Now(), h.place()); rule != invariant.None {
		r.heldBack(rule, h)
		r.fail(metrics.Failed)
		return
	}
	r.start(h, 0, r.deadline)
}

// detach takes the attempt off its host and its request; the connection is the caller's to end.
func (a *upstreamRequest) detach() bool {
	if a.req.out != a {
		return false
	}
	a.timer.Stop()
	a.repeatTimer.Stop()
	a.req.out = nil
	delete(a.host.trying, a)
	delete(a.host.up, a.req)
	return true
}

// finish ends an attempt that has not come up, closing its connection before the module can begin another.
func (a *upstreamRequest) finish(status balancer.AttemptStatus, cause netio.Cause) {
	if !a.detach() {
		return
	}
	a.conn.End(cause)
	a.outcome(status)
}

// outcome tells the module how the attempt ended.
func (a *upstreamRequest) outcome(status balancer.AttemptStatus) {
	r, c := a.req, a.req.core
	elapsed := c.loop.Now() - a.sentAt
	r.rec.Ended(status.ProvesNotRun())
	if tracing() {
		slog.Debug("attempt_ended", "request", r.ask.ID, "number", a.number, "host", a.host.id, "status", status.String(),
			"up", a.up, "ms", elapsed/1e6)
	}
	if r.adopted && !a.up {
		if r.answered {
			r.forget()
			return
		}
		if status.ProvesNotRun() && c.loop.Now()+int64(adoptRetry) < r.deadline {
			c.loop.After(adoptRetry, func() {
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
	closed := r.answered || a.up
	c.tell(r, r.pool, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, r.ask.ID, a.number, status, elapsed, closed, a.report)
	})
	if closed {
		r.forget()
	}
}

// forget drops a request that is answered and has nothing out any more.
func (r *Request) forget() {
	r.answered = true
	r.overdue.Stop()
	if r.out == nil && r.core.requests[r.ask.ID] == r {
		delete(r.core.requests, r.ask.ID)
		r.free()
	}
}
