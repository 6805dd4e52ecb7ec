package membership

import (
	"regexp"
	"testing"
)

// TestReasonsAreCodes: each reason has a code of its own, which a search of the log can find.
func TestReasonsAreCodes(t *testing.T) {
	code := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	seen := map[string]ChangeReason{}
	for r := range reasonAnnouncedShutdown + 1 {
		s := r.String()
		if earlier, taken := seen[s]; taken || !code.MatchString(s) || s == "unknown" {
			t.Errorf("reason %d is %q, and so is %d", r, s, earlier)
		}
		seen[s] = r
	}
	if s := (reasonAnnouncedShutdown + 1).String(); s != "unknown" {
		t.Errorf("a reason that does not exist is %q", s)
	}
}
