package ownership

import "testing"

func TestReleaseReasonCodes(t *testing.T) {
	reasons := map[string]ReleaseReason{}
	for r := LeaseEnded; r <= ProcessLeaving; r++ {
		if other, taken := reasons[r.String()]; taken || r.String() == "" {
			t.Errorf("reason %d has the code %q, as reason %d", r, r, other)
		}
		reasons[r.String()] = r
	}
}

func TestIsFailure(t *testing.T) {
	for text, want := range map[string]bool{
		failedPrefix + "disk full": true,
		failedPrefix:               false, // without a cause
		textLeaseEnded:             false,
		"":                         false,
	} {
		if got := isFailure(text); got != want {
			t.Errorf("%q: got %t, want %t", text, got, want)
		}
	}
}
