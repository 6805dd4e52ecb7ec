package proxy

import (
	"log/slog"

	"croftlock/internal/balancer"
)

// minClockOffset is how far the system's clock must be from this process's own for it to have been set.
const minClockOffset = minClockStep

// hostStart is when a host started, on this process's clock, for a start that discovery tells in the system's time. The process's clock goes on from
// where the system's stood as it began; one that has been set since tells starts that lie before or after what they mean by as much, and a
// cold host that is taken for a warm one falls. Where the clock was set here, it may have been set at the host too or not: of the two moments
// that a start can mean the later one counts that is not still to come. What lies in the future by either has started just now.
func (c *Core) hostStart(listed balancer.Time) balancer.Time {
	now := c.loop.Now()
	if listed == 0 {
		return 0
	}
	at := listed
	if off := c.clockOffset(now); off != 0 {
		if other := listed - off; other <= now && (other > at || at > now) {
			at = other
		}
	}
	if at > now {
		slog.Debug("host_start_in_future", "ms", (at-now)/1e6)
		return now
	}
	return at
}

// clockOffset is by how much the system's clock has been set since the start of this process; 0: not at all.
func (c *Core) clockOffset(now balancer.Time) balancer.Time {
	if c.opt.Wall == nil {
		return 0
	}
	off := c.opt.Wall().UnixNano() - now
	if off > -minClockOffset && off < minClockOffset {
		return 0
	}
	return off
}

// effectiveEntry is the host as the module is to see it.
func (h *host) effectiveEntry() balancer.ListedHost {
	e := h.listed
	e.State, e.StartedAt = h.state, h.startedAt
	return e
}
