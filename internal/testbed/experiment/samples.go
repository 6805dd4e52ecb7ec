package experiment

import (
	"fmt"
	"slices"
)

// samples are repeated measurements of one quantity.
type samples []float64

// sorted returns a sorted copy.
func (s samples) sorted() samples {
	out := slices.Clone(s)
	slices.Sort(out)
	return out
}

// median returns the 0.5-quantile.
func (s samples) median() float64 { return s.quantile(0.5) }

// quantile returns the q-quantile (0 to 1), or 0 without samples.
func (s samples) quantile(q float64) float64 {
	if len(s) == 0 {
		return 0
	}
	o := s.sorted()
	return o[min(len(o)-1, int(q*float64(len(o))))]
}

// String returns the median with the smallest and the largest sample in parentheses, or "-" without
// samples.
func (s samples) String() string {
	if len(s) == 0 {
		return "-"
	}
	o := s.sorted()
	return fmt.Sprintf("%.3g (%.3g to %.3g)", s.median(), o[0], o[len(o)-1])
}

// formatQuantiles formats the median with the 10% and 90% quantiles in parentheses, with the given
// number of decimal places.
func (s samples) formatQuantiles(places int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", places, s.median(), places, s.quantile(0.1), places, s.quantile(0.9))
}
