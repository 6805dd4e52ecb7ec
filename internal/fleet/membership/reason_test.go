package membership

import (
	"regexp"
	"testing"
)

// TestReasonsAreCodes checks that each reason has a distinct code, so that a search of the log finds it.
func TestReasonsAreCodes(t *testing.T) {
	code := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := map[string]ChangeReason{}
	for r := range reasonAnnouncedShutdown + 1 {
		s := r.String()
		if earlier, taken := seen[s]; taken || !code.MatchString(s) || s == "unknown" {
			t.Errorf("reason %d has code %q, want a lower-case code that no other reason has (reason %d has it: %t)", r, s, earlier, taken)
		}
		seen[s] = r
	}
	if s := (reasonAnnouncedShutdown + 1).String(); s != "unknown" {
		t.Errorf("reason %d, which is out of range, has code %q, want \"unknown\"", reasonAnnouncedShutdown+1, s)
	}
}
