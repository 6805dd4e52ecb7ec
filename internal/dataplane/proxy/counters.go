package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/metrics"
)

// countsInterval is the interval at which the counters are logged.
const countsInterval = 10 * time.Second

// counters counts the core's activity: in activity since the counts were last logged, and in metrics
// since the start of the process.
type counters struct {
	activity
	loggedAt int64 // loop time at which the counts were last due, in nanoseconds
	metrics  *metrics.Table
}

// activity counts events since the counts were last logged.
type activity struct {
	// opened counts the calls of Core.Open, one for each well-formed first line of a client;
	// served, rejected and failed count requests that a host accepted or that were rejected or
	// failed. invalid counts client inputs that are not a valid request. migrated counts migrated
	// clients. lost counts open connections that broke or whose host was silent.
	opened, served, rejected, failed, invalid, migrated, lost int

	expiring                               int // connections selected for migration because a certificate expires
	overCapacity                           int // downstreams that Admit rejected, since each may need file descriptors
	handedOver, resumed                    int // open connections handed to, and taken over from, another process
	peerMessagesSent, peerMessagesReceived int
	healthChecks                           int // health checks started
}

// logCountsIfDue logs and resets the activity counters once per countsInterval. In the log record,
// rejected counts requests, and over_capacity counts downstreams, the clients' connections, for which
// there were not enough file descriptors; neither includes invalid_requests.
func (c *Core) logCountsIfDue(now int64) {
	if now-c.counters.loggedAt < int64(countsInterval) {
		return
	}
	c.counters.loggedAt = now
	counts := c.counters.activity
	if counts == (activity{}) {
		return // an idle proxy logs nothing
	}
	open, pending := c.countRequests()
	slog.Info("counts", "open", open, "pending", pending, "downstreams", c.admission.downstreams, "opened", counts.opened,
		"served", counts.served, "rejected", counts.rejected, "failed", counts.failed, "invalid_requests", counts.invalid, "migrated", counts.migrated,
		"lost", counts.lost, "over_capacity", counts.overCapacity, "expiring", counts.expiring, "handed_over", counts.handedOver, "resumed", counts.resumed,
		"peer_messages_sent", counts.peerMessagesSent, "peer_messages_received", counts.peerMessagesReceived, "health_checks", counts.healthChecks)
	c.counters.activity = activity{}
	if broken, blocked := c.monitor.Counts.Sum(); broken+blocked > 0 {
		slog.Warn("invariant_counts", "broken", broken, "blocked", blocked)
	}
}

// countEnd counts, in the metrics of its class, the end of a request that was not accepted. It does
// nothing if the class is unknown, because unknown classes have no metrics.
func (c *Core) countEnd(class string, end metrics.End) {
	if i, known := c.names.classes[class]; known {
		c.counters.metrics.CountEnd(i, end)
	}
}

// Metrics returns all metrics as text. Hosts that operators have suspended or the balancer has
// ejected count as disabled.
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
