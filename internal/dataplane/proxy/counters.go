package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/metrics"
)

// countsInterval is the interval at which the counters are logged.
const countsInterval = 10 * time.Second

// counters counts the core's activity: since the last log record, and as metrics since the start of
// the process.
type counters struct {
	activity
	loggedAt int64 // loop time of the last log record, in nanoseconds
	metrics  *metrics.Table
}

// activity counts events since the last log record.
type activity struct {
	opened, served, rejected, failed, invalid, migrated, lost int

	expiring                               int // those of migrated whose certificate was about to expire
	overCapacity                           int // downstreams rejected because no file descriptor was free
	handedOver, resumed                    int // open connections handed to, and taken over from, another process
	peerMessagesSent, peerMessagesReceived int
	healthChecks                           int
}

// logCountsIfDue logs and resets the activity counters once per countsInterval. The key rejected
// counts requests, and over_capacity counts downstreams for which no descriptor was free;
// invalid_requests is included in neither.
func (c *Core) logCountsIfDue(now int64) {
	if now-c.counters.loggedAt < int64(countsInterval) {
		return
	}
	c.counters.loggedAt = now
	n := c.counters.activity
	if n == (activity{}) {
		return // an idle proxy logs nothing
	}
	open, pending := c.countRequests()
	slog.Info("counts", "open", open, "pending", pending, "downstreams", c.admission.downstreams, "opened", n.opened,
		"served", n.served, "rejected", n.rejected, "failed", n.failed, "invalid_requests", n.invalid, "migrated", n.migrated,
		"lost", n.lost, "over_capacity", n.overCapacity, "expiring", n.expiring, "handed_over", n.handedOver, "resumed", n.resumed,
		"peer_messages_sent", n.peerMessagesSent, "peer_messages_received", n.peerMessagesReceived, "health_checks", n.healthChecks)
	c.counters.activity = activity{}
	if broken, blocked := c.monitor.Counts.Sum(); broken+blocked > 0 {
		slog.Warn("invariant_counts", "broken", broken, "blocked", blocked)
	}
}

// countEnd counts the end of a request that was not accepted in the metrics of its class. Unknown
// classes have no metrics.
func (c *Core) countEnd(class string, e metrics.End) {
	if i, known := c.names.classes[class]; known {
		c.counters.metrics.CountEnd(i, e)
	}
}

// Metrics returns all metrics as text.
func (c *Core) Metrics() []byte {
	open, pending := c.countRequests()
	gauges := metrics.Gauges{Concurrent: open + pending}
	now := c.loop.Now()
	for id, h := range c.hosts.byID {
		if h.state == balancer.Removed {
			continue
		}
		gauges.Hosts++
		if c.hosts.suspensions.Suspended(id) || h.pool != nil && h.pool.balancer.Ejected(now, id) {
			gauges.Disabled++
		}
	}
	return c.counters.metrics.Text(gauges)
}
