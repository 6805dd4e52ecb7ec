package proxy

import (
	"log/slog"
	"time"

	"croftlock/internal/balancer"
)

// minClockOffset is the minimum difference, in nanoseconds, between the system's clock and this
// process's clock that counts as a step of the system's clock.
const minClockOffset = minClockStep

// startClock converts the starts of hosts, which the discovery service reports in the system's time, to this
// process's clock. This process's clock starts at the system's time and does not change when the
// system's clock is set.
type startClock struct {
	now       func() balancer.Time // this process's clock, in Unix nanoseconds
	wallClock func() time.Time     // nil if the system's clock is taken to equal the process's clock
}

// hostStart returns when a host started, on this process's clock. A zero listed start stays zero.
//
// If the system's clock was set after the start of this process, listed starts are off by the same
// amount. A host that is still warming up and is taken for warm gets overloaded. The clock of the
// host may have been set as well or not, so a start has two possible meanings: hostStart returns
// the later one that is not in the future, or now if both are in the future.
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

// offset returns by how many nanoseconds the system's clock was set after the start of this
// process, or 0 if by less than minClockOffset.
func (c startClock) offset(now balancer.Time) balancer.Time {
	if c.wallClock == nil {
		return 0
	}
	offset := c.wallClock().UnixNano() - now
	if offset > -minClockOffset && offset < minClockOffset {
		return 0
	}
	return offset
}
