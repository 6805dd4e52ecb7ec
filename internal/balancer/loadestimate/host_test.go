package loadestimate

import (
	"math"
	"testing"
)

const sec = int64(1e9)

// TestAddedLoadCountsUntilReported: load that was placed after a report, or shortly before it, counts on top.
func TestAddedLoadCountsUntilReported(t *testing.T) {
	var h Host
	h.Report(10*sec, 0.5, 0)
	h.AddLoad(10*sec+1, 20)
	if x := h.Load(11*sec, 100, 0.9); math.Abs(x-0.7) > 1e-9 {
		t.Errorf("load %.3f after a fifth was added to a half, expected 0.7", x)
	}
	h.Report(10*sec+ReportDelay/2, 0.55, 0)
	if x := h.Load(11*sec, 100, 0.9); math.Abs(x-0.75) > 1e-9 {
		t.Errorf("load %.3f, expected 0.75: a report that came within ReportDelay does not hold the addition",
			x)
	}
	h.Report(13*sec, 0.7, 0)
	if x := h.Load(13*sec, 100, 0.9); x != 0.7 {
		t.Errorf("load %.3f, expected 0.7: a report that holds the addition counts alone", x)
	}
}

// TestFrozenReportsFade: reports are frozen while traffic doubles. The same figure again is the same sample:
// it fades towards the fleet's mean, without a step, and load that is placed in the meantime counts.
func TestFrozenReportsFade(t *testing.T) {
	var h Host
	h.Report(sec, 0.3, 1)
	last := h.Load(sec, 100, 0.9)
	for now := sec; now < 30*sec; now += sec / 10 {
		h.Report(now, 0.3, 1)
		x := h.Load(now, 100, 0.9)
		if x < last-1e-9 || x > last+0.02 {
			t.Fatalf("load %.3f after %.3f a tenth of a second before, at %d s", x, last, now/sec)
		}
		last = x
	}
	if last < 0.85 {
		t.Errorf("load %.3f after half a minute of the same report, in a fleet at 0.9", last)
	}
	if h.HasRecentReport(30 * sec) {
		t.Error("known after half a minute of the same report")
	}
	h.AddLoad(30*sec, 50)
	if x := h.Load(30*sec, 100, 0.9); x < last+0.49 {
		t.Errorf("load %.3f, expected half more than %.3f", x, last)
	}
}

func TestUnusableReportsAreIgnored(t *testing.T) {
	var h Host
	if x := h.Load(sec, 0, 0.4); x != 0.4 || h.HasRecentReport(sec) {
		t.Errorf("load %.3f of a host of which nothing is known, expected the usual one", x)
	}
	h.Report(sec, 0.6, 3)
	for _, x := range []float64{-1, math.NaN(), math.Inf(1)} {
		h.Report(2*sec, x, 0)
	}
	if x := h.Load(2*sec, 0, 0.4); x != 0.6 || h.queue != 3 {
		t.Errorf("load %.3f and queue %.0f after invalid reports, expected 0.6 and 3", x, h.queue)
	}
	h.Report(2*sec, 0.5, math.NaN())
	if h.queue != 0 || h.LastReportTime() != 2*sec {
		t.Error("a report without a queue is ignored")
	}
	for i := range 10 * maxAdditions {
		h.AddLoad(3*sec+int64(i), 1)
	}
	x := h.Load(4*sec, 1000, 0)
	if math.Abs(x-0.5-0.01*maxAdditions) > 1e-9 || len(h.additions) > maxAdditions {
		t.Errorf("load %.3f from %d additions: not merged, or some are lost", x, len(h.additions))
	}
	h.Reset()
	if h.HasRecentReport(4 * sec) {
		t.Error("known after a restart")
	}
}
