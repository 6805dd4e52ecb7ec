// Package watermark implements gossip among proxies about upstream hosts that are draining or gone.
// A watermark is the state of one host in a proxy's endpoint list, with the list's revision. A
// proxy whose own list is older places nothing new at that host. A watermark only blocks a host; it
// never makes one usable. The settings section is (floors ...). Registry decides, without I/O and
// with the time passed in. Link sends and receives the datagrams.
package watermark

// Time is a number of nanoseconds on the caller's monotonic clock.
type Time = int64

// State is the state of a host in an endpoint list.
type State uint8

// The states of a host.
const (
	Up State = iota
	Draining
	Gone
)

// String returns the name of the state.
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

// Lifetime is how long a watermark is valid after its list was last known to have the host in this
// state. Without it, a wrong watermark, or one of a source whose revisions restarted, would block a
// host permanently.
const Lifetime = Time(30e9)

const (
	maxWatermarks = 4096         // most hosts in each table of a Registry, and watermarks waiting in a Link
	goneRetention = 2 * Lifetime // how long a host that has left this proxy's list is gossiped as gone
)

// Watermark reports that one host must get no new requests.
type Watermark struct {
	Host      string
	StartedAt int64 // start of the host in Unix milliseconds; the watermark does not apply after a later start
	Revision  int64 // of the list that first had the host in this state
	State     State // Draining or Gone
	ValidFor  Time  // remaining validity
}

// ListedHost is one host of this proxy's endpoint list.
type ListedHost struct {
	Host      string
	StartedAt int64 // Unix milliseconds
	State     State
}
