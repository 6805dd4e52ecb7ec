package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/certexpiry"
)

// startExpiryMigrations begins to migrate connections before one of their certificates ends, where the operators want it.
func (c *Core) startExpiryMigrations() {
	if !c.opt.Expiry.MigrationEnabled {
		return
	}
	c.expiry = certexpiry.New(c.opt.Expiry)
	c.loop.After(certexpiry.PlanInterval, c.migrateExpiring)
}

// migrateExpiring migrates the connections whose certificate is about to end, at the planner's pace. Their clients come again by
// themselves and are placed again.
func (c *Core) migrateExpiring() {
	c.loop.After(certexpiry.PlanInterval, c.migrateExpiring)
	if c.shuttingDown {
		return // all are being migrated
	}
	open, firstEnd := c.certificateEnds()
	due := c.expiry.Plan(c.loop.Now(), c.opt.Wall(), open)
	for _, id := range due {
		c.counters.expiring++
		r := c.requests[id]
		c.migrations.submit(func() bool { return c.migrateIfOpen(id, r) })
	}
	if len(due) > 0 {
		slog.Info("expiring_migrated", "connections", len(due), "open", len(open), "first_ends", firstEnd.UTC().Format(time.RFC3339))
	}
}

// certificateEnds lists the open connections with the end of their first certificate, and the first of these ends; zero: there is none.
func (c *Core) certificateEnds() (open []certexpiry.Conn, first time.Time) {
	open = make([]certexpiry.Conn, 0, len(c.requests))
	for id, r := range c.requests {
		if !r.isOpen() {
			continue
		}
		conn := certexpiry.Conn{ID: id}
		if expiring, ok := r.attempt.conn.(Expiring); ok {
			conn.NotAfter = expiring.Expires()
		}
		if !conn.NotAfter.IsZero() && (first.IsZero() || conn.NotAfter.Before(first)) {
			first = conn.NotAfter
		}
		open = append(open, conn)
	}
	return open, first
}

// migrateIfOpen migrates a request's client if that request is still there.
func (c *Core) migrateIfOpen(id string, r *Request) bool {
	if c.requests[id] != r {
		return false
	}
	r.migrate(balancer.Cancelled)
	return true
}
