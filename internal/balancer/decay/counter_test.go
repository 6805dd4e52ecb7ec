package decay

import (
	"math"
	"testing"
)

func TestCounter(t *testing.T) {
	var c Counter
	c.Add(0, 1e9, 4)
	c.Add(1e9, 1e9, 2)
	if want := 4/math.E + 2; math.Abs(c.Sum-want) > 1e-6 { // one time constant after 4 was added
		t.Errorf("a sum of %g, expected %g", c.Sum, want)
	}
	c.Add(2e9, 0, 0) // a time constant of 0 discards the sum
	if c.Sum != 0 {
		t.Errorf("a sum of %g after a time constant of 0, expected 0", c.Sum)
	}
}
