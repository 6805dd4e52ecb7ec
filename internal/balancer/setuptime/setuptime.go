// Package setuptime estimates how long connections take to be set up, and how long the queue is in which they
// wait together. It reads no clock: times are nanoseconds that come with each call.
package setuptime

import "math"

// Estimator holds a smoothed set-up time and its mean deviation, as TCP does for round-trip times (RFC 6298).
// The zero value has seen nothing.
type Estimator struct {
	mean, deviation float64 // nanoseconds
	samples         int
	sampledAt       int64
	// When a set-up begun now would complete, by each of the last two.
	completesAt [2]int64
}

// Sample records how long a set-up took, in nanoseconds.
func (e *Estimator) Sample(now int64, took float64) {
	if e.samples == 0 {
		e.mean, e.deviation = took, took/2
	}
	e.samples++
	e.sampledAt = now
	difference := took - e.mean
	e.mean += difference / 8
	e.deviation += (math.Abs(difference) - e.deviation) / 4
}

// ExpectCompletion notes when a set-up begun now would complete, by one that has just ended.
func (e *Estimator) ExpectCompletion(at int64) {
	e.completesAt[0], e.completesAt[1] = e.completesAt[1], at
}

// QueueDelay is how long a set-up takes now at least, in nanoseconds: a queue that all share shrinks by a
// second in a second at most. Two set-ups have to show it, since one may be the fault of its host alone.
func (e *Estimator) QueueDelay(now int64) int64 {
	return max(0, min(e.completesAt[0], e.completesAt[1])-now)
}

// Bound is a time that few set-ups exceed, in nanoseconds.
func (e *Estimator) Bound() float64 { return e.mean + 4*e.deviation }

// Reliable reports whether there were enough samples to go by.
func (e *Estimator) Reliable() bool { return e.samples >= 4 }

// SinceSample is how long ago the last sample came, in nanoseconds.
func (e *Estimator) SinceSample(now int64) int64 { return now - e.sampledAt }
