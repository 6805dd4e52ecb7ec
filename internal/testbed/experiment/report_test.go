package experiment

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestReportForms: a report's JSON keeps its keys, and its result line its form.
func TestReportForms(t *testing.T) {
	r := &Report{Name: "trial"}
	r.Check(true, "a bound", 3)
	r.AddValue("rate", samples{1, 2, 3})
	data, err := json.Marshal(r.Bounds)
	if err != nil || string(data) != `[{"What":"a bound","OK":true,"Got":"3"}]` {
		t.Errorf("bounds as JSON: %s, %v", data, err)
	}
	var out strings.Builder
	r.Print(&out)
	if want := "kept    a bound: 3\nresult name=trial ok=true seconds=0 rate=2(1to3)\n"; !strings.HasSuffix(out.String(), want) {
		t.Errorf("printed %q, want at its end %q", out.String(), want)
	}
}
