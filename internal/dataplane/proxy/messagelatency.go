package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
)

const (
	// monitorInterval is how often open connections are checked for silent and slow hosts.
	monitorInterval = 250 * time.Millisecond
	// hostSilenceTimeout is how long a client's line may go unanswered before its host counts as silent. A silent
	// host must be left within 7 s: 2 s until a client's next line + 4.5 s + 0.25 s between checks.
	hostSilenceTimeout = 4500 * time.Millisecond
	// maxUnansweredLines bounds how many unanswered lines are remembered for one connection.
	maxUnansweredLines = 16
	// latencyReportInterval is how often, in nanoseconds, the decision module is notified of a slow host.
	latencyReportInterval = int64(time.Second)
	// slowShare: a host is slow when messages take longer than one part in so many of the shortest message latency objective.
	slowObjectiveDivisor = 3
)

// messageLatency is how long messages take at one host, as measured on all its connections from this proxy. Times are in nanoseconds.
type messageLatency struct {
	lastLatency    int64 // of the last line that was answered
	lastAt         int64 // when that was
	oldestSent     int64 // when the oldest line without an answer was sent; 0: none
	reportedAt     int64
	reportedAsSlow bool
}

// answered records a line sent at sent whose answer has come now.
func (l *messageLatency) recordAnswer(now, sent int64) { l.lastLatency, l.lastAt = now-sent, now }

// noteUnanswered records a line that waits for its answer.
func (l *messageLatency) recordUnanswered(sent int64) {
	if l.oldestSent == 0 || sent < l.oldestSent {
		l.oldestSent = sent
	}
}

// current is how long messages take now: the last answer where it is recent, or the wait of the oldest line if that is longer.
func (l *messageLatency) current(now int64) (latency int64) {
	if now-l.lastAt < 2*latencyReportInterval {
		latency = l.lastLatency
	}
	if l.oldestSent > 0 {
		latency = max(latency, now-l.oldestSent)
	}
	return latency
}

// due reports whether to report a latency: once an interval while it is above the threshold, and once more when it is back under.
func (l *messageLatency) shouldReport(now, latency, threshold int64) bool {
	slow := latency > threshold
	if !slow && !l.reportedAsSlow {
		return false
	}
	l.reportedAsSlow, l.reportedAt = slow, now
	return true
}

// monitorEstablished looks for hosts that have fallen silent, and reports slow ones to the decision module.
func (c *Core) monitorEstablished() {
	c.loop.After(monitorInterval, c.monitorEstablished)
	now := c.loop.Now()
	c.logCountsIfDue(now)
	for _, h := range c.hosts.byID {
		c.checkUnanswered(h, now)
		c.reportLatency(h, now)
	}
}

// checkUnanswered migrates the clients whose lines a host leaves unanswered for too long, and notes the oldest of the others.
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
		// The machine has vanished or hangs, and TCP does not say so. The client must not wait for it.
		slog.Warn("host_silent", "host", h.hostID, "request", r.attributes.ID, "ms", (now-sent)/1e6)
		c.counters.lost++
		r.migrate(balancer.Reset)
	}
}

// reportLatency notifies the decision module of how long messages take at a slow host, as one observation on any of its connections.
func (c *Core) reportLatency(h *host, now int64) {
	objective := c.shortestMessageObjective()
	l := &h.latency
	if objective == 0 || len(h.established) == 0 || now-l.reportedAt < latencyReportInterval {
		return
	}
	if h.loadFigures.inDelayRun(now) {
		return // the host reports it itself, and knows better
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

// shortestMessageObjective is the shortest message latency objective of all classes, in nanoseconds; 0: none has one.
func (c *Core) shortestMessageObjective() (shortest int64) {
	for _, class := range c.opt.Settings.Classes {
		if class.MessageLatencyObjective > 0 && (shortest == 0 || class.MessageLatencyObjective < shortest) {
			shortest = class.MessageLatencyObjective
		}
	}
	return shortest
}
