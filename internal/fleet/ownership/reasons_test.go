package ownership

import "testing"

// TestReleaseReasonCodes tests that each ReleaseReason has a unique code.
func TestReleaseReasonCodes(t *testing.T) {
	reasons := map[string]ReleaseReason{}
	for r := LeaseEnded; r <= ProcessLeaving; r++ {
		if other, taken := reasons[r.String()]; taken || r.String() == "" {
			t.Errorf("reason %d has the code %q, want a unique code that is not empty; reason %d has the same: %t", uint8(r), r, uint8(other), taken)
		}
		reasons[r.String()] = r
	}
}

// TestIsFailure tests that only the text of a failed job, with a cause, counts as a failure.
func TestIsFailure(t *testing.T) {
	for text, want := range map[string]bool{
		failedPrefix + "disk full": true,
		failedPrefix:               false, // without a cause
		textLeaseEnded:             false,
		"":                         false,
	} {
		if got := isFailure(text); got != want {
			t.Errorf("isFailure(%q) = %t, want %t", text, got, want)
		}
	}
}
