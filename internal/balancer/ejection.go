package balancer

import (
	"fmt"
	"math"
)

const (
	// maxEjectionFactor is the default duration of the longest ejection, as a multiple of the longest
	// deadline of all classes: three doublings of the default first ejection. A longer ejection would
	// outlast the fault.
	maxEjectionFactor = 8.0
	// sharedFaultShare is the fraction from which on failures count as shared, not as the fault of a
	// single host: the fraction of recent set-ups that timed out, or of a zone's hosts that failed.
	sharedFaultShare = 0.5
	// minTimeoutEvidence is how many set-ups of connections must have succeeded or timed out recently
	// before a timeout may count as shared.
	minTimeoutEvidence = 4
	// evidenceTimeConstant is the time constant with which the counts of setupEvidence decay, as a
	// multiple of the longest latency objective of all classes.
	evidenceTimeConstant = 2
)

// hostEjection is the ejection state of one host.
type hostEjection struct {
	consecutiveFailures int
	until               Time // end of the ejection
	failedAt            Time // of the last failure that hostFailed did not ignore
	trials              int  // approximate number of trials: attempts in flight that began after a failure
}

// ejection holds the settings of the ejection rule and the evidence of shared faults.
type ejection struct {
	initial, max Time // first and longest ejection; if either is 0, no host is ejected
	evidence     setupEvidence
}

// newEjection returns the ejection rule for the settings, or an error that wraps ErrEjectionMax if
// the longest ejection is shorter than the first one. It derives the durations that are negative in
// the settings. The derived first ejection is as long as the longest deadline. Jitter may halve any
// ejection.
func newEjection(cfg *Config) (ejection, error) {
	longestDeadline := Time(0)
	for _, c := range cfg.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	e := ejection{initial: longestDeadline, max: Time(float64(longestDeadline) * maxEjectionFactor)}
	if cfg.EjectionInitial >= 0 {
		e.initial = cfg.EjectionInitial
	}
	if cfg.EjectionMax >= 0 {
		e.max = cfg.EjectionMax
	}
	if e.max < e.initial && e.max > 0 {
		return e, fmt.Errorf("%w: %d ns and %d ns", ErrEjectionMax, e.max, e.initial)
	}
	e.evidence.longestObjective = longestLatencyObjective(cfg.Classes)
	return e, nil
}

// period returns how long a host is ejected after the given number of consecutive failures, before
// jitter. Not more than 29 doublings are computed, so that the result does not overflow.
func (e *ejection) period(failures int) Time {
	return min(e.max, Time(float64(e.initial)*math.Pow(2, float64(min(failures, 30)-1))))
}

// blocks reports whether a host is ejected, or has failed and an attempt that may show its recovery
// (a trial) is in flight.
func (e *ejection) blocks(now Time, h *hostEjection) bool {
	return h.consecutiveFailures > 0 && e.initial > 0 && (now < h.until || h.trials > 0)
}

// setupEvidence counts how the set-ups of connections at all hosts ended recently. It is the
// evidence by which a timeout is attributed to one host or to a shared fault. The counts decay
// exponentially.
type setupEvidence struct {
	longestObjective    Time // the longest latency objective of all classes
	succeeded, timedOut float64
	fadedAt             Time // time up to which the decay is applied
}

// fade applies the decay of the counts up to now.
func (e *setupEvidence) fade(now Time) {
	f := math.Exp(-float64(now-e.fadedAt) / float64(evidenceTimeConstant*e.longestObjective))
	e.succeeded, e.timedOut, e.fadedAt = e.succeeded*f, e.timedOut*f, now
}

// addSuccess counts a set-up that succeeded.
func (e *setupEvidence) addSuccess(now Time) {
	e.fade(now)
	e.succeeded++
}

// addTimeout counts a timeout, and reports whether it is shared: at least minTimeoutEvidence set-ups
// have ended recently, and at least half of them by timeout. In that case the store that the hosts
// share or the network links are slow, and the timeout is no evidence against a single host.
func (e *setupEvidence) addTimeout(now Time) (shared bool) {
	e.fade(now)
	e.timedOut++
	return e.timedOut+e.succeeded >= minTimeoutEvidence &&
		e.timedOut >= sharedFaultShare*(e.timedOut+e.succeeded)
}

// Ejected reports whether a host is ejected and not yet due for a trial. It returns false for an
// unknown host.
func (b *Balancer) Ejected(now Time, id string) bool {
	h := b.byID[id]
	return h != nil && h.ejection.consecutiveFailures > 0 && b.ejection.initial > 0 && now < h.ejection.until
}

// available reports whether a host is preferred for a request: it is not ejected, no trial of it is
// in flight, it has not recently been full, and the request has made no attempt at it. If no host
// is available, pick chooses one of the others.
func (b *Balancer) available(h *host, r *request) bool {
	if b.ejection.blocks(b.now, &h.ejection) || b.now < h.fullUntil {
		return false
	}
	for _, t := range r.attemptedHosts {
		if t == h {
			return false
		}
	}
	return true
}

// hostAccepted ends the ejection of a host at once, since the host has accepted a request.
func (b *Balancer) hostAccepted(h *host) {
	if h.ejection.consecutiveFailures > 0 {
		b.effects.Report(HostReadmitted{Host: h.hostID})
	}
	h.ejection.consecutiveFailures, h.ejection.until, h.ejection.trials = 0, 0, 0
	h.deficit = min(h.deficit, 0) // turns missed during the ejection are not made up for
}

// hostFailed ejects a host that failed an attempt sent at sentAt, for a random time from half of the
// ejection period up to all of it. Consecutive failures double the period, unless most hosts of the
// zone are failing. proven is true if the host is known to have failed, and false for a timeout,
// which may have another cause. hostFailed ignores a failure if ejection is disabled, if a timeout
// counts as shared, or if the attempt was sent before the last counted failure.
func (b *Balancer) hostFailed(h *host, sentAt Time, proven bool) {
	if b.ejection.initial == 0 || b.ejection.max == 0 {
		return
	}
	if !proven && b.ejection.evidence.addTimeout(b.now) {
		return
	}
	e := &h.ejection
	if e.consecutiveFailures > 0 && sentAt < e.failedAt {
		return // sent before the failure that is already counted
	}
	if e.consecutiveFailures == 0 || !b.zoneFailing(h.zone) {
		e.consecutiveFailures++
	}
	e.failedAt = b.now
	// Without jitter, all balancers that saw a shared fault would try its hosts again at the same
	// moment.
	period := b.ejection.period(e.consecutiveFailures)
	e.until = b.now + period/2 + Time(b.rng.Float64()*float64(period)/2)
	if e.consecutiveFailures == 1 {
		b.effects.Report(HostEjected{Host: h.hostID, Duration: e.until - b.now,
			ConsecutiveFailures: e.consecutiveFailures})
	}
}

// zoneFailing reports whether at least two ready hosts of a zone, and at least half of them, have
// failed and not succeeded since. zone is an index. In that case the fault is the zone's, and
// doubled ejections would exclude its hosts long after the fault has ended.
func (l *endpointList) zoneFailing(zone int) bool {
	ready, failing := 0, 0
	for _, h := range l.hosts {
		if h.zone == zone && h.state == Ready {
			ready++
			if h.ejection.consecutiveFailures > 0 {
				failing++
			}
		}
	}
	return failing > 1 && float64(failing) >= sharedFaultShare*float64(ready)
}
