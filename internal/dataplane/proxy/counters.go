package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/operations/metrics"
)

// countsInterval is how often the log sums up.
const countsInterval = 10 * time.Second

// counters are what the core has done: since it was last logged, and as metrics since the start of the process.
type counters struct {
	activity
	loggedAt int64 // ns of the loop's time
	metrics  *metrics.Table
}

// activity is what the core has done since it was last logged.
type activity struct {
	opened, served, rejected, failed, invalid, migrated, lost int

	expiring                               int // of migrated: their certificate ends
	overCapacity                           int // rejected for want of descriptors
	handedOver, resumed                    int // open connections, to another process and from one
	peerMessagesSent, peerMessagesReceived int
	healthChecks                           int
}

// logCountsIfDue logs what was done once in countsInterval. Of its keys, rejected are requests, and over_capacity are downstreams for which
// there are no descriptors; invalid_requests are in neither.
func (c *Core) logCountsIfDue(now int64) {
	if now-c.counters.loggedAt < int64(countsInterval) {
		return
	}
	c.counters.loggedAt = now
	n := c.counters.activity
	if n == (activity{}) {
		return // a proxy that did nothing logs nothing
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

// countEnd counts the end of a request that was not accepted, for a class by name; unknown classes have no metrics.
func (c *Core) countEnd(class string, e metrics.End) {
	if i, known := c.names.classes[class]; known {
		c.counters.metrics.Ended(i, e)
	}
}

// Metrics is the text of all metrics.
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
