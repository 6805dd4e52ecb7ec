package experiment

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestReportForms checks the JSON keys of a report's bounds and the format of the printed bounds
// and result line.
func TestReportForms(t *testing.T) {
	r := &Report{Name: "trial"}
	r.Check(true, "a bound", 3)
	r.AddValue("rate", samples{1, 2, 3})
	data, err := json.Marshal(r.Bounds)
	if err != nil || string(data) != `[{"What":"a bound","OK":true,"Got":"3"}]` {
		t.Errorf("json.Marshal(%+v) = %s, error %v; want keys What, OK and Got", r.Bounds, data, err)
	}
	var out strings.Builder
	r.Print(&out)
	if want := "kept    a bound: 3\nresult name=trial ok=true seconds=0 rate=2(1to3)\n"; !strings.HasSuffix(out.String(), want) {
		t.Errorf("Print wrote %q, want the suffix %q", out.String(), want)
	}
}
