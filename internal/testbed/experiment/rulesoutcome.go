package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rulesOutcome is the outcome of one case: replies to clients and operators, and the decisions in
// the logs.
type rulesOutcome struct {
	mu             sync.Mutex // protects the next four fields
	unanswered     int        // requests without an answer
	placementTimes []time.Duration
	changesActive  int
	changeTimes    []time.Duration // time from the proposal of a change until it was active

	decisions       int
	lapsedDecisions int             // decisions without a valid lease, the right to apply a version for a time
	overlapTimes    []time.Duration // of decisions by an older version, since the first by a newer one
}

// ruleDecision is one logged decision and the rules version that it applied.
type ruleDecision struct {
	time    time.Time
	version int
}

// readLogs reads the decisions from the logs of all incarnations. The check relies on nothing else
// from the program.
func (o *rulesOutcome) readLogs(all []*Process) {
	var decisions []ruleDecision
	first := map[int]time.Time{} // time of the first decision, by version
	for _, p := range all {
		for _, l := range p.LogLines("event=rules_applied") {
			if logField(l, "lapsed") == "true" {
				o.lapsedDecisions++
				continue
			}
			version, _ := strconv.Atoi(logField(l, "version"))
			at := logTime(l)
			if f, seen := first[version]; !seen || at.Before(f) {
				first[version] = at
			}
			decisions = append(decisions, ruleDecision{at, version})
		}
	}
	o.decisions = len(decisions)
	newer := firstByNewer(first)
	for _, d := range decisions {
		if n := newer[d.version]; !n.IsZero() && d.time.After(n) {
			o.overlapTimes = append(o.overlapTimes, d.time.Sub(n))
		}
	}
}

// firstByNewer returns, for each version, the time of the first decision by any newer version. It
// is the zero time for the newest version.
func firstByNewer(first map[int]time.Time) map[int]time.Time {
	versions := make([]int, 0, len(first))
	for v := range first {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	newer := map[int]time.Time{}
	var earliest time.Time
	for _, v := range slices.Backward(versions) {
		newer[v] = earliest
		if f := first[v]; earliest.IsZero() || f.Before(earliest) {
			earliest = f
		}
	}
	return newer
}

// overlaps returns the times for which an older version was still applied after a newer one, and
// the longest of them.
func (o *rulesOutcome) overlaps() (all []time.Duration, longest time.Duration) {
	if len(o.overlapTimes) > 0 {
		longest = slices.Max(o.overlapTimes)
	}
	return o.overlapTimes, longest.Round(time.Millisecond)
}

// percentile returns the q-quantile (0 to 1) of all, rounded to 100 µs, or 0 if all is empty.
func percentile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(100 * time.Microsecond)
}

// percentilesText formats the median and the 99th percentile.
func percentilesText(all []time.Duration) string {
	return fmt.Sprint(percentile(all, 0.5), " ", percentile(all, 0.99))
}
