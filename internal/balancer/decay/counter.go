// Package decay provides an exponentially decaying counter of events.
package decay

import "math"

// Counter is a sum that decays exponentially: within one time constant, to 1/e of its value. The
// zero value is an empty counter.
type Counter struct {
	Sum     float64 // as of the last call of Add; the caller may change it
	addedAt int64   // time of the last call of Add, in nanoseconds
}

// Add applies the decay up to now and then adds n to the sum. Times and the time constant are in
// nanoseconds. If n is 0, Add only applies the decay.
func (c *Counter) Add(now, timeConstant int64, n float64) {
	// The added nanosecond avoids a division by zero for a time constant of 0.
	c.Sum = c.Sum*math.Exp(-float64(now-c.addedAt)/float64(timeConstant+1)) + n
	c.addedAt = now
}
