package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
)

// checkHost polls a host for its load, for a pool's balancer. One that takes nothing new, and one that is not known any more, is left
// alone.
func (c *Core) checkHost(p *pool, id string) {
	began := c.loop.Now()
	done := func(status balancer.AttemptStatus, load []float64) { c.hostChecked(p, id, began, status, load) }
	h := c.hosts.byID[id]
	if c.healthChecker == nil || h == nil || h.state != balancer.Ready {
		done(balancer.TooLate, nil)
		return
	}
	c.counters.healthChecks++
	c.healthChecker.Check(h.target(), done)
}

// hostChecked notes what a host says of its load, and notifies the balancer.
func (c *Core) hostChecked(p *pool, id string, began balancer.Time, status balancer.AttemptStatus, load []float64) {
	if h, i := c.hosts.byID[id], c.opt.Settings.LoadField; h != nil && i >= 0 && i < len(load) && load[i] >= 0 {
		h.checkedLoad, h.checkedAt = load[i], c.loop.Now()
	}
	if tracing() {
		slog.Debug("health_checked", "host", id, "status", status.String(), "load", load, "ms", (c.loop.Now()-began)/1e6)
	}
	c.notify(nil, p, func(now balancer.Time, m Balancer) { m.HealthCheckEnded(now, id, status, load) })
}
