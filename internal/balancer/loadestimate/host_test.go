package loadestimate

import (
	"math"
	"testing"
)

const sec = int64(1e9)

// A report older than the connection that it should count: what was placed after it, or shortly before, counts on top.
func TestAddedLoadCountsUntilReported(t *testing.T) {
	var h Host
	h.Report(10*sec, 0.5, 0)
	h.AddLoad(10*sec+1, 20)
	if x := h.Load(11*sec, 100, 0.9); math.Abs(x-0.7) > 1e-9 {
		t.Errorf("%.3f after a fifth was placed on a half", x)
	}
	h.Report(10*sec+ReportDelay/2, 0.55, 0)
	if x := h.Load(11*sec, 100, 0.9); math.Abs(x-0.75) > 1e-9 {
		t.Errorf("%.3f: a report that is younger by less than its own lateness can't hold the placement", x)
	}
	h.Report(13*sec, 0.7, 0)
	if x := h.Load(13*sec, 100, 0.9); x != 0.7 {
		t.Errorf("%.3f: a report that holds the placement counts alone", x)
	}
}

// Reports frozen for seconds while traffic doubles: the same figure again is no news. It fades towards what the fleet has, without
// a cliff, and what was placed in the meantime is not forgotten.
func TestFrozenReportsFade(t *testing.T) {
	var h Host
	h.Report(sec, 0.3, 1)
	last := h.Load(sec, 100, 0.9)
	for now := sec; now < 30*sec; now += sec / 10 {
		h.Report(now, 0.3, 1)
		x := h.Load(now, 100, 0.9)
		if x < last-1e-9 || x > last+0.02 {
			t.Fatalf("from %.3f to %.3f in a tenth of a second, at %d s", last, x, now/sec)
		}
		last = x
	}
	if last < 0.85 {
		t.Errorf("%.3f after half a minute of the same report, in a fleet at 0.9", last)
	}
	if h.Known(30 * sec) {
		t.Error("known still")
	}
	h.AddLoad(30*sec, 50)
	if x := h.Load(30*sec, 100, 0.9); x < last+0.49 {
		t.Errorf("%.3f: what was placed does not count", x)
	}
}

func TestUnusableReportsAreIgnored(t *testing.T) {
	var h Host
	if x := h.Load(sec, 0, 0.4); x != 0.4 || h.Known(sec) {
		t.Errorf("%.3f of a host of which nothing is known", x)
	}
	h.Report(sec, 0.6, 3)
	for _, x := range []float64{-1, math.NaN(), math.Inf(1)} {
		h.Report(2*sec, x, 0)
	}
	if x := h.Load(2*sec, 0, 0.4); x != 0.6 || h.queue != 3 {
		t.Errorf("%.3f, queue %.0f", x, h.queue)
	}
	h.Report(2*sec, 0.5, math.NaN())
	if h.queue != 0 || h.LastReport() != 2*sec {
		t.Error("a report without a queue is a report")
	}
	for i := range 10 * maxAdditions {
		h.AddLoad(3*sec+int64(i), 1)
	}
	if x := h.Load(4*sec, 1000, 0); math.Abs(x-0.5-0.01*maxAdditions) > 1e-9 || len(h.additions) > maxAdditions {
		t.Errorf("%.3f from %d additions: merged, none lost", x, len(h.additions))
	}
	h.Reset()
	if h.Known(4 * sec) {
		t.Error("known after a fresh start")
	}
}
