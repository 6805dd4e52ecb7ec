// Package setuptime estimates how long the set-up of a connection to a host takes, from the start of
// the attempt until the connection is established, and how long set-ups wait in a queue that all of
// them share. It reads no clock: times are in nanoseconds and come with each call.
package setuptime

import "math"

// Estimator holds a smoothed set-up time and its mean deviation, as TCP does for round-trip times
// (RFC 6298). The zero value has no samples.
type Estimator struct {
	mean, deviation float64 // nanoseconds
	samples         int     // number of samples
	sampledAt       int64   // time of the last sample
	// completesAt holds, for each of the last two set-ups that ended, when a set-up that began at its
	// end was expected to complete.
	completesAt [2]int64
}

// Sample records the duration of a set-up, in nanoseconds.
func (e *Estimator) Sample(now int64, duration float64) {
	if e.samples == 0 {
		e.mean, e.deviation = duration, duration/2
	}
	e.samples++
	e.sampledAt = now
	difference := duration - e.mean
	e.mean += difference / 8
	e.deviation += (math.Abs(difference) - e.deviation) / 4
}

// ExpectCompletion records at, the time when a set-up that begins now is expected to complete. The
// caller derives it from the duration of a set-up that has just ended.
func (e *Estimator) ExpectCompletion(at int64) {
	e.completesAt[0], e.completesAt[1] = e.completesAt[1], at
}

// QueueDelay returns how long a set-up that begins now takes at least, in nanoseconds, or 0 if that
// is unknown. The queue that all set-ups share shrinks by at most one second per second, so that a
// set-up that begins later does not complete before an earlier one was expected to. The delay counts
// only if the last two set-ups show it, since one set-up may be slow because of its host.
func (e *Estimator) QueueDelay(now int64) int64 {
	return max(0, min(e.completesAt[0], e.completesAt[1])-now)
}

// Bound returns a duration that few set-ups exceed, in nanoseconds: the smoothed set-up time plus 4
// times its mean deviation. It is 0 without samples.
func (e *Estimator) Bound() float64 { return e.mean + 4*e.deviation }

// Reliable reports whether there are enough samples, at least 4, to use Bound.
func (e *Estimator) Reliable() bool { return e.samples >= 4 }

// SinceSample returns the time since the last sample, in nanoseconds. The result has no meaning
// without samples.
func (e *Estimator) SinceSample(now int64) int64 { return now - e.sampledAt }
