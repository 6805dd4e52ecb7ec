package owneragent

import (
	"testing"

	"croftlock/internal/fleet/ownership"
)

// TestParseFaultInjection checks each fault's name, and that names are case-sensitive.
func TestParseFaultInjection(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    FaultInjection
		invalid bool
	}{
		{name: ""},
		{name: "forget", want: FaultInjection{Ownership: ownership.FaultInjection{ForgetTokens: true}}},
		{name: "lapse", want: FaultInjection{ExtendRulesLease: true}},
		{name: "Forget", invalid: true},
	} {
		if got, err := ParseFaultInjection(c.name); got != c.want || (err != nil) != c.invalid {
			t.Errorf("ParseFaultInjection(%q) = %+v, %v; want %+v, error %t", c.name, got, err, c.want, c.invalid)
		}
	}
}
