package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
)

const (
	// monitorInterval is the interval at which open connections are checked for silent and slow
	// hosts.
	monitorInterval = 250 * time.Millisecond
	// hostSilenceTimeout is how long a client's line may go unanswered before its host counts as
	// silent. Clients must leave a silent host within 7 s: 2 s until a client's next line + 4.5 s +
	// 0.25 s between checks (monitorInterval).
	hostSilenceTimeout = 4500 * time.Millisecond
	// maxUnansweredLines is the maximum number of unanswered lines that are tracked for one
	// connection.
	maxUnansweredLines = 16
	// latencyReportInterval is the interval, in nanoseconds, at which the decision module is
	// notified of a slow host.
	latencyReportInterval = int64(time.Second)
	// slowObjectiveDivisor defines a slow host: its messages take longer than the shortest message
	// latency objective of all classes, divided by slowObjectiveDivisor.
	slowObjectiveDivisor = 3
)

// messageLatency tracks how long messages take at one host, on all its connections from this proxy.
// Times are in nanoseconds.
type messageLatency struct {
	lastLatency    int64 // time from sending the last answered line to its answer
	lastAnswerAt   int64 // when that answer came; 0 if there was none
	oldestSent     int64 // when the oldest unanswered line was sent; 0 if there is none
	reportedAt     int64 // when a latency was last reported to the decision module; 0 if never
	reportedAsSlow bool  // the last report was of a slow host
}

// recordAnswer records that a client's line, sent to the host at time sent, is answered at time now.
func (l *messageLatency) recordAnswer(now, sent int64) { l.lastLatency, l.lastAnswerAt = now-sent, now }

// recordUnanswered records that a client's line that was sent to the host at time sent is unanswered.
func (l *messageLatency) recordUnanswered(sent int64) {
	if l.oldestSent == 0 || sent < l.oldestSent {
		l.oldestSent = sent
	}
}

// current returns how long messages take now: the latency of the last answer if that came within two
// report intervals, or how long the oldest unanswered line has waited if that is longer. It returns 0
// if there is neither.
func (l *messageLatency) current(now int64) (latency int64) {
	if now-l.lastAnswerAt < 2*latencyReportInterval {
		latency = l.lastLatency
	}
	if l.oldestSent > 0 {
		latency = max(latency, now-l.oldestSent)
	}
	return latency
}

// shouldReport reports whether to report a latency: while the latency is above the threshold, and
// once more when it no longer is. If shouldReport returns true, it records a report at time now.
func (l *messageLatency) shouldReport(now, latency, threshold int64) bool {
	slow := latency > threshold
	if !slow && !l.reportedAsSlow {
		return false
	}
	l.reportedAsSlow, l.reportedAt = slow, now
	return true
}

// monitorEstablished migrates clients off silent hosts and reports slow hosts to the decision
// module. It runs every monitorInterval and also logs the counters when they are due.
func (c *Core) monitorEstablished() {
	c.loop.After(monitorInterval, c.monitorEstablished)
	now := c.loop.Now()
	c.logCountsIfDue(now)
	for _, h := range c.hosts.byID {
		c.checkUnanswered(h, now)
		c.reportLatency(h, now)
	}
}

// checkUnanswered migrates each client of h whose oldest unanswered line was sent at least
// hostSilenceTimeout ago, and records when the oldest unanswered line of the others was sent.
func (c *Core) checkUnanswered(h *host, now int64) {
	h.latency.oldestSent = 0
	for r := range h.established {
		a := r.attempt
		if len(a.unansweredSince) == 0 {
			continue
		}
		sent := a.unansweredSince[0]
		if now-sent < int64(hostSilenceTimeout) {
			h.latency.recordUnanswered(sent)
			continue
		}
		// The host's machine is gone or hangs without an error from TCP. The client must not wait
		// for it.
		slog.Warn("host_silent", "host", h.hostID, "request", r.attributes.ID, "ms", (now-sent)/1e6)
		c.counters.lost++
		r.migrate(balancer.Reset)
	}
}

// reportLatency notifies the decision module of how long messages take at a slow host, and once
// more when the host is no longer slow. It reports one observation on any of the host's
// connections, at most once per latencyReportInterval, and none if no class has a message latency
// objective.
func (c *Core) reportLatency(h *host, now int64) {
	objective := c.shortestMessageObjective()
	l := &h.latency
	if objective == 0 || len(h.established) == 0 || now-l.reportedAt < latencyReportInterval {
		return
	}
	if h.loadFigures.inDelayRun(now) {
		return // the host reports its delay itself, and more accurately
	}
	latency := l.current(now)
	if !l.shouldReport(now, latency, objective/slowObjectiveDivisor) {
		return
	}
	for r := range h.established {
		a := r.attempt
		c.notify(nil, r.pool, func(now balancer.Time, m Balancer) {
			m.Observe(now, r.attributes.ID, a.number, balancer.ObservedLatency, float64(latency)/1e6)
		})
		return
	}
}

// shortestMessageObjective returns the shortest message latency objective of all classes, in
// nanoseconds, or 0 if no class has one.
func (c *Core) shortestMessageObjective() (shortest int64) {
	for _, class := range c.opt.Settings.Classes {
		if class.MessageLatencyObjective > 0 && (shortest == 0 || class.MessageLatencyObjective < shortest) {
			shortest = class.MessageLatencyObjective
		}
	}
	return shortest
}
