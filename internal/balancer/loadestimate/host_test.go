package loadestimate

import (
	"math"
	"testing"
)

const sec = int64(1e9)

// TestAddedLoadCountsUntilReported checks that load that was added after a report, or shortly
// before it, counts in addition to the report.
func TestAddedLoadCountsUntilReported(t *testing.T) {
	var h Host
	h.Report(10*sec, 0.5, 0)
	h.AddLoad(10*sec+1, 20)
	if got := h.Load(11*sec, 100, 0.9); math.Abs(got-0.7) > 1e-9 {
		t.Errorf("load %.3f after 0.2 was added to 0.5, expected 0.7", got)
	}
	h.Report(10*sec+ReportDelay/2, 0.55, 0)
	if got := h.Load(11*sec, 100, 0.9); math.Abs(got-0.75) > 1e-9 {
		t.Errorf("load %.3f, expected 0.75: a report that came within ReportDelay does not hold the addition",
			got)
	}
	h.Report(13*sec, 0.7, 0)
	if got := h.Load(13*sec, 100, 0.9); got != 0.7 {
		t.Errorf("load %.3f, expected 0.7: a report that holds the addition counts alone", got)
	}
}

// TestFrozenReportsFade repeats the same report, as if reports were frozen while traffic doubles.
// The repeated report counts as one ageing sample: the estimate approaches the default load of 0.9
// without a step, and load that is added in the meantime counts. In the balancer, the default is the
// mean reported load of the hosts.
func TestFrozenReportsFade(t *testing.T) {
	var h Host
	h.Report(sec, 0.3, 1)
	last := h.Load(sec, 100, 0.9)
	for now := sec; now < 30*sec; now += sec / 10 {
		h.Report(now, 0.3, 1)
		got := h.Load(now, 100, 0.9)
		if got < last-1e-9 || got > last+0.02 {
			t.Fatalf("load %.3f at %d s, expected no less than %.3f, that of a tenth of a second before, "+
				"and at most 0.02 more", got, now/sec, last)
		}
		last = got
	}
	if last < 0.85 {
		t.Errorf("load %.3f after 30 s of the same report with a default of 0.9, expected at least 0.85", last)
	}
	if h.HasRecentReport(30 * sec) {
		t.Error("HasRecentReport is true after 30 s of the same report, expected false")
	}
	h.AddLoad(30*sec, 50)
	if got := h.Load(30*sec, 100, 0.9); got < last+0.49 {
		t.Errorf("load %.3f, expected 0.5 more than %.3f", got, last)
	}
}

func TestUnusableReportsAreIgnored(t *testing.T) {
	var h Host
	if got := h.Load(sec, 0, 0.4); got != 0.4 || h.HasRecentReport(sec) {
		t.Errorf("load %.3f of a host without reports, expected the default of 0.4, and no recent report", got)
	}
	h.Report(sec, 0.6, 3)
	for _, load := range []float64{-1, math.NaN(), math.Inf(1)} {
		h.Report(2*sec, load, 0)
	}
	if got := h.Load(2*sec, 0, 0.4); got != 0.6 || h.queue != 3 {
		t.Errorf("load %.3f and queue %.0f after invalid reports, expected 0.6 and 3", got, h.queue)
	}
	h.Report(2*sec, 0.5, math.NaN())
	if h.queue != 0 || h.LastReportTime() != 2*sec {
		t.Errorf("queue %.0f, last report at %d ns after a report without a queue, expected 0 and %d",
			h.queue, h.LastReportTime(), 2*sec)
	}
	for i := range 10 * maxAdditions {
		h.AddLoad(3*sec+int64(i), 1)
	}
	got := h.Load(4*sec, 1000, 0)
	if math.Abs(got-0.5-0.01*maxAdditions) > 1e-9 || len(h.additions) > maxAdditions {
		t.Errorf("load %.3f from %d additions, expected %.3f from at most %d", got, len(h.additions),
			0.5+0.01*maxAdditions, maxAdditions)
	}
	h.Reset()
	if h.HasRecentReport(4 * sec) {
		t.Error("HasRecentReport is true after Reset, expected false")
	}
}
