// Package watermark owns the gossip among proxies about upstream hosts that drain or are gone. A proxy whose own endpoint list
// lags places nothing at a host of which another's newer list says so. A watermark only ever takes a host out; none makes a host usable.
// In the operators' file it is the section (floors ...). The Registry decides, without I/O and with time passed in; the Link sends and receives the datagrams.
package watermark

// Time is nanoseconds on the caller's monotonic clock.
type Time = int64

// State is what a list says of a host.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Gone
)

// String names the state.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Lifetime is how long a watermark holds after the list that it is from was last known to say so. Without it one that was wrong, or of a numbering
// that began anew, would keep a host out for good.
const Lifetime = Time(30e9)

const (
	maxWatermarks = 4096
	goneRetention = 2 * Lifetime // for which a host that has left the own list is still gossiped
)

// Watermark is what a list says of one host that is to get nothing new.
type Watermark struct {
	Host      string
	StartedAt int64 // when the host last started, Unix milliseconds: a later start is not meant
	Revision  int64 // of the list that first had it so
	State     State
	ValidFor  Time // for which it holds still
}

// ListedHost is one host of the own list.
type ListedHost struct {
	Host      string
	StartedAt int64 // Unix milliseconds
	State     State
}
