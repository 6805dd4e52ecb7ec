package proxy

import "time"

// Pacer tells how many clients may be sent away now, where a fleet goes by one pace. then is called on the loop.
type Pacer interface {
	May(want int, then func(n int))
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
	if c.pacer == nil || c.leaving || len(c.turns) >= mostPaced {
		send()
		return
	}
	c.turns = append(c.turns, send)
	c.takeTurns()
}

func (c *Core) takeTurns() {
	if c.asking || len(c.turns) == 0 {
		return
	}
	c.asking = true
	c.pacer.May(len(c.turns), func(n int) {
		c.asking = false
		for n > 0 && len(c.turns) > 0 {
			send := c.turns[0]
			c.turns = c.turns[1:]
			if send() {
				n--
			}
		}
		if len(c.turns) > 0 {
			c.loop.After(pacedEvery, c.takeTurns)
		}
	})
}
