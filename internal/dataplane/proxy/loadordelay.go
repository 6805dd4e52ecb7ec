package proxy

import (
	"log/slog"
	"math"
	"time"

	"croftlock/internal/balancer"
)

// Hosts report a connection's load and their message delay in the same form, a figure in a LOAD
// line, with nothing to distinguish them. A load is in microseconds of work per second. A delay is
// in milliseconds; while messages are slow, a host reports it once a second on one connection of
// each proxy, and once more when they are fast again. A delay taken for a load hides a slow host
// and makes the busiest connection seem idle; a load taken for a delay migrates clients off a
// healthy host. The constants below distinguish the two by their size and timing.
const (
	minPlausibleLoad      = 500  // µs/s; below this, a load figure is read as a delay in milliseconds
	minPlausibleFirstLoad = 1500 // µs/s; the same for a connection's first figure, which is likelier a delay
	maxPlausibleDelay     = 4000 // ms; a figure of this size or more is always read as a load
	maxFirstDelay         = 2500 // ms; a run of delays (several in a row) begins below this: a slower message is not waited for
	// maxDelayStep is the largest change, in ms, from one delay to the next, which is reported a
	// second later: work piles up no faster than it arrives.
	maxDelayStep = 2000
	maxLoadRatio = 3   // the largest factor by which a connection's load changes from one figure to the next
	queueingLoad = 0.8 // load of a host divided by its capacity, from which its messages may wait

	// checkedLoadValidity is how long, in nanoseconds, the load from a host's health check is used.
	checkedLoadValidity = int64(3500 * time.Millisecond)
	// delayInterval is the interval, in nanoseconds, at which hosts report delays.
	delayInterval = int64(time.Second)
	// delayRunGap is the time, in nanoseconds, within which the next delay of a run follows.
	delayRunGap = int64(1500 * time.Millisecond)
	// steadyTolerance is how far, in nanoseconds, the time between two delays may differ from
	// delayInterval.
	steadyTolerance = int64(40 * time.Millisecond)
	// steadyToleranceWithLoad is steadyTolerance for a host whose load is known. It is smaller,
	// because two loads that happen to come delayInterval apart are the greater risk there.
	steadyToleranceWithLoad = int64(20 * time.Millisecond)
)

// loadClassifier distinguishes loads from delays among the figures that one host reports. Times are
// in nanoseconds.
type loadClassifier struct {
	delay   float64 // the last figure classified as a delay, in ms
	delayAt int64   // when that figure came; 0 if there was none

	// candidate is the last figure small enough for a delay, however it was classified.
	candidate     float64
	candidateAt   int64            // when that figure came; 0 if there was none
	candidateConn *upstreamRequest // the connection on which it came
}

// inDelayRun reports whether the host is in a run of delays: the last one came less than
// delayRunGap ago.
func (d *loadClassifier) inDelayRun(now int64) bool {
	return d.delayAt > 0 && now-d.delayAt < delayRunGap
}

// isSteady reports whether a figure that comes now follows the last candidate after delayInterval,
// to within tolerance. Two load reports are rarely spaced that exactly.
func (d *loadClassifier) isSteady(now, tolerance int64) bool {
	return d.candidateAt > 0 && max(now-d.candidateAt-delayInterval, d.candidateAt+delayInterval-now) < tolerance
}

// isDelay reports whether a figure is a delay, at a host whose own load is unknown. load is the
// connection's last load in µs of work per second, or 0 if none is known.
//
// The first figure of a connection is its load unless it is too small for a load: not every host
// reports a load right after it accepts a request. After that, a figure close to the last load of a
// connection is a load, even if that load is small.
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

// isDelayGivenLoad is isDelay for a host whose hostLoad, its load divided by its capacity, is
// known. No message waits while capacity is left, so a small figure alone does not make a delay.
// conn is the connection on which the figure came. If the first delay of a run is taken for a load,
// the next one, a second later, corrects that.
func (d *loadClassifier) isDelayGivenLoad(now int64, figure float64, conn *upstreamRequest, hostLoad float64) bool {
	steady := d.isSteady(now, steadyToleranceWithLoad)
	return figure < maxPlausibleDelay && (steady && (d.candidateConn == conn || figure < minPlausibleLoad) || hostLoad >= queueingLoad && figure < minPlausibleLoad)
}

// recordCandidate records a figure, and the connection on which it came, if it is small enough for a
// delay.
func (d *loadClassifier) recordCandidate(now int64, figure float64, conn *upstreamRequest) {
	if figure < maxPlausibleDelay {
		d.candidateAt, d.candidateConn, d.candidate = now, conn, figure
	}
}

// loadFigureReceived classifies the figure of a LOAD line as the connection's load or the host's
// message delay, records it, and notifies the balancer of it. Unless Options.DelayInLoad is set,
// each figure is a load.
func (a *upstreamRequest) loadFigureReceived(figure float64) {
	c, d := a.request.core, &a.host.loadFigures
	now := c.loop.Now()
	loadKnown := a.host.checkedAt > 0 && now-a.host.checkedAt < checkedLoadValidity
	delay := c.opt.DelayInLoad && a.isDelayFigure(now, figure, loadKnown)
	previousWasDelay := delay && loadKnown && d.candidateConn == a && a.load == d.candidate
	d.recordCandidate(now, figure, a)
	if delay {
		d.delay, d.delayAt = figure, now
		a.correctLoad(previousWasDelay)
	} else {
		a.previousLoad, a.load = a.load, max(figure, math.SmallestNonzeroFloat64) // 0 would mean unknown
	}
	if tracing() {
		slog.Debug("load_reported", "request", a.request.attributes.ID, "host", a.host.hostID, "delay", delay, "value", figure)
	}
	kind := observationKind(delay)
	c.notify(nil, a.request.pool, func(now balancer.Time, m Balancer) {
		m.Observe(now, a.request.attributes.ID, a.number, kind, figure)
	})
}

// observationKind returns the kind of observation as which a figure is reported to the balancer.
// delay reports whether the figure is a delay and not a load.
func observationKind(delay bool) balancer.Observation {
	if delay {
		return balancer.ObservedLatency
	}
	return balancer.ObservedLoad
}

// isDelayFigure reports whether a figure on this connection is a delay. loadKnown reports whether
// the host's load is known from a recent health check.
func (a *upstreamRequest) isDelayFigure(now int64, figure float64, loadKnown bool) bool {
	if loadKnown {
		return a.host.loadFigures.isDelayGivenLoad(now, figure, a, a.host.checkedLoad)
	}
	return a.host.loadFigures.isDelay(now, figure, a.load)
}

// correctLoad corrects the connection's load after a figure was classified as a delay.
// previousWasDelay reports whether the current load is a misclassified figure, the first delay of
// the run; if so, correctLoad restores the load before it.
func (a *upstreamRequest) correctLoad(previousWasDelay bool) {
	if previousWasDelay && a.previousLoad > 0 {
		a.load = a.previousLoad
		a.request.core.notify(nil, a.request.pool, func(now balancer.Time, m Balancer) {
			m.Observe(now, a.request.attributes.ID, a.number, balancer.ObservedLoad, a.previousLoad)
		})
		return
	}
	if a.load < maxPlausibleDelay {
		a.load = 0 // the recorded load may be a misclassified delay; 0 means unknown
	}
}
