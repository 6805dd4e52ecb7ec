package lineproto

import (
	"math"
	"strings"
)

// wireNames are the names in reports of fields that have another name in the settings.
var wireNames = map[string]string{"pending": "queue", "busy_reqs": "inflight", "cpu_share": "util", "svc_ms": "latency_ms",
	"served_ps": "qps", "failed_ps": "eps"}

// ParseReport reads a load report, name=figure,name=figure, into the order of the fields that the settings name. A field that it lacks is
// NaN; names that the settings lack are ignored; nil where it has no field of the settings or can't be read.
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
