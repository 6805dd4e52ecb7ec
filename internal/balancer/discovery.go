package balancer

import "math"

// Backoff of polls of discovery, in nanoseconds.
const (
	// pollSpacing is the mean time between two polls of all balancers together while discovery fails:
	// its capacity does not grow with their number.
	pollSpacing = 5e7
	// maxPollBackoff keeps the pauses of a small fleet short enough for a second poll before a change counts
	// as known to all.
	maxPollBackoff = 1.2e9
	// maxPollPause is when a failed poll is repeated at the latest: a change counts as known after 6 s.
	maxPollPause = 5e9
)

// discoveryPoller is the state of the subscription to discovery.
type discoveryPoller struct {
	watching bool // subscribed to changes of the endpoint list
	polling  bool // a subscription was requested, and no list or failure has come yet
	failures int  // in a row
}

func (d *discoveryPoller) failed() {
	d.watching, d.polling = false, false
	d.failures++
}

// succeeded notes a list from discovery. Without a poll under way it changes nothing.
func (d *discoveryPoller) succeeded() {
	if d.polling {
		d.polling, d.watching, d.failures = false, true, 0
	}
}

// delayAfterFailure returns the time from a failed poll to the next one, before jitter, in nanoseconds. Its
// limits keep it short enough for the balancer to learn of a draining host in time.
func (d *discoveryPoller) delayAfterFailure(pollInterval Time, instances int) float64 {
	limit := min(float64(pollInterval)/2, maxPollPause)
	backoff := min(maxPollBackoff, limit/8*math.Pow(2, float64(min(d.failures, 8)-1)))
	return min(limit, max(backoff, pollSpacing*float64(instances)))
}

// pollDiscovery subscribes to the endpoint list, unless that is done or under way.
func (b *Balancer) pollDiscovery() {
	if b.discovery.watching || b.discovery.polling {
		return
	}
	b.discovery.polling = true
	b.effects.WatchList(true)
}

// schedulePoll plans the next poll after a failure.
func (b *Balancer) schedulePoll() {
	if !b.cfg.PollsDiscovery {
		return
	}
	delay := b.discovery.delayAfterFailure(b.cfg.PollInterval, b.cfg.Instances)
	b.schedule(Time(delay*(0.25+0.75*b.rng.Float64())), timerDiscovery)
}
