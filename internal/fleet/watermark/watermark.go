// Package watermark owns the gossip among proxies about upstream hosts that drain or are gone. A watermark is what one proxy's endpoint list says
// of a host, with the list's revision: a proxy whose own list is older places nothing new at that host. A watermark only takes a host out; none
// makes a host usable. In the operators' file the section is (floors ...). Registry decides, without I/O and with time passed in; Link sends and
// receives the datagrams.
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

// Lifetime is how long a watermark holds after its list was last known to say so. Without it a wrong one, or one of a source whose revisions
// restarted, would keep a host out for good.
const Lifetime = Time(30e9)

const (
	maxWatermarks = 4096         // bounds each table of hosts here
	goneRetention = 2 * Lifetime // for how long a host that has left the own list is still gossiped as gone
)

// Watermark says that one host is to get nothing new.
type Watermark struct {
	Host      string
	StartedAt int64 // Unix milliseconds of the start that is meant: a host that has started since is not
	Revision  int64 // of the list that first had it so
	State     State
	ValidFor  Time // how much longer it holds
}

// ListedHost is one host of the own endpoint list.
type ListedHost struct {
	Host      string
	StartedAt int64 // Unix milliseconds
	State     State
}
