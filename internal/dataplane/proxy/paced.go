package proxy

import "time"

// Pacer tells how many clients may be sent away now, where a fleet goes by one pace. then is called on the loop.
type Pacer interface {
	RequestMigrations(want int, then func(n int))
}

const (
	// pacerInterval is how often clients that wait to be sent away ask again, and mostPaced how many may wait; beyond that they go at once, as
	// without a pace: a proxy's descriptors bound it in any case.
	pacerInterval        = 100 * time.Millisecond
	maxPendingMigrations = 4096
)

// SetPacer has clients that operators' words and certificates send away leave at the fleet's pace. Those that leave because the process ends, or
// because their host does not answer, never wait for it.
func (c *Core) SetPacer(p Pacer) { c.pacer = p }

// migratePaced sends a client away in its turn. send tells whether there was still one to send.
func (c *Core) migratePaced(send func() bool) {
	if c.pacer == nil || c.shuttingDown || len(c.pendingMigrations) >= maxPendingMigrations {
		send()
		return
	}
	c.pendingMigrations = append(c.pendingMigrations, send)
	c.requestMigrations()
}

func (c *Core) requestMigrations() {
	if c.migrationsRequested || len(c.pendingMigrations) == 0 {
		return
	}
	c.migrationsRequested = true
	c.pacer.RequestMigrations(len(c.pendingMigrations), func(n int) {
		c.migrationsRequested = false
		for n > 0 && len(c.pendingMigrations) > 0 {
			send := c.pendingMigrations[0]
			c.pendingMigrations = c.pendingMigrations[1:]
			if send() {
				n--
			}
		}
		if len(c.pendingMigrations) > 0 {
			c.loop.After(pacerInterval, c.requestMigrations)
		}
	})
}
