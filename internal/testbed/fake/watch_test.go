package fake

import (
	"net/url"
	"testing"
)

// TestDecodeQuery checks that parameters which are not numbers or are out of range are rejected.
func TestDecodeQuery(t *testing.T) {
	for _, c := range []struct {
		query string
		want  watchQuery
		bad   bool
	}{
		{"", watchQuery{from: -1}, false},
		{"hold_ms=5", watchQuery{from: -1}, false},
		{"from=7", watchQuery{from: 7}, false},
		{"from=7&hold_ms=60000", watchQuery{from: 7, holdMS: 60000}, false},
		{"from=x", watchQuery{}, true},
		{"from=7&hold_ms=x", watchQuery{}, true},
		{"from=7&hold_ms=-1", watchQuery{}, true},
		{"from=7&hold_ms=60001", watchQuery{}, true},
	} {
		values, err := url.ParseQuery(c.query)
		if err != nil {
			t.Fatalf("parse query %q: %v", c.query, err)
		}
		got, err := decodeQuery(values)
		if (err != nil) != c.bad || err == nil && got != c.want {
			t.Errorf("decodeQuery(%q) = %+v, %v, want %+v, error %t", c.query, got, err, c.want, c.bad)
		}
	}
}
