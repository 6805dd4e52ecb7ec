package membership

const (
	// isolatedAfter is how long nothing at all may arrive before a process assumes that it is the one cut off.
	isolatedAfter = sec
	// noSuspicionAfterPause is how long a process that slept probes before it may suspect others.
	noSuspicionAfterPause = 1500 * ms
	// minPauseIntervals is how many probe intervals a gap between two calls lasts at least to be a pause of this process.
	minPauseIntervals = 4
)

// isolation says how far a process may trust its own silence: whether it slept, hears nothing, or lacks a majority.
type isolation struct {
	started           bool
	lastTick          Time
	lastWall          Time // the wall clock at lastTick
	lastHeard         Time // when any datagram last arrived
	lastMinority      Time // when this process last saw no majority: GoneAfter counts from there, so that a healed minority gives nobody up at once
	noSuspicionBefore Time
}

// start sets the clock at the first tick.
func (i *isolation) start(now, wall Time) {
	i.started, i.lastTick, i.lastWall, i.lastHeard = true, now, wall, now
}

// tick advances the clock and reports how long this process slept, by its monotonic clock or by the wall clock; a monotonic clock can
// stand still in a suspended machine.
func (i *isolation) tick(now, wall, threshold Time) (gap Time, paused bool) {
	gap = now - i.lastTick
	jump := wall - i.lastWall - gap
	i.lastTick, i.lastWall = now, wall
	return gap, gap > threshold || jump > threshold
}

// receive reports a pause that shows in a datagram that waited for this process and is handled before its next tick.
func (i *isolation) receive(now, threshold Time) (gap Time, paused bool) {
	gap = now - i.lastTick
	return gap, i.started && gap > threshold
}

// advancePastPause sets the clock to the end of a pause, so that the next tick does not report it again.
func (i *isolation) advancePastPause(now, gap Time) {
	i.lastTick, i.lastWall = now, i.lastWall+gap
}

// maySuspect says whether this process has been awake for long enough to suspect others.
func (i *isolation) maySuspect(now Time) bool { return now >= i.noSuspicionBefore }

// hearsNothing says whether this process may be the one that is cut off.
func (i *isolation) hearsNothing(now Time) bool { return now-i.lastHeard > isolatedAfter }
