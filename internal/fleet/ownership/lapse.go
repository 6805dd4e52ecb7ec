package ownership

import (
	"croftlock/internal/fleet/encoding"
)

// lapse stops everything once the lease has ended.
func (c *Core) lapse() {
	if c.now < c.until {
		return
	}
	for _, job := range c.jobs() {
		if h := c.held[job]; !h.released {
			c.stop(job, h, "the lease ended")
		}
	}
}

// Holds tells whether this process may act as a job's owner, now, under a token. It may sleep right after it has asked: the receivers'
// fences are for that.
func (c *Core) Holds(now Time, job string, token uint64) bool {
	c.now = max(c.now, now)
	h := c.held[job]
	return h != nil && !h.released && h.token == token && c.now < c.until
}

// stop ends a job here. What it leaves is told to the coordinator until that has it.
func (c *Core) stop(job string, h *held, why string) {
	h.released, h.why = true, why
	h.number, h.left = c.fx.Stop(job, h.token, why)
	c.tellReleased(job, h)
}

func (c *Core) tellReleased(job string, h *held) {
	h.toldAt = c.now
	if c.leader == 0 {
		return
	}
	var w encoding.Writer
	c.send(c.leader, w.Uint(msgReleased).Text(c.cfg.Name).Uint(c.cfg.Incarnation).Bool(c.fit()).Text(job).Uint(h.token).Uint(h.raise).Uint(h.number).Bytes(h.left).Text(h.why).Data)
}
