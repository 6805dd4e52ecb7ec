package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/certexpiry"
)

// startExpiryMigrations schedules migrateExpiring, which migrates connections before one of their
// certificates expires, if the settings enable it.
func (c *Core) startExpiryMigrations() {
	if !c.opt.Expiry.MigrationEnabled {
		return
	}
	c.expiry = certexpiry.New(c.opt.Expiry)
	c.loop.After(certexpiry.PlanInterval, c.migrateExpiring)
}

// migrateExpiring migrates the connections that the planner selects because one of their
// certificates expires soon. It runs once every certexpiry.PlanInterval. Their clients reconnect by
// themselves, and the balancer places them again.
func (c *Core) migrateExpiring() {
	c.loop.After(certexpiry.PlanInterval, c.migrateExpiring)
	if c.shuttingDown {
		return // the shutdown migrates all connections
	}
	open, firstExpiry := c.certificateExpiries()
	due := c.expiry.Plan(c.loop.Now(), c.opt.WallClock(), open)
	for _, id := range due {
		c.counters.expiring++
		r := c.requests[id]
		c.migrations.submit(func() bool { return c.migrateIfOpen(id, r) })
	}
	if len(due) > 0 {
		slog.Info("expiring_migrated", "connections", len(due), "open", len(open), "first_ends", firstExpiry.UTC().Format(time.RFC3339))
	}
}

// certificateExpiries returns the open connections, each with the time at which the first of its
// certificates expires, and the earliest of these times, which is zero if no connection uses a
// certificate.
func (c *Core) certificateExpiries() (open []certexpiry.Conn, firstExpiry time.Time) {
	open = make([]certexpiry.Conn, 0, len(c.requests))
	for id, r := range c.requests {
		if !r.isOpen() {
			continue
		}
		conn := certexpiry.Conn{ID: id}
		if expiring, ok := r.attempt.conn.(Expiring); ok {
			conn.NotAfter = expiring.Expires()
		}
		if !conn.NotAfter.IsZero() && (firstExpiry.IsZero() || conn.NotAfter.Before(firstExpiry)) {
			firstExpiry = conn.NotAfter
		}
		open = append(open, conn)
	}
	return open, firstExpiry
}

// migrateIfOpen migrates the client of r if r is still the request with this ID, and reports
// whether it is.
func (c *Core) migrateIfOpen(id string, r *Request) bool {
	if c.requests[id] != r {
		return false
	}
	r.migrate(balancer.Cancelled)
	return true
}
