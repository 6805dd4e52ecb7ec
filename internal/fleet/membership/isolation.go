package membership

const (
	// isolatedAfter is the time without any datagram after which a process assumes that it is itself cut off.
	isolatedAfter = sec
	// noSuspicionAfterPause is how long a process probes after a pause before it may suspect others.
	noSuspicionAfterPause = 1500 * ms
	// minPauseIntervals is the gap between two ticks, in probe intervals, above which a process assumes that
	// it was paused.
	minPauseIntervals = 4
)

// isolation tracks whether this process was paused, hears nothing, or lacks a majority. In these cases
// the silence of the others proves nothing about them.
type isolation struct {
	started   bool // whether the first tick has passed
	lastTick  Time // monotonic clock at the last tick, or at the datagram that showed a pause after it
	lastWall  Time // the wall clock at lastTick, in Unix nanoseconds
	lastHeard Time // when the last accepted datagram arrived, or when the last pause ended if that is later
	// lastMinority is when this process last saw no majority. GoneAfter counts from then at the earliest,
	// so that a process does not mark members as gone as soon as it regains a majority.
	lastMinority      Time // zero if never
	noSuspicionBefore Time // when this process may suspect others again after a pause; zero if it was never paused
}

// start records the clocks at the first tick.
func (i *isolation) start(now, wall Time) {
	i.started, i.lastTick, i.lastWall, i.lastHeard = true, now, wall, now
}

// tick records the clocks and returns the time since the last tick. It reports a pause if the monotonic
// clock advanced by more than threshold, or the wall clock by more than threshold beyond that: in a
// suspended machine the monotonic clock can stand still. So a wall clock that was set ahead also counts.
func (i *isolation) tick(now, wall, threshold Time) (gap Time, paused bool) {
	gap = now - i.lastTick
	jump := wall - i.lastWall - gap // by how much more than the monotonic clock the wall clock advanced
	i.lastTick, i.lastWall = now, wall
	return gap, gap > threshold || jump > threshold
}

// receive returns the time since the last tick and reports whether it shows a pause. This detects a pause
// when a datagram that waited for this process is handled before the next tick.
func (i *isolation) receive(now, threshold Time) (gap Time, paused bool) {
	gap = now - i.lastTick
	return gap, i.started && gap > threshold
}

// advancePastPause advances the recorded clocks past a pause, so that the next tick does not report it again.
func (i *isolation) advancePastPause(now, gap Time) {
	i.lastTick, i.lastWall = now, i.lastWall+gap
}

// maySuspect reports whether enough time has passed since the last pause for this process to suspect others.
func (i *isolation) maySuspect(now Time) bool { return now >= i.noSuspicionBefore }

// hearsNothing reports whether no datagram has arrived for isolatedAfter, so that this process may itself
// be cut off.
func (i *isolation) hearsNothing(now Time) bool { return now-i.lastHeard > isolatedAfter }
