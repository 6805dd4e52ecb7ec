package proxy

import (
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
)

// Hosts report a connection's load and their message delay in the same form, a figure in a LOAD line, with nothing to distinguish them.
// A load is in microseconds of work a second. A delay is in milliseconds; it comes once a second, on one connection of each proxy, while
// messages are slow, with a last one once they are not. A delay taken for a load hides a slow host and makes the busiest connection
// seem idle; a load taken for a delay migrates clients off a healthy host. The constants below distinguish the two by size and rhythm.
const (
	minPlausibleLoad      = 500  // µs/s; below this, a load figure is read as a delay in milliseconds
	minPlausibleFirstLoad = 1500 // µs/s; the same for the first figure of a connection, which is likelier to be a delay
	maxPlausibleDelay     = 4000 // ms; a figure from here on is read as a load
	maxFirstDelay         = 2500 // ms; a run of delays begins under this: no message that takes longer waits for its answer
	maxDelayStep          = 2000 // ms; how far a delay may lie from the one a second before: work piles up no faster than it arrives
	maxLoadRatio          = 3    // how many times over a connection's load may change from one figure to the next
	queueingLoad          = 0.8  // load over capacity from which messages may wait

	// checkedLoadValidity is how long, in nanoseconds, what a host's health check said of its load counts.
	checkedLoadValidity = int64(3500 * time.Millisecond)
	// delayInterval is the interval, in nanoseconds, at which hosts report delays.
	delayInterval = int64(time.Second)
	// delayRunGap is how soon, in nanoseconds, the next delay of a run follows.
	delayRunGap = int64(1500 * time.Millisecond)
	// steadyTolerance is how far, in nanoseconds, two delays may come from delayInterval apart.
	steadyTolerance = int64(40 * time.Millisecond)
	// steadyToleranceWithLoad is the same where the host's load is known: there two loads that meet by chance are the greater risk.
	steadyToleranceWithLoad = int64(20 * time.Millisecond)
)

// loadClassifier distinguishes loads from delays among the figures that one host reports. Times are in nanoseconds.
type loadClassifier struct {
	delay   float64 // ms, the last figure that was taken for a delay
	delayAt int64   // when that was; 0: never

	// The last figure that may have been a delay, whatever it was taken for.
	candidate   float64
	candidateAt int64            // 0: there was none
	candidateOn *upstreamRequest // the connection that it came on
}

// inDelayRun reports whether the host is reporting its delays.
func (d *loadClassifier) inDelayRun(now int64) bool {
	return d.delayAt > 0 && now-d.delayAt < delayRunGap
}

// isSteady reports whether a figure comes delayInterval after the last candidate, which two changes of load hardly do.
func (d *loadClassifier) isSteady(now, tolerance int64) bool {
	return d.candidateAt > 0 && max(now-d.candidateAt-delayInterval, d.candidateAt+delayInterval-now) < tolerance
}

// isDelay reports whether a figure is a delay, at a host whose own load is not known. load is the connection's last one, 0 before the first.
//
// The first figure of a connection is its load, unless it is too small for one: not every host reports the load right after its
// acceptance. From then on a figure near that of a connection with a small load is a load again.
func (d *loadClassifier) isDelay(now int64, figure, load float64) bool {
	steady := d.isSteady(now, steadyTolerance)
	switch {
	case figure < minPlausibleLoad, steady && figure < maxPlausibleDelay, load == 0 && figure < minPlausibleFirstLoad:
		return true
	case d.inDelayRun(now):
		return math.Abs(figure-d.delay) < maxDelayStep && math.Abs(figure-d.delay) <= math.Abs(figure-load)
	case load == 0:
		return false
	}
	return figure < maxFirstDelay && (figure*maxLoadRatio < load || figure > load*maxLoadRatio)
}

// isDelayGivenLoad is isDelay for a host whose load over capacity is known: with capacity left no message waits, however small a
// connection's load is. A first delay that is taken for a load is corrected by the next one, a second later.
func (d *loadClassifier) isDelayGivenLoad(now int64, figure float64, conn *upstreamRequest, hostLoad float64) bool {
	steady := d.isSteady(now, steadyToleranceWithLoad)
	return figure < maxPlausibleDelay && (steady && (d.candidateOn == conn || figure < minPlausibleLoad) || hostLoad >= queueingLoad && figure < minPlausibleLoad)
}

// noteCandidate records a figure that may be a delay by its size.
func (d *loadClassifier) recordCandidate(now int64, figure float64, conn *upstreamRequest) {
	if figure < maxPlausibleDelay {
		d.candidateAt, d.candidateOn, d.candidate = now, conn, figure
	}
}

// loadFigureReceived handles the figure of a LOAD line.
func (a *upstreamRequest) loadFigureReceived(figure float64) {
	c, d := a.request.core, &a.host.loadFigures
	now := c.loop.Now()
	loadKnown := a.host.checkedAt > 0 && now-a.host.checkedAt < checkedLoadValidity
	delay := c.opt.DelayInLoad && a.isDelayFigure(now, figure, loadKnown)
	previousWasDelay := delay && loadKnown && d.candidateOn == a && a.load == d.candidate
	d.recordCandidate(now, figure, a)
	if delay {
		d.delay, d.delayAt = figure, now
		a.correctLoad(previousWasDelay)
	} else {
		a.previousLoad, a.load = a.load, max(figure, math.SmallestNonzeroFloat64)
	}
	if tracing() {
		slog.Debug("load_reported", "request", a.request.attributes.ID, "host", a.host.hostID, "delay", delay, "value", figure)
	}
	kind := observationKind(delay)
	c.notify(nil, a.request.pool, func(now balancer.Time, m Balancer) {
		m.Observe(now, a.request.attributes.ID, a.number, kind, figure)
	})
}

func observationKind(delay bool) balancer.Observation {
	if delay {
		return balancer.ObservedLatency
	}
	return balancer.ObservedLoad
}

func (a *upstreamRequest) isDelayFigure(now int64, figure float64, loadKnown bool) bool {
	if loadKnown {
		return a.host.loadFigures.isDelayGivenLoad(now, figure, a, a.host.checkedLoad)
	}
	return a.host.loadFigures.isDelay(now, figure, a.load)
}

// correctLoad corrects a connection's load after a delay was found. previousWasDelay: what was taken for its load was the first delay.
func (a *upstreamRequest) correctLoad(previousWasDelay bool) {
	if previousWasDelay && a.previousLoad > 0 {
		a.load = a.previousLoad
		a.request.core.notify(nil, a.request.pool, func(now balancer.Time, m Balancer) {
			m.Observe(now, a.request.attributes.ID, a.number, balancer.ObservedLoad, a.previousLoad)
		})
		return
	}
	if a.load < maxPlausibleDelay {
		a.load = 0 // it may have been a delay itself
	}
}
