package lineproto

import (
	"math"
	"strings"
)

// wireNames maps names of fields in the settings to their names in load reports, where these differ.
var wireNames = map[string]string{"pending": "queue", "busy_reqs": "inflight", "cpu_share": "util", "svc_ms": "latency_ms",
	"served_ps": "qps", "failed_ps": "eps"}

// ParseReport parses a load report of the form name=figure,name=figure. The result has one figure for each
// of fields, in their order, and NaN for a field that s lacks. Other names are ignored. It returns nil if s
// is malformed or has none of the fields.
func ParseReport(s string, fields []string) []float64 {
	if s == "" || len(fields) == 0 {
		return nil
	}
	figures, found := make([]float64, len(fields)), false
	for i := range figures {
		figures[i] = math.NaN()
	}
	for _, pair := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(pair, "=")
		figure, err := parseNumber(value)
		if err != nil {
			return nil
		}
		for i, field := range fields {
			if name != "" && (name == field || name == wireNames[field]) {
				figures[i], found = figure, true
			}
		}
	}
	if !found {
		return nil
	}
	return figures
}
