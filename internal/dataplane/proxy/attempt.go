package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/invariant"
	"croftlock/internal/dataplane/netio"
)

// upstreamRequest is one attempt to serve a request and, once established, the open connection to
// the host.
type upstreamRequest struct {
	request   *Request
	number    int // index among the request's attempts in its present pool (subset of hosts), from 0
	host      *host
	conn      Upstream
	startedAt int64 // ns of the loop's time; for a connection that was handed over, when this process resumed it
	deadline  int64 // ns of the loop's time, at which the wait for the host's answer ends

	timeoutTimer *netio.Timer // ends the attempt at its deadline
	// retryWindowTimer ends a retry that is not written within the dedup window. It is nil if the
	// attempt is not a retry or there is no such window.
	retryWindowTimer *netio.Timer

	established  bool
	finalKind    MessageKind // Finished or MigrateClient once the host has sent it, PlainMessage before
	loadReport   []float64   // the load report of the host's answer or last message, in the settings' order of fields; may be nil
	load         float64     // the connection's load in µs of work per second, as the host last reported it; 0 if unknown
	previousLoad float64     // µs of work per second, the load reported before that; 0 if unknown
	// unansweredSince holds the times, in nanoseconds, at which the client's unanswered lines were
	// sent to the host: the oldest first, and at most maxUnansweredLines.
	unansweredSince []int64
}

// startAttempt begins an attempt at the host that a pool's balancer has chosen, unless a rule
// forbids it. timeout limits, in nanoseconds, the wait for the host's answer; if it is 0, only the
// request's deadline does. startAttempt does nothing if the request has ended or belongs to another
// pool by now. If it begins no attempt for another reason, it notifies the balancer.
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
	// The balancer applies these rules too; this check guards against faults of the balancer.
	if rule := r.record.CheckAttempt(now, h.invariantHost()); rule != invariant.None {
		r.notifyNotBegun(number, r.attemptBlocked(rule, h), r.answered)
		return
	}
	verdict, result := c.recheckRules(r, h)
	switch result {
	case rulesReject:
		r.rejectOrFail(verdict.RetryAfter, forbiddenByRules)
		r.notifyNotBegun(number, balancer.TooLate, func() bool { return true })
	case rulesOtherPool:
		c.placeInPool(r, number, c.choosePool(verdict.Pools))
	case rulesOtherHost:
		r.notifyNotBegun(number, balancer.Full, func() bool { return false })
	case rulesAgree:
		r.beginAttempt(h, number, deadline)
	}
}

// attemptDeadline returns the time at which the wait for the answer to an attempt that begins now
// ends. A zero timeout means the request's deadline.
func (r *Request) attemptDeadline(now int64, timeout balancer.Time) int64 {
	if timeout == 0 {
		return r.deadline
	}
	return min(r.deadline, now+timeout)
}

// notifyNotBegun notifies the balancer that an attempt was not begun. It calls isClosed, which
// reports whether the request is over, when the balancer handles the event.
func (r *Request) notifyNotBegun(number int, status balancer.AttemptStatus, isClosed func() bool) {
	r.core.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, balancer.AttemptResult{RequestID: r.attributes.ID, Attempt: number, Status: status, Closed: isClosed()})
	})
}

// attemptBlocked logs that a rule forbids an attempt, and returns the status with which the attempt
// ends: TooLate for the rules that have no status of their own.
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

// beginAttempt begins an attempt that no rule forbids. deadline is the time, in nanoseconds, at
// which the wait for the host's answer ends.
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

// dial connects to the host's present address within the rest of the connect timeout.
func (a *upstreamRequest) dial() {
	c := a.request.core
	now := c.loop.Now()
	remaining := min(a.startedAt+c.opt.Settings.ConnectTimeout, a.deadline) - now
	a.conn = c.connector.Start(a.host.target(), a.request.requestLine, a.deadline, time.Duration(max(remaining, 1)), a)
}

// lineUnsent reports whether the attempt's first line is not completely written yet, so that its
// host cannot have acted on it.
func (a *upstreamRequest) lineUnsent() bool { return a.conn.Stage() < netio.Sent }

// detach stops the attempt's timers and removes it from its host and its request. It reports
// whether the attempt was still attached. The caller ends the connection.
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

// finish ends an attempt that is not established, unless it has ended. cause is that of Upstream.End;
// netio.Ended closes the connection in order. finish closes the connection before it notifies the
// balancer, which may then begin another attempt.
func (a *upstreamRequest) finish(status balancer.AttemptStatus, cause netio.Cause) {
	if !a.detach() {
		return
	}
	a.conn.End(cause)
	a.notifyEnded(status)
}

// notifyEnded notifies the balancer that the attempt or the open connection ended with status. The
// balancer does not know the attempts of an adopted request, whose connection was open before this
// proxy's start, so adoptionEnded handles those.
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
	isClosed := r.answered() || a.established
	c.notify(r, r.pool, func(now balancer.Time, m Balancer) {
		m.AttemptEnded(now, balancer.AttemptResult{RequestID: r.attributes.ID, Attempt: a.number, Status: status, Elapsed: elapsed, Closed: isClosed, Load: a.loadReport})
	})
	if isClosed {
		r.removeIfDone()
	}
}
