package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rulesOutcome is the outcome of one case: the answers to clients and operators, and the decisions in the logs.
type rulesOutcome struct {
	mu             sync.Mutex // protects what clients and operators add
	unanswered     int        // clients without an answer
	placementTimes []time.Duration
	changesActive  int
	changeTimes    []time.Duration // until a change was active

	decisions       int
	lapsedDecisions int             // decisions without a valid lease
	overlapTimes    []time.Duration // for each decision by an older version: how long after the first by a newer one
}

// ruleDecision is one decision by a version of the rules.
type ruleDecision struct {
	time    time.Time
	version int
}

// readLogs reads the decisions from the logs of all incarnations. The check uses nothing else of the program.
func (o *rulesOutcome) readLogs(all []*Process) {
	var decisions []ruleDecision
	first := map[int]time.Time{} // first decision, by version
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

// firstByNewer returns, for each version, the time of the first decision by any newer one; the zero time for the newest.
func firstByNewer(first map[int]time.Time) map[int]time.Time {
	versions := make([]int, 0, len(first))
	for v := range first {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	newer := map[int]time.Time{}
	var least time.Time
	for _, v := range slices.Backward(versions) {
		newer[v] = least
		if f := first[v]; least.IsZero() || f.Before(least) {
			least = f
		}
	}
	return newer
}

// overlaps are the times for which two versions were applied at once, and the longest of them.
func (o *rulesOutcome) overlaps() (all []time.Duration, longest time.Duration) {
	if len(o.overlapTimes) > 0 {
		longest = slices.Max(o.overlapTimes)
	}
	return o.overlapTimes, longest.Round(time.Millisecond)
}

// percentile is the time that a part q of all times does not exceed.
func percentile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(100 * time.Microsecond)
}

// percentilesText is the median and the 99th percentile.
func percentilesText(all []time.Duration) string {
	return fmt.Sprint(percentile(all, 0.5), " ", percentile(all, 0.99))
}
