package experiment

import (
	"fmt"
	"slices"
)

// samples are repeated measurements of the same value.
type samples []float64

func (s samples) sorted() samples {
	out := slices.Clone(s)
	slices.Sort(out)
	return out
}

// median is the value that half of all do not exceed.
func (s samples) median() float64 { return s.quantile(0.5) }

// quantile is the value that a part q of all does not exceed.
func (s samples) quantile(q float64) float64 {
	if len(s) == 0 {
		return 0
	}
	o := s.sorted()
	return o[min(len(o)-1, int(q*float64(len(o))))]
}

// String is the median with the smallest and the largest value.
func (s samples) String() string {
	if len(s) == 0 {
		return "-"
	}
	o := s.sorted()
	return fmt.Sprintf("%.3g (%.3g to %.3g)", s.median(), o[0], o[len(o)-1])
}

// formatQuantiles is the median with the 10% and 90% quantiles, with a number of decimal places.
func (s samples) formatQuantiles(places int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", places, s.median(), places, s.quantile(0.1), places, s.quantile(0.9))
}
