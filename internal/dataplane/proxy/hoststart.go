package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
)

// minClockOffset is how far, in nanoseconds, the system's clock must be from this process's own to count as having been set.
const minClockOffset = minClockStep

// startClock converts the starts of hosts, which discovery gives in the system's time, to this process's clock, which began at the system's time
// and is not set.
type startClock struct {
	now  func() balancer.Time
	wall func() time.Time // nil: the process's clock counts as the system's
}

// hostStart is when a host started, on this process's clock.
//
// Where the system's clock has been set since, starts are off by as much, and a warming host that counts as warm is overloaded. Where the clock
// was set here, it may have been set at the host too or not: of the two moments that a start can mean the later one counts that is not in the
// future. A start that is in the future by both is now.
func (c startClock) hostStart(listed balancer.Time) balancer.Time {
	now := c.now()
	if listed == 0 {
		return 0
	}
	startedAt := listed
	if offset := c.offset(now); offset != 0 {
		if converted := listed - offset; converted <= now && (converted > startedAt || startedAt > now) {
			startedAt = converted
		}
	}
	if startedAt > now {
		slog.Debug("host_start_in_future", "ms", (startedAt-now)/1e6)
		return now
	}
	return startedAt
}

// offset is by how much the system's clock has been set since the start of this process, in nanoseconds; 0: not at all.
func (c startClock) offset(now balancer.Time) balancer.Time {
	if c.wall == nil {
		return 0
	}
	offset := c.wall().UnixNano() - now
	if offset > -minClockOffset && offset < minClockOffset {
		return 0
	}
	return offset
}
