package experiment

import (
	"testing"
	"time"
)

// TestFirstByNewer checks that the earliest decision by any newer version counts, even if that is
// not the next version.
func TestFirstByNewer(t *testing.T) {
	base := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return base.Add(time.Duration(seconds) * time.Second) }
	newer := firstByNewer(map[int]time.Time{1: at(0), 2: at(9), 3: at(4)})
	if !newer[1].Equal(at(4)) || !newer[2].Equal(at(4)) || !newer[3].IsZero() {
		t.Errorf("firstByNewer of decisions at %v, %v and %v = %v, want %v for versions 1 and 2 and the zero time for 3", at(0), at(9), at(4), newer, at(4))
	}
}

// TestParseMetrics checks that lines that are not metrics are ignored.
func TestParseMetrics(t *testing.T) {
	got := parseMetrics("concurrent=3\nno number\ntargets=12\n")
	if len(got) != 2 || got["concurrent"] != 3 || got["targets"] != 12 {
		t.Errorf("parseMetrics of concurrent=3, \"no number\" and targets=12 = %v, want concurrent=3 and targets=12 only", got)
	}
}
