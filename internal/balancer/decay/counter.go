// Package decay is an exponentially decaying counter of events.
package decay

import "math"

// Counter is a sum that loses the factor e in each span of its time constant. The zero value is empty.
type Counter struct {
	Sum   float64 // as of the last call of Add
	addAt int64   // nanoseconds
}

// Add fades the sum up to now and adds n. Times and the time constant are in nanoseconds. Adding 0 only
// fades.
func (c *Counter) Add(now, timeConstant int64, n float64) {
	// One nanosecond more, so that a time constant of 0 divides nothing by zero.
	c.Sum = c.Sum*math.Exp(-float64(now-c.addAt)/float64(timeConstant+1)) + n
	c.addAt = now
}
