package balancer

import "math"

const (
	// ejectionCap is the longest ejection over the first, where the settings give neither: three doublings.
	// A longer one would outlast the fault.
	ejectionCap = 8.0
	// sharedFaultShare is the part of the evidence that has to fail for the fault to be no single host's.
	sharedFaultShare = 0.5
	// minTimeoutEvidence is how many set-ups must have ended of late before a timeout may count as shared.
	minTimeoutEvidence = 4
	// evidenceMemory is the time constant with which set-ups fade, in longest latency objectives.
	evidenceMemory = 2
)

// hostEjection is what the ejection of one host goes by.
type hostEjection struct {
	consecutiveFailures int
	until               Time
	failedAt            Time // of the last counted failure
	trials              int  // approximately: attempts in flight that began after a failure
}

// ejection is the rule's settings and its evidence of shared faults.
type ejection struct {
	initial, max Time // 0: no host is ejected
	evidence     setupEvidence
}

// newEjection derives the durations that the settings leave open. Before jitter, which may halve it, the
// first ejection is as long as the longest deadline.
func newEjection(cfg *Config) (ejection, error) {
	longestDeadline := Time(0)
	for _, c := range cfg.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	e := ejection{initial: longestDeadline, max: Time(float64(longestDeadline) * ejectionCap)}
	if cfg.EjectionInitial >= 0 {
		e.initial = cfg.EjectionInitial
	}
	if cfg.EjectionMax >= 0 {
		e.max = cfg.EjectionMax
	}
	if e.max < e.initial && e.max > 0 {
		return e, ErrEjectionMax
	}
	e.evidence.longestObjective = longestLatencyObjective(cfg.Classes)
	return e, nil
}

// period is how long a host is ejected after so many failures in a row, before jitter.
func (e *ejection) period(failures int) Time {
	return min(e.max, Time(float64(e.initial)*math.Pow(2, float64(min(failures, 30)-1))))
}

// blocks reports whether a host is ejected, or its trial is under way.
func (e *ejection) blocks(now Time, h *hostEjection) bool {
	return h.consecutiveFailures > 0 && e.initial > 0 && (now < h.until || h.trials > 0)
}

// setupEvidence is how the set-ups of late ended, at all hosts.
type setupEvidence struct {
	longestObjective    Time // the longest latency objective
	succeeded, timedOut float64
	fadedAt             Time
}

func (e *setupEvidence) fade(now Time) {
	f := math.Exp(-float64(now-e.fadedAt) / float64(evidenceMemory*e.longestObjective))
	e.succeeded, e.timedOut, e.fadedAt = e.succeeded*f, e.timedOut*f, now
}

func (e *setupEvidence) addSuccess(now Time) {
	e.fade(now)
	e.succeeded++
}

// addTimeout counts a timeout, and reports whether most set-ups time out: then the store or the links are
// slow, and the timeout is no evidence against one host.
func (e *setupEvidence) addTimeout(now Time) (shared bool) {
	e.fade(now)
	e.timedOut++
	return e.timedOut+e.succeeded >= minTimeoutEvidence &&
		e.timedOut >= sharedFaultShare*(e.timedOut+e.succeeded)
}

// Ejected reports whether a host is ejected and not yet due for its trial.
func (b *Balancer) Ejected(now Time, id string) bool {
	h := b.byID[id]
	return h != nil && h.ejection.consecutiveFailures > 0 && b.ejection.initial > 0 && now < h.ejection.until
}

// available reports whether a host is preferred for a request: not ejected, its trial not taken, not full
// lately, and without an attempt of the request. Where none is, pick takes one of the others.
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

// hostAccepted ends an ejection at once.
func (b *Balancer) hostAccepted(h *host) {
	if h.ejection.consecutiveFailures > 0 {
		b.effects.Report(HostReadmitted{Host: h.hostID})
	}
	h.ejection.consecutiveFailures, h.ejection.until, h.ejection.trials = 0, 0, 0
	h.deficit = min(h.deficit, 0) // no turns are owed for the time of the ejection
}

// hostFailed ejects a host that failed an attempt sent at sentAt: for a random time of half of period to
// period, which consecutive failures double, unless most of the zone fails. proven is false for a timeout,
// which may be no fault of the host's.
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
	// Jitter, else all balancers that saw a shared fault try its hosts at the same moment.
	period := b.ejection.period(e.consecutiveFailures)
	e.until = b.now + period/2 + Time(b.rng.Float64()*float64(period)/2)
	if e.consecutiveFailures == 1 {
		b.effects.Report(HostEjected{Host: h.hostID, Duration: e.until - b.now,
			ConsecutiveFailures: e.consecutiveFailures})
	}
}

// zoneFailing reports whether most of a zone fails: then the fault is the zone's, and doubling would shun its
// hosts long after.
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
