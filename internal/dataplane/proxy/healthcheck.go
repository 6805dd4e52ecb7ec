package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
)

// checkHost polls a host for its load on behalf of a pool's balancer, and reports the result to the
// balancer. It reports the status TooLate without a poll if the settings do not permit health
// checks, or if the host is unknown or not ready.
func (c *Core) checkHost(p *pool, id string) {
	startedAt := c.loop.Now()
	done := func(status balancer.AttemptStatus, load []float64) { c.healthCheckDone(p, id, startedAt, status, load) }
	h := c.hosts.byID[id]
	if c.healthChecker == nil || h == nil || h.state != balancer.Ready {
		done(balancer.TooLate, nil)
		return
	}
	c.counters.healthChecks++
	c.healthChecker.Check(h.target(), done)
}

// healthCheckDone records the host's load, if the health check returned one, and notifies the
// balancer of the result. load has the values of the load report's fields, in the settings' order, or is
// nil. The value with the index LoadField is the host's load divided by the host's capacity. A negative
// LoadField means that no field holds the load; a negative value is not recorded.
func (c *Core) healthCheckDone(p *pool, id string, startedAt balancer.Time, status balancer.AttemptStatus, load []float64) {
	if h, field := c.hosts.byID[id], c.opt.Settings.LoadField; h != nil && field >= 0 && field < len(load) && load[field] >= 0 {
		h.checkedLoad, h.checkedAt = load[field], c.loop.Now()
	}
	if tracing() {
		slog.Debug("health_checked", "host", id, "status", status.String(), "load", load, "ms", (c.loop.Now()-startedAt)/1e6)
	}
	c.notify(nil, p, func(now balancer.Time, m Balancer) { m.HealthCheckEnded(now, id, status, load) })
}
