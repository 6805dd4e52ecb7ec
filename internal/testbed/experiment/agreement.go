package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// agreement is what came of one case.
type agreement struct {
	mu             sync.Mutex
	active, silent int
	lapsed         int // decisions without a right
	decided        int
	took, placed   []time.Duration
	sides          []time.Duration // for each decision by an older version: how long after the first by a newer one
}

// read takes the decisions of a life's log: the checker knows nothing else of the program.
func (a *agreement) read(all []*Process) {
	type act struct {
		at      time.Time
		version int
	}
	var acts []act
	first := map[int]time.Time{}
	for _, p := range all {
		for _, l := range p.Log("event=rules_applied") {
			if field(l, "lapsed") == "true" {
				a.lapsed++
				continue
			}
			v, _ := strconv.Atoi(field(l, "version"))
			at := logTime(l)
			if f, seen := first[v]; !seen || at.Before(f) {
				first[v] = at
			}
			acts = append(acts, act{at, v})
		}
	}
	a.decided = len(acts)
	// The first act by any version newer than each, by going down from the newest.
	versions := make([]int, 0, len(first))
	for v := range first {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	newer := map[int]time.Time{}
	var least time.Time
	for i := len(versions) - 1; i >= 0; i-- {
		newer[versions[i]] = least
		if f := first[versions[i]]; least.IsZero() || f.Before(least) {
			least = f
		}
	}
	for _, x := range acts {
		if n := newer[x.version]; !n.IsZero() && x.at.After(n) {
			a.sides = append(a.sides, x.at.Sub(n))
		}
	}
}

func (a *agreement) overlaps() (all []time.Duration, longest time.Duration) {
	if len(a.sides) > 0 {
		longest = slices.Max(a.sides)
	}
	return a.sides, longest.Round(time.Millisecond)
}

func percentile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(100 * time.Microsecond)
}

func spread(all []time.Duration) string {
	return fmt.Sprint(percentile(all, 0.5), " ", percentile(all, 0.99))
}
