package balancer

import "math"

// Limits of the backoff of polls of discovery, in nanoseconds.
const (
	// pollSpacing is the mean time between two polls by any of the balancers while discovery fails.
	// The capacity of discovery does not grow with the number of balancers.
	pollSpacing = 5e7
	// maxPollBackoff limits the exponential part of the delay. If there are few balancers, each then
	// has time for a second poll before all are expected to know of a change.
	maxPollBackoff = 1.2e9
	// maxPollDelay is the longest delay after a failed poll: a balancer is expected to know of a
	// change after 6 s.
	maxPollDelay = 5e9
)

// discoveryPoller is the state of the subscription to the endpoint list.
type discoveryPoller struct {
	watching bool // subscribed to changes of the endpoint list
	polling  bool // a subscription was requested, and neither a list nor a failure has arrived
	failures int  // consecutive failures
}

// failed records a failure of discovery, which ends the subscription.
func (d *discoveryPoller) failed() {
	d.watching, d.polling = false, false
	d.failures++
}

// succeeded records a list from discovery. It has no effect unless a poll is in progress.
func (d *discoveryPoller) succeeded() {
	if d.polling {
		d.polling, d.watching, d.failures = false, true, 0
	}
}

// delayAfterFailure returns the time from a failed poll to the next one, before jitter, in
// nanoseconds. instances is the number of balancers. The delay doubles with each failure, from an
// eighth of its limit. The limit is the lesser of maxPollDelay and half of pollInterval, so that the
// balancer learns of a draining host in time.
func (d *discoveryPoller) delayAfterFailure(pollInterval Time, instances int) float64 {
	limit := min(float64(pollInterval)/2, maxPollDelay)
	backoff := min(maxPollBackoff, limit/8*math.Pow(2, float64(min(d.failures, 8)-1)))
	return min(limit, max(backoff, pollSpacing*float64(instances)))
}

// pollDiscovery subscribes to the endpoint list, unless a subscription exists or has been
// requested.
func (b *Balancer) pollDiscovery() {
	if b.discovery.watching || b.discovery.polling {
		return
	}
	b.discovery.polling = true
	b.effects.WatchList(true)
}

// schedulePoll schedules the next poll after a failure, with jitter: after a quarter to all of
// delayAfterFailure. It has no effect if the balancer does not poll discovery.
func (b *Balancer) schedulePoll() {
	if !b.cfg.PollsDiscovery {
		return
	}
	delay := b.discovery.delayAfterFailure(b.cfg.PollInterval, b.cfg.Instances)
	b.schedule(Time(delay*(0.25+0.75*b.rng.Float64())), timerDiscovery)
}
