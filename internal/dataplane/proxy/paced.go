package proxy

import "time"

// Pacer tells how many clients may be sent away now, where a fleet goes by one pace. then is called on the loop.
type Pacer interface {
	RequestMigrations(want int, then func(n int))
}

const (
	// pacedEvery is how often clients that wait to be sent away ask again, and mostPaced how many may wait; beyond that they go at once, as
	// without a pace: a proxy's descriptors bound it in any case.
	pacedEvery = 100 * time.Millisecond
	mostPaced  = 4096
)

// SetPacer has clients that operators' words and certificates send away leave at the fleet's pace. Those that leave because the process ends, or
// because their host does not answer, never wait for it.
func (c *Core) SetPacer(p Pacer) { c.pacer = p }

// paced sends a client away in its turn. send tells whether there was still one to send.
func (c *Core) paced(send func() bool) {
	if c.pacer == nil || c.leaving || len(c.pacedMoves) >= mostPaced {
		send()
		return
	}
	c.pacedMoves = append(c.pacedMoves, send)
	c.takeTurns()
}

func (c *Core) takeTurns() {
	if c.pacerAsked || len(c.pacedMoves) == 0 {
		return
	}
	c.pacerAsked = true
	c.pacer.RequestMigrations(len(c.pacedMoves), func(n int) {
		c.pacerAsked = false
		for n > 0 && len(c.pacedMoves) > 0 {
			send := c.pacedMoves[0]
			c.pacedMoves = c.pacedMoves[1:]
			if send() {
				n--
			}
		}
		if len(c.pacedMoves) > 0 {
			c.loop.After(pacedEvery, c.takeTurns)
		}
	})
}
