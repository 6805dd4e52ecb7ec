package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/certexpiry"
)

// migrateExpiring moves the connections whose certificate is about to end, at the planner's pace. Their clients come again
// by themselves and are placed anew.
func (c *Core) migrateExpiring() {
	c.loop.After(certexpiry.Every, c.migrateExpiring)
	if c.shuttingDown {
		return // all are being moved
	}
	standing := make([]certexpiry.Conn, 0, len(c.requests))
	first := time.Time{}
	for id, r := range c.requests {
		if a := r.attempt; a != nil && a.established {
			x := certexpiry.Conn{ID: id}
			if e, ok := a.conn.(Expiring); ok {
				x.Ends = e.Expires()
			}
			if !x.Ends.IsZero() && (first.IsZero() || x.Ends.Before(first)) {
				first = x.Ends
			}
			standing = append(standing, x)
		}
	}
	move := c.expiryPlanner.Plan(c.loop.Now(), c.opt.Wall(), standing)
	for _, id := range move {
		c.counters.expiring++
		r := c.requests[id]
		c.migratePaced(func() bool {
			there := c.requests[id] == r
			if there {
				r.migrate(balancer.Cancelled)
			}
			return there
		})
	}
	if len(move) > 0 {
		slog.Info("expiring_migrated", "connections", len(move), "standing", len(standing), "first_ends", first.UTC().Format(time.RFC3339))
	}
}
