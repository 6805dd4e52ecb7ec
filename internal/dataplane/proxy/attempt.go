package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// upstreamRequest is one attempt to serve a request, and once it is established the open connection to the host.
type upstreamRequest struct {
	request   *Request
	number    int // as its pool's balancer counts the request's attempts
	host      *host
	conn      Upstream
	startedAt int64 // ns
	deadline  int64 // ns, until when the host's answer is waited for

	timeoutTimer     *netio.Timer
	retryWindowTimer *netio.Timer // ends a retry that is not written within the dedup window; nil: no retry, or no such window

	established     bool
	finalKind       MessageKind // Finished or MigrateClient once the host has said so
	loadReport      []float64   // that came with its answer or its end, in the settings' order of fields; nil: none
	load            float64     // µs/s, as the host last reported it; 0: not known
	previousLoad    float64     // the one before that
	unansweredSince []int64     // ns, when the client's lines were sent that no line has come back for
}

// startAttempt begins an attempt at a host at the wish of a pool's balancer, if no rule forbids it. timeout bounds its answer, in
// nanoseconds; 0: only the request's deadline does.
func (c *Core) startAttempt(p *pool, id, hostID string, timeout balancer.Time) {
	r := c.requests[id]
	if r == nil || r.pool != p {
		return
	}
	number := r.attempts - r.attemptsInEarlierPools
	r.attempts++
	now := c.loop.Now()
	deadline := r.attemptDeadline(now, timeout)
	h := c.hosts.byID[hostID]
	if h == nil || r.attempts > c.opt.Settings.MaxAttempts {
		r.notifyNotBegun(number, balancer.TooLate, r.answered)
		return
	}
	// The balancer goes by the rules as well; this is the check of it.
	if rule := r.record.CheckAttempt(now, h.invariantHost()); rule != invariant.None {
		r.notifyNotBegun(number, r.attemptBlocked(rule, h), r.answered)
		return
	}
	verdict, found := c.recheckRules(r, h)
	switch found {
	case rulesReject:
		r.rejectOrFail(verdict.Advice, forbiddenByRules)
		r.notifyNotBegun(number, balancer.TooLate, func() bool { return true })
	case rulesOtherPool:
		c.placeInPool(r, number, c.choosePool(verdict.Pools))
	case rulesOtherHost:
		r.notifyNotBegun(number, balancer.Full, func() bool { return false })
	case rulesAgree:
		r.beginAttempt(h, number, deadline)
	}
}

// attemptDeadline is until when the answer of an attempt that begins now is waited for.
func (r *Request) attemptDeadline(now int64, timeout balancer.Time) int64 {
	if timeout == 0 {
		return r.deadline
	}
	return min(r.deadline, now+timeout)
}

// notifyNotBegun notifies the balancer of an attempt that was not begun. isClosed reports, once the balancer handles it, whether the request
// is over.
func (r *Request) notifyNotBegun(number int, status balancer.AttemptStatus, isClosed func() bool) {
	r.core.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, balancer.AttemptResult{RequestID: r.attributes.ID, Attempt: number, Status: status, Closed: isClosed()})
	})
}

// attemptBlocked logs that a rule forbids an attempt, and gives the status with which the attempt ends.
func (r *Request) attemptBlocked(rule invariant.Rule, h *host) balancer.AttemptStatus {
	slog.Warn("attempt_blocked", "rule", rule, "request", r.attributes.ID, "host", h.hostID)
	switch rule {
	case invariant.HostAcceptsNew:
		return balancer.Full
	case invariant.BeforeDeadline:
		return balancer.Timeout
	}
	return balancer.TooLate
}

// beginAttempt begins an attempt that no rule forbids.
func (r *Request) beginAttempt(h *host, number int, deadline int64) {
	c := r.core
	now := c.loop.Now()
	a := &upstreamRequest{request: r, number: number, host: h, startedAt: now, deadline: deadline}
	r.attempt = a
	r.record.AttemptBegan(now, h.invariantHost())
	h.pending[a] = struct{}{}
	if tracing() {
		slog.Debug("attempt_started", "request", r.attributes.ID, "number", number, "host", h.hostID, "left_ms", (r.deadline-now)/1e6)
	}
	a.timeoutTimer = c.loop.After(time.Duration(deadline-now), func() { a.finish(balancer.Timeout, netio.Ended) })
	a.startRetryWindowTimer()
	a.dial()
}

// dial connects to the host's present address, within what is left of the connect timeout.
func (a *upstreamRequest) dial() {
	c := a.request.core
	now := c.loop.Now()
	left := min(a.startedAt+c.opt.Settings.ConnectTimeout, a.deadline) - now
	a.conn = c.connector.Start(a.host.target(), a.request.requestLine, a.deadline, time.Duration(max(left, 1)), a)
}

// lineUnsent reports whether the attempt's line is not completely written yet, so that its host cannot have acted on it.
func (a *upstreamRequest) lineUnsent() bool { return a.conn.Stage() < netio.Sent }

// detach takes the attempt off its host and its request; the connection is the caller's to end. False: it was off already.
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

// finish ends an attempt that is not established, closing its connection before the balancer can begin another.
func (a *upstreamRequest) finish(status balancer.AttemptStatus, cause netio.Cause) {
	if !a.detach() {
		return
	}
	a.conn.End(cause)
	a.notifyEnded(status)
}

// notifyEnded notifies the balancer of how the attempt or the open connection ended.
func (a *upstreamRequest) notifyEnded(status balancer.AttemptStatus) {
	r, c := a.request, a.request.core
	elapsed := c.loop.Now() - a.startedAt
	r.record.AttemptEnded(status.DidNotRun())
	if tracing() {
		slog.Debug("attempt_ended", "request", r.attributes.ID, "number", a.number, "host", a.host.hostID, "status", status.String(),
			"established", a.established, "ms", elapsed/1e6)
	}
	if r.adopted && !a.established {
		a.adoptionEnded(status)
		return
	}
	over := r.answered() || a.established
	c.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, balancer.AttemptResult{RequestID: r.attributes.ID, Attempt: a.number, Status: status, Elapsed: elapsed, Closed: over, Load: a.loadReport})
	})
	if over {
		r.removeIfDone()
	}
}
